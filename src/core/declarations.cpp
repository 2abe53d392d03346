#include "figlanding/declarations.h"

#include "figlanding/codec.h"
#include "figlanding/object_tables.h"
#include "json_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlanding {

namespace {

using Json = nlohmann::json;

auto parseJson(std::string_view text) -> Result<Json>
{
    try {
        auto json = Json::parse(text, nullptr, true, true);
        return json;
    } catch (const Json::parse_error &error) {
        return fail(ErrorCode::InvalidSyntax, error.what());
    }
}

// Converts the JSON pointer "/spec/burst" to the field path "spec.burst".
auto fieldPath(const std::string &pointer) -> std::string
{
    auto path = pointer.empty() ? pointer : pointer.substr(1);
    std::replace(path.begin(), path.end(), '/', '.');
    return path;
}

auto fieldText(const Json &fields, const std::string &pointer) -> std::string
{
    const auto found = fields.find(pointer);
    if (found == fields.end() || found->is_null()) {
        return "(none)";
    }
    return found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Lists the fields that differ between two versions of one object.
auto fieldChanges(const DeclaredObject &before, const DeclaredObject &after) -> std::string
{
    const auto oldFields = toJson(before).flatten();
    const auto newFields = toJson(after).flatten();
    auto pointers = std::set<std::string>{};
    for (const auto *fields : {&oldFields, &newFields}) {
        for (const auto &field : fields->items()) {
            pointers.insert(field.key());
        }
    }
    auto text = std::string{};
    for (const auto &pointer : pointers) {
        const auto from = fieldText(oldFields, pointer);
        const auto to = fieldText(newFields, pointer);
        if (from != to) {
            text += text.empty() ? "" : ", ";
            text += fieldPath(pointer);
            text += " ";
            text += from;
            text += " -> ";
            text += to;
        }
    }
    return text;
}

auto addChange(DeclarationDiff &diff, const ObjectRef &ref, LogOffset version,
               std::optional<DeclaredObject> object, std::string line) -> void
{
    auto &change = diff.changes.emplace_back();
    change.ref = ref;
    change.object = std::move(object);
    change.expectedVersion = version;
    diff.lines.push_back(std::move(line));
}

auto compareWithState(const ClusterState &state, const DeclaredObject &object,
                      DeclarationDiff &diff) -> void
{
    const auto ref = refOf(object);
    const auto current = findObject(state, ref);
    if (!current) {
        addChange(diff, ref, 0, object, "+ " + toText(ref));
    } else if (current->object != object) {
        addChange(diff, ref, current->version, object,
                  "~ " + toText(ref) + ": " + fieldChanges(current->object, object));
    }
}

} // namespace

auto parseDeclarations(std::string_view text) -> Result<std::vector<DeclaredObject>>
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    const auto elements = json.is_array() ? json : Json::array({json});
    auto objects = std::vector<DeclaredObject>{};
    const auto failure = readElements(elements, [&](const Json &element) {
        return failureOf([&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, objectFromJson(element));
            objects.push_back(std::move(object));
            return {};
        });
    });
    if (failure) {
        return fail(failure->code, failure->detail);
    }
    return objects;
}

auto diffDeclarations(const ClusterState &state, const std::vector<DeclaredObject> &declared,
                      const DeclarationDiffOptions &options) -> Result<DeclarationDiff>
{
    auto diff = DeclarationDiff{};
    auto refs = std::set<ObjectRef>{};
    for (const auto &object : declared) {
        if (!refs.insert(refOf(object)).second) {
            return fail(ErrorCode::DuplicateObject, toText(refOf(object)) + " is declared twice");
        }
        compareWithState(state, object, diff);
    }
    for (const auto kind : options.prune) {
        for (const auto &entry : objectsOf(state, kind)) {
            const auto ref = refOf(entry.object);
            if (!refs.contains(ref)) {
                addChange(diff, ref, entry.version, std::nullopt, "- " + toText(ref));
            }
        }
    }
    return diff;
}

} // namespace figlanding
