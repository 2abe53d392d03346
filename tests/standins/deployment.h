#pragma once

#include "figlanding/objects.h"
#include "io/load_plan.h"

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// Topology of a fleet under test: VMs, backend servers, services and teams.

namespace figlanding::standins {

/// A backend server stand-in and the values it is declared with.
struct DeployedServer
{
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t slots = 2;
    std::uint32_t maxConnections = 120;
    int serviceMs = 5; ///< service time in milliseconds
    int probeUs = 0; ///< cost of a health request in microseconds
    bool checksFence = false; ///< refuses requests without a valid lease and grant

    auto operator==(const DeployedServer &) const -> bool = default;
};

/// A service and the route that leads to it.
struct DeployedService
{
    std::string name;
    std::string pathPrefix;
    ServiceMode mode = ServiceMode::Exclusive;
    bool open = false; ///< needs no team key
    std::uint32_t shardCount = 64;

    auto operator==(const DeployedService &) const -> bool = default;
};

/// The VMs, servers and declared objects of a fleet.
struct Deployment
{
    std::size_t vms = 3;
    std::vector<std::string> zones = {"a", "b", "c"};
    std::vector<DeployedServer> servers;
    std::vector<DeployedService> services;
    std::vector<LoadTeam> teams;
    double teamRate = 1000.0; ///< requests per second of each team
    double teamBurst = 1000.0;

    auto operator==(const Deployment &) const -> bool = default;
};

/// Returns a deployment of the services of a load preset. Every second server of an exclusive
/// service checks fences.
/// @param profile load preset
/// @param vms number of VMs
/// @param divisor scales down the production number of servers; each service keeps at least two
[[nodiscard]] auto deploymentOf(const LoadProfile &profile, std::size_t vms, std::size_t divisor)
    -> Deployment;

/// Returns the objects that declare a deployment.
/// @param serverPorts loopback ports, in the order of Deployment::servers
[[nodiscard]] auto declarationsOf(const Deployment &deployment,
                                  const std::vector<std::uint16_t> &serverPorts)
    -> std::vector<DeclaredObject>;

} // namespace figlanding::standins
