#include "figlanding/gateway/ordered_version.h"

#include <algorithm>

namespace figlanding {

auto hasServersOf(const ServerRegistry &registry, const ServiceId &service,
                  const ServerVersion &version) -> bool
{
    const auto &servers = registry.servers();
    return std::any_of(servers.begin(), servers.end(), [&](const auto &item) {
        const auto &entry = item.second.entry;
        return entry.service == service && entry.version == version;
    });
}

auto hasServersBeside(const ServerRegistry &registry, const ServiceId &service,
                      const ServerVersion &version, const std::set<ServerVersion> &withheld) -> bool
{
    const auto &servers = registry.servers();
    return std::any_of(servers.begin(), servers.end(), [&](const auto &item) {
        const auto &entry = item.second.entry;
        return entry.service == service && entry.version != version
            && !withheld.contains(entry.version);
    });
}

auto isWithheldUntilRecord(const OrderKnowledge &known, const ServerRegistry &registry) -> bool
{
    const auto &order = known.order;
    const auto *record = known.record;
    if (record != nullptr && (record->order >= order.offset || record->version == order.version)) {
        return false;
    }
    if (!known.recordsRead && !known.isNew) {
        return false;
    }
    auto withheld = std::set<ServerVersion>{};
    if (record != nullptr) {
        withheld.insert(record->withheld.begin(), record->withheld.end());
    }
    return hasServersBeside(registry, order.service, order.version, withheld);
}

} // namespace figlanding
