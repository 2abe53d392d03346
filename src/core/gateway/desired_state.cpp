#include "figlanding/gateway/desired_state.h"

#include <algorithm>

namespace figlanding {

namespace {

auto withoutPort(std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

DesiredStateIndex::DesiredStateIndex(DesiredState state)
    : m_state(std::move(state))
{
    for (std::size_t i = 0; i < m_state.routes.size(); ++i) {
        m_routesByHost[m_state.routes[i].host].push_back(i);
    }
    for (auto &[host, indexes] : m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](auto left, auto right) {
            return m_state.routes[left].pathPrefix.size() > m_state.routes[right].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_state.teams.size(); ++i) {
        for (const auto &key : m_state.teams[i].apiKeys) {
            m_teamsByKey.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < m_state.services.size(); ++i) {
        m_services.emplace(m_state.services[i].id, i);
    }
}

auto DesiredStateIndex::findRoute(std::string_view host, std::string_view path) const
    -> const DesiredRoute *
{
    const auto found = m_routesByHost.find(std::string(withoutPort(host)));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(m_state.routes[index].pathPrefix)) {
            return &m_state.routes[index];
        }
    }
    return nullptr;
}

auto DesiredStateIndex::findTeam(const std::string &apiKey) const -> const DesiredTeam *
{
    const auto found = m_teamsByKey.find(apiKey);
    return found == m_teamsByKey.end() ? nullptr : &m_state.teams[found->second];
}

auto DesiredStateIndex::findService(const ServiceId &service) const -> const DesiredService *
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &m_state.services[found->second];
}

auto pickService(const DesiredRoute &route, double uniform) -> const ServiceId &
{
    auto total = 0.0;
    for (const auto &choice : route.services) {
        total += choice.weight;
    }
    auto left = uniform * total;
    for (const auto &choice : route.services) {
        left -= choice.weight;
        if (left < 0.0) {
            return choice.service;
        }
    }
    return route.services.back().service;
}

} // namespace figlanding
