#include "figlanding/server_monitor.h"

#include <algorithm>

namespace figlanding {

namespace {

auto isDown(const ClusterState &state, const BackendServerId &server) -> bool
{
    const auto found = state.serverStatus.find(server);
    return found != state.serverStatus.end() && !found->second.up;
}

} // namespace

ServerMonitor::ServerMonitor(Timing timing, FlapDampingOptions damping)
    : m_timing(timing)
    , m_damper(damping)
{ }

auto ServerMonitor::onProbe(const BackendServerId &server, bool answered, TimePoint now) -> void
{
    const auto found = m_monitored.find(server);
    if (found == m_monitored.end()) {
        return;
    }
    auto &health = found->second;
    if (answered) {
        health.failedAt.reset();
        health.answeredSince = health.answeredSince.value_or(now);
    } else {
        health.failedAt = now;
        health.answeredSince.reset();
    }
}

auto ServerMonitor::update(const ClusterState &state, const PeerReports &reports, TimePoint now)
    -> void
{
    for (auto &[server, health] : m_monitored) {
        health.suspectedBy.clear();
    }
    for (const auto &[vm, member] : state.members) {
        const auto *report = reports.findForMember(member);
        if (report == nullptr || !reports.isAlive(vm, now, m_timing.suspicionTimeout)) {
            continue;
        }
        for (const auto &server : report->suspects) {
            auto &health =
                m_monitored.try_emplace(server, ServerHealth{.suspectedAt = now}).first->second;
            health.suspectedBy.push_back(vm);
        }
    }
    for (const auto &[server, status] : state.serverStatus) {
        if (!status.up) {
            m_monitored.try_emplace(server, ServerHealth{.suspectedAt = now});
        }
        auto &down = m_wasDown[server];
        if (!status.up && !down) {
            m_damper.onFailure(server, now);
        }
        down = !status.up;
    }
    std::erase_if(m_monitored, [&](const auto &entry) {
        const auto unneeded = entry.second.suspectedBy.empty() && !isDown(state, entry.first);
        return unneeded || !state.servers.contains(entry.first);
    });
}

auto ServerMonitor::probes(const ClusterState &state, TimePoint now) -> std::vector<BackendServerId>
{
    auto servers = std::vector<BackendServerId>{};
    for (auto &[server, health] : m_monitored) {
        const auto due = !health.probedAt || now - *health.probedAt >= m_timing.probeInterval;
        if (due && state.servers.contains(server)) {
            health.probedAt = now;
            servers.push_back(server);
        }
    }
    return servers;
}

auto ServerMonitor::next(const ClusterState &state, TimePoint now) const
    -> std::optional<ServerStatusChange>
{
    for (const auto &[server, health] : m_monitored) {
        if (!isDown(state, server)) {
            if (const auto evidence = downEvidence(health)) {
                return ServerStatusChange{.server = server, .up = false, .evidence = *evidence};
            }
            continue;
        }
        const auto healthy = health.suspectedBy.empty() && health.answeredSince
            && now - *health.answeredSince >= m_damper.holdDownTime(server, now);
        if (healthy) {
            return ServerStatusChange{
                .server = server, .up = true, .evidence = "answers the controller's probes"};
        }
    }
    return std::nullopt;
}

auto ServerMonitor::downEvidence(const ServerHealth &health) const -> std::optional<std::string>
{
    const auto probeFailed = health.failedAt && *health.failedAt >= health.suspectedAt;
    if (health.suspectedBy.empty() || (health.suspectedBy.size() == 1 && !probeFailed)) {
        return std::nullopt;
    }
    auto text = std::string("no answer to");
    for (const auto &vm : health.suspectedBy) {
        text += ' ' + vm.value();
    }
    return probeFailed ? text + " and to the controller's probe" : text;
}

} // namespace figlanding
