#include "cli/commands.h"

#include "figlanding/codec.h"
#include "figlanding/declarations.h"
#include "figlanding/object_tables.h"
#include "io/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace figlanding::cli {

namespace {

struct KindAlias
{
    std::string_view text;
    ObjectKind kind;
};

constexpr auto kindAliases = std::to_array<KindAlias>({
    {"zone", ObjectKind::AvailabilityZone},
    {"server", ObjectKind::BackendServer},
    {"team", ObjectKind::Team},
    {"key", ObjectKind::TeamKey},
    {"service", ObjectKind::Service},
    {"route", ObjectKind::Route},
    {"policy", ObjectKind::Policy},
    {"routing-key", ObjectKind::RoutingKey},
});

auto loadDeclarations(const std::vector<std::string> &files) -> Result<std::vector<DeclaredObject>>
{
    auto all = std::vector<DeclaredObject>();
    for (const auto &file : files) {
        BOOST_LEAF_AUTO(text, readTextFile(file));
        const auto objects = settle([&] { return parseDeclarations(text); });
        if (!objects) {
            return fail(objects.error().code, file + ": " + objects.error().detail);
        }
        all.insert(all.end(), objects.value().begin(), objects.value().end());
    }
    return all;
}

// Returns the kinds that occur among the objects; --prune removes objects of these kinds only.
auto kindsOf(const std::vector<DeclaredObject> &objects) -> std::set<ObjectKind>
{
    auto kinds = std::set<ObjectKind>();
    for (const auto &object : objects) {
        kinds.insert(refOf(object).kind);
    }
    return kinds;
}

// Applies words of the form "key=value" (set) and "key-" (remove) to labels.
auto withLabelChanges(Labels labels, const std::vector<std::string> &words) -> Result<Labels>
{
    for (const auto &word : words) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            labels[word.substr(0, equals)] = word.substr(equals + 1);
        } else if (word.ends_with('-')) {
            labels.erase(word.substr(0, word.size() - 1));
        } else {
            return fail(ErrorCode::InvalidSyntax, "\"" + word + "\" is neither key=value nor key-");
        }
    }
    BOOST_LEAF_CHECK(checkLabels(labels));
    return labels;
}

auto printObjects(const std::vector<Versioned<DeclaredObject>> &objects, const Printer &printer)
    -> void
{
    auto document = nlohmann::json::array();
    auto lines = std::vector<std::string>();
    for (const auto &object : objects) {
        auto json = figlanding::toJson(object.object);
        lines.push_back(json.dump());
        json["version"] = object.version;
        document.push_back(std::move(json));
    }
    printer.print(document, lines);
}

} // namespace

auto parseKind(const std::string &text) -> Result<ObjectKind>
{
    const auto found = std::find_if(kindAliases.begin(), kindAliases.end(),
                                    [&text](const KindAlias &row) { return row.text == text; });
    if (found != kindAliases.end()) {
        return found->kind;
    }
    return parseObjectKind(text);
}

auto requireObject(const ClusterState &state, const ObjectRef &ref)
    -> Result<Versioned<DeclaredObject>>
{
    auto object = findObject(state, ref);
    if (!object) {
        auto text = std::string(toText(ref.kind));
        return fail(ErrorCode::NotFound, text.append(" \"").append(ref.name).append("\""));
    }
    return *object;
}

auto applyCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("apply", "Creates or updates the objects declared in files.", io);
    TCLAP::SwitchArg dryRun("", "dry-run", "show the changes without applying them",
                            parser.commandLine());
    TCLAP::SwitchArg prune(
        "", "prune", "remove objects that no file declares, of the kinds that the files contain",
        parser.commandLine());
    TCLAP::UnlabeledMultiArg<std::string> files("files", "files", true, "FILE",
                                                parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(objects, loadDeclarations(files.getValue()));
        BOOST_LEAF_AUTO(state, client.readState());
        const auto options = DeclarationDiffOptions{
            .prune = prune.getValue() ? kindsOf(objects) : std::set<ObjectKind>()};
        BOOST_LEAF_AUTO(diff, diffDeclarations(state, objects, options));
        auto document = nlohmann::json{{"changes", diff.lines}};
        if (diff.changes.empty() || dryRun.getValue()) {
            if (diff.changes.empty()) {
                diff.lines.emplace_back("no changes");
            }
            printer.print(document, diff.lines);
            return ExitCode::Ok;
        }
        return parser.submitChanges(client, printer, std::move(diff.changes), std::move(document),
                                    std::move(diff.lines));
    });
}

auto getCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("get", "Shows declared objects.", io);
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind", true, "", "KIND",
                                               parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> name("name", "name", false, "", "NAME",
                                               parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(objectKind, parseKind(kind.getValue()));
        BOOST_LEAF_AUTO(state, client.readState());
        if (name.getValue().empty()) {
            printObjects(objectsOf(state, objectKind), printer);
            return ExitCode::Ok;
        }
        BOOST_LEAF_AUTO(object, requireObject(state, {objectKind, name.getValue()}));
        printObjects({object}, printer);
        return ExitCode::Ok;
    });
}

auto labelCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("label", "Sets labels (key=value) and removes them (key-).", io);
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind", true, "", "KIND",
                                               parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> name("name", "name", true, "", "NAME",
                                               parser.commandLine());
    TCLAP::UnlabeledMultiArg<std::string> words("labels", "labels", true, "LABEL",
                                                parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(objectKind, parseKind(kind.getValue()));
        const auto ref = ObjectRef{objectKind, name.getValue()};
        BOOST_LEAF_AUTO(state, client.readState());
        BOOST_LEAF_AUTO(object, requireObject(state, ref));
        BOOST_LEAF_AUTO(labels, withLabelChanges(labelsOf(object.object), words.getValue()));
        auto change = ObjectChange{.ref = ref,
                                   .object = withLabels(object.object, labels),
                                   .expectedVersion = object.version};
        return parser.submitChanges(client, printer, {std::move(change)}, {{"labels", labels}}, {});
    });
}

auto selectorTestCommand(const Arguments &arguments, CliIo &io) -> ExitCode
{
    auto parser = CommandParser("selector test", "Lists the objects that a selector matches.", io);
    TCLAP::UnlabeledValueArg<std::string> text("expr", "selector", true, "", "EXPR",
                                               parser.commandLine());
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind", true, "", "KIND",
                                               parser.commandLine());
    parser.parse(arguments);
    return parser.run([&](ClusterClient &client, const Printer &printer) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(selector, Selector::parse(text.getValue()));
        BOOST_LEAF_AUTO(objectKind, parseKind(kind.getValue()));
        BOOST_LEAF_AUTO(state, client.readState());
        auto names = std::vector<std::string>();
        for (const auto &object : objectsOf(state, objectKind)) {
            if (selector.matches(labelsOf(object.object))) {
                names.push_back(refOf(object.object).name);
            }
        }
        printer.print({{"selector", selector.toText()}, {"matches", names}}, names);
        return ExitCode::Ok;
    });
}

} // namespace figlanding::cli
