#include "figlanding/object_tables.h"

namespace figlanding {

namespace {

// Converts an object's name to the key type of its table.
template <typename Table>
auto tableKey(const Table &, const std::string &name) -> typename Table::key_type
{
    return typename Table::key_type(name);
}

} // namespace

auto findObject(const ClusterState &state, const ObjectRef &ref)
    -> std::optional<Versioned<DeclaredObject>>
{
    return visitTable(state, ref.kind,
                      [&](const auto &table) -> std::optional<Versioned<DeclaredObject>> {
                          const auto found = table.find(tableKey(table, ref.name));
                          if (found == table.end()) {
                              return std::nullopt;
                          }
                          return Versioned<DeclaredObject>{.object = found->second.object,
                                                           .version = found->second.version};
                      });
}

auto versionOf(const ClusterState &state, const ObjectRef &ref) -> LogOffset
{
    return visitTable(state, ref.kind, [&](const auto &table) -> LogOffset {
        const auto found = table.find(tableKey(table, ref.name));
        return found == table.end() ? 0 : found->second.version;
    });
}

auto objectsOf(const ClusterState &state, ObjectKind kind) -> std::vector<Versioned<DeclaredObject>>
{
    auto objects = std::vector<Versioned<DeclaredObject>>{};
    visitTable(state, kind, [&](const auto &table) {
        for (const auto &[name, entry] : table) {
            objects.push_back({.object = entry.object, .version = entry.version});
        }
    });
    return objects;
}

auto allObjects(const ClusterState &state) -> std::vector<Versioned<DeclaredObject>>
{
    auto objects = std::vector<Versioned<DeclaredObject>>{};
    for (std::size_t kind = 0; kind < std::variant_size_v<DeclaredObject>; ++kind) {
        auto ofKind = objectsOf(state, static_cast<ObjectKind>(kind));
        std::move(ofKind.begin(), ofKind.end(), std::back_inserter(objects));
    }
    return objects;
}

auto putObject(ClusterState &state, Versioned<DeclaredObject> object) -> void
{
    const auto ref = refOf(object.object);
    std::visit(
        [&](auto &value) {
            using Object = std::decay_t<decltype(value)>;
            visitTable(state, ref.kind, [&](auto &table) {
                using Entry = typename std::decay_t<decltype(table)>::mapped_type;
                if constexpr (std::is_same_v<Entry, Versioned<Object>>) {
                    table.insert_or_assign(
                        tableKey(table, ref.name),
                        Entry{.object = std::move(value), .version = object.version});
                }
            });
        },
        object.object);
}

auto eraseObject(ClusterState &state, const ObjectRef &ref) -> void
{
    visitTable(state, ref.kind, [&](auto &table) { table.erase(tableKey(table, ref.name)); });
}

} // namespace figlanding
