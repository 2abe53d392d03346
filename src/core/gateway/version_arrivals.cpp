#include "figlanding/gateway/version_arrivals.h"

namespace figlanding {

namespace {

/// An order is read within this time after the announcements of the servers that it brings.
constexpr milliseconds orderDelay{2000};

} // namespace

auto VersionArrivals::note(const ServerRegistry &registry, TimePoint now) -> void
{
    for (const auto &[id, server] : registry.servers()) {
        auto &arrivals =
            m_services.try_emplace(server.entry.service, Arrivals{.first = now}).first->second;
        arrivals.versions.try_emplace(server.entry.version, now);
    }
}

auto VersionArrivals::heldBack(const ServiceId &service, TimePoint now) const
    -> std::set<ServerVersion>
{
    auto result = std::set<ServerVersion>{};
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return result;
    }
    for (const auto &[version, since] : found->second.versions) {
        if (since != found->second.first && now - since < orderDelay) {
            result.insert(version);
        }
    }
    return result;
}

auto VersionArrivals::services() const -> std::set<ServiceId>
{
    auto result = std::set<ServiceId>{};
    for (const auto &[service, arrivals] : m_services) {
        result.insert(service);
    }
    return result;
}

} // namespace figlanding
