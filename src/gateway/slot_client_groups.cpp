#include "gateway/slot_client.h"

#include <xxhash.h>

#include <algorithm>

/// @file
/// The server groups of a SlotClient: which servers belong to each, and which of them this VM is
/// responsible for.

namespace figlanding {

namespace {

/// Limit for the number of groups that another VM may report.
constexpr std::size_t maxGroups = 1000;

auto groupName(const ServiceId &pool, std::size_t group) -> ServiceId
{
    return ServiceId(pool.value() + "#" + std::to_string(group));
}

} // namespace

auto SlotClient::groupOf(const ServiceId &pool, const BackendServerId &server) const -> ServiceId
{
    const auto count = m_groupCounts.find(pool);
    const auto groups = count == m_groupCounts.end() ? std::size_t{1} : count->second;
    const auto &name = server.value();
    return groupName(pool, XXH3_64bits(name.data(), name.size()) % groups);
}

auto SlotClient::pickGroup(const SlotRequest &request) -> ServiceId
{
    if (!request.owner.empty()) {
        return groupOf(request.service, request.owner);
    }
    const auto count = m_groupCounts.find(request.service);
    const auto groups = count == m_groupCounts.end() ? std::size_t{1} : count->second;
    return groupName(request.service, m_random() % groups);
}

auto SlotClient::setServers(const ServerRegistry &registry,
                            const std::map<ServiceId, double> &coldRates) -> void
{
    m_versionRules = registry.versionRules();
    m_newVersionServers.clear();
    auto counts = std::map<ServiceId, std::size_t>{};
    for (const auto &[id, server] : registry.servers()) {
        for (const auto &pool : poolsOf(m_versionRules, server.entry)) {
            counts[pool] += 1;
        }
        const auto rule = m_versionRules.find(server.entry.service);
        if (rule != m_versionRules.end() && server.entry.version == rule->second.version) {
            m_newVersionServers.insert(id);
        }
    }
    for (const auto &[service, count] : counts) {
        // The number of groups never shrinks: with fewer groups the hash would assign servers to
        // other groups whenever servers are lost.
        auto &groups = m_groupCounts[service];
        groups = std::max(groups, (count + m_options.groupSize - 1) / m_options.groupSize);
    }
    auto groups = std::map<ServiceId, std::vector<BrokeredServer>>{};
    for (const auto &[service, count] : m_groupCounts) {
        for (std::size_t i = 0; i < count; ++i) {
            groups[groupName(service, i)];
        }
    }
    for (const auto &[id, server] : registry.servers()) {
        const auto &entry = server.entry;
        const auto rate = coldRates.find(entry.service);
        const auto brokered =
            BrokeredServer{.incarnation = {.server = id, .startedUnixMs = entry.startedUnixMs},
                           .zone = entry.zone,
                           .slots = entry.slots,
                           .coldRequestsPerSecond = rate == coldRates.end() ? 0.0 : rate->second,
                           .coldUntil = server.coldUntil,
                           .acceptsRequests = registry.acceptsRequests(server)};
        for (const auto &pool : poolsOf(m_versionRules, entry)) {
            groups[groupOf(pool, id)].push_back(brokered);
        }
    }
    for (auto &[group, servers] : groups) {
        m_broker.setServers(group, servers);
        for (auto &server : servers) {
            server.slots = 1;
            // Nothing for cold servers: other VMs may be sending to them as well.
            server.coldRequestsPerSecond = 0.0;
        }
        m_fallbackBroker.setServers(group, servers);
    }
}

auto SlotClient::groupCounts() const -> std::map<ServiceId, std::size_t>
{
    auto result = m_groupCounts;
    std::erase_if(result, [](const auto &item) { return item.second <= 1; });
    return result;
}

auto SlotClient::raiseGroupCounts(const std::map<ServiceId, std::size_t> &counts) -> bool
{
    auto raised = false;
    for (const auto &[service, count] : counts) {
        auto &groups = m_groupCounts.try_emplace(service, std::size_t{1}).first->second;
        const auto usable = std::min(count, maxGroups);
        raised = raised || usable > groups;
        groups = std::max(groups, usable);
    }
    return raised;
}

// Other VMs ask this one for slots of further groups while they get no response from the VM that is
// responsible. Several VMs may then grant slots of one server; those of cold servers are left to
// the responsible one.
auto SlotClient::updateColdGrants(TimePoint now) -> void
{
    for (const auto &[service, count] : m_groupCounts) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto group = groupName(service, i);
            if (!m_view.isResponsible(group.value(), now)) {
                m_responsibleSince.erase(group);
                m_broker.setGrantsCold(group, false);
                continue;
            }
            const auto since = m_responsibleSince.try_emplace(group, now).first->second;
            m_broker.setGrantsCold(group, now - since >= m_options.coldTakeover);
        }
    }
}

} // namespace figlanding
