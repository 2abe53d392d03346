#include "standins/deployment.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <map>

namespace figlanding::standins {

namespace {

constexpr auto saltHex = "00112233445566778899aabbccddeeff";

/// Size of one service in a production deployment.
struct ServiceSize
{
    std::size_t servers;
    std::uint32_t slots;
    std::uint32_t connections;
    int serviceMs;
    int probeUs;
    ServiceMode mode;
};

auto sizes() -> const std::map<std::string, ServiceSize> &
{
    static const auto table = std::map<std::string, ServiceSize>{
        {"lessons", {13, 2, 120, 5, 0, ServiceMode::Exclusive}},
        {"bookings", {6, 2, 120, 8, 0, ServiceMode::Exclusive}},
        {"archive", {12, 2, 120, 10, 0, ServiceMode::Pool}},
        {"rooms", {14, 6, 130, 8, 6000, ServiceMode::Exclusive}},
        {"ledger", {6, 6, 130, 10, 6000, ServiceMode::Exclusive}},
        {"documents", {13, 6, 130, 12, 6000, ServiceMode::Pool}},
    };
    return table;
}

auto selectorOf(const std::string &text) -> Selector
{
    return valueOrElse([&] { return Selector::parse(text); },
                       [](const Error &) { return Selector(); });
}

auto digestHex(const std::string &secret) -> std::string
{
    const auto text = std::string(saltHex) + secret;
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr auto digits = std::string_view("0123456789abcdef");
    constexpr auto nibble = 4U;
    constexpr auto mask = 0xfU;
    auto hex = std::string{};
    for (const auto byte : digest) {
        hex += digits[byte >> nibble];
        hex += digits[byte & mask];
    }
    return hex;
}

auto addTeam(std::vector<DeclaredObject> &objects, const LoadTeam &team,
             const Deployment &deployment) -> void
{
    const auto dot = team.credential.find('.');
    objects.emplace_back(Team{.id = TeamId(team.name),
                              .ratePerSecond = deployment.teamRate,
                              .burst = deployment.teamBurst});
    objects.emplace_back(TeamKey{.id = TeamKeyId(team.credential.substr(0, dot)),
                                 .team = TeamId(team.name),
                                 .saltHex = saltHex,
                                 .digestHex = digestHex(team.credential.substr(dot + 1))});
}

} // namespace

auto deploymentOf(const LoadProfile &profile, std::size_t vms, std::size_t divisor) -> Deployment
{
    constexpr std::size_t minServers = 2;
    auto deployment = Deployment{.vms = vms, .teams = profile.teams};
    for (const auto &route : profile.routes) {
        const auto &size = sizes().at(route.name);
        deployment.services.push_back({.name = route.name,
                                       .pathPrefix = route.pathPrefix,
                                       .mode = size.mode,
                                       .open = route.open});
        const auto count = std::max(minServers, size.servers / divisor);
        for (std::size_t index = 0; index < count; ++index) {
            deployment.servers.push_back(
                {.id = route.name + "-" + std::to_string(index + 1),
                 .service = route.name,
                 .zone = deployment.zones.at(index % deployment.zones.size()),
                 .slots = size.slots,
                 .maxConnections = size.connections,
                 .serviceMs = size.serviceMs,
                 .probeUs = size.probeUs,
                 .checksFence = size.mode == ServiceMode::Exclusive && index % 2 == 1});
        }
    }
    return deployment;
}

auto declarationsOf(const Deployment &deployment, const std::vector<std::uint16_t> &serverPorts)
    -> std::vector<DeclaredObject>
{
    auto objects = std::vector<DeclaredObject>{};
    for (const auto &zone : deployment.zones) {
        objects.emplace_back(AvailabilityZone{.id = AvailabilityZoneId(zone)});
    }
    for (std::size_t index = 0; index < deployment.servers.size(); ++index) {
        const auto &server = deployment.servers.at(index);
        objects.emplace_back(BackendServer{.id = BackendServerId(server.id),
                                           .zone = AvailabilityZoneId(server.zone),
                                           .address = {"127.0.0.1", serverPorts.at(index)},
                                           .labels = {{"service", server.service}},
                                           .slots = server.slots,
                                           .maxConnections = server.maxConnections,
                                           .checksFence = server.checksFence});
    }
    for (const auto &team : deployment.teams) {
        addTeam(objects, team, deployment);
    }
    for (const auto &service : deployment.services) {
        objects.emplace_back(Service{.id = ServiceId(service.name),
                                     .mode = service.mode,
                                     .servers = selectorOf("service=" + service.name),
                                     .shardCount = service.shardCount});
        objects.emplace_back(Route{.id = RouteId(service.name),
                                   .pathPrefix = service.pathPrefix,
                                   .service = ServiceId(service.name),
                                   .open = service.open});
    }
    return objects;
}

} // namespace figlanding::standins
