#pragma once

#include "figlanding/record.h"
#include "io/http_client.h"
#include "standins/deployment.h"
#include "standins/execution_history.h"
#include "standins/process.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A complete fleet of processes on loopback: log, VM list, daemons and backend servers.

namespace figlanding::standins {

/// Configuration of a fleet.
struct FleetOptions
{
    Deployment deployment;
    std::string directory; ///< receives settings, output and histories
    bool logReadsAreFresh = false; ///< value of the daemons' setting "reads_are_fresh"
};

/// Starts and stops the processes of a deployment and injects faults. Each VM connects to the log
/// through its own fault proxy, and each backend server is reached through one.
class Fleet
{
public:
    /// Starts all processes and declares all objects of the deployment.
    /// @return an error if a process doesn't start or the log refuses the declarations
    [[nodiscard]] static auto start(FleetOptions options) -> Result<std::unique_ptr<Fleet>>;

    /// Waits until every VM reports readiness and every exclusive shard has an owner.
    /// @return Timeout, with the state of every VM, if this doesn't happen within @p limit
    [[nodiscard]] auto waitReady(milliseconds limit) -> Result<void>;
    /// Appends a configuration change that declares objects.
    [[nodiscard]] auto declare(const std::vector<DeclaredObject> &objects) -> Result<void>;
    /// Appends a configuration change that removes an object.
    [[nodiscard]] auto remove(const ObjectRef &ref) -> Result<void>;

    [[nodiscard]] auto vmCount() const -> std::size_t
    {
        return m_vms.size();
    }
    [[nodiscard]] auto serverCount() const -> std::size_t
    {
        return m_servers.size();
    }
    [[nodiscard]] auto callerAddresses() const -> std::vector<SocketAddress>;
    [[nodiscard]] auto vm(std::size_t index) -> Process &
    {
        return *m_vms.at(index).process;
    }
    [[nodiscard]] auto server(std::size_t index) -> Process &
    {
        return *m_servers.at(index).process;
    }
    [[nodiscard]] auto deployment() const -> const Deployment &
    {
        return m_options.deployment;
    }
    /// Restarts the daemon of a VM after its process ended.
    [[nodiscard]] auto restartVm(std::size_t index) -> Result<void>;
    /// Restarts a server after its process ended; its cold phase lasts @p coldTime.
    [[nodiscard]] auto restartServer(std::size_t index, milliseconds coldTime) -> Result<void>;

    /// Replaces the faults of the log stand-in.
    auto setLogFaults(const nlohmann::json &faults) -> void;
    /// Replaces the faults of the proxy between a VM and the log.
    auto setLogLinkFaults(std::size_t vmIndex, const nlohmann::json &faults) -> void;
    /// Replaces the faults of the proxy in front of a server.
    auto setServerLinkFaults(std::size_t serverIndex, const nlohmann::json &faults) -> void;
    /// Replaces the faults of a server stand-in.
    auto setServerFaults(std::size_t serverIndex, const nlohmann::json &faults) -> void;

    /// Returns the state reported by a VM's admin port, or nothing if it doesn't respond.
    [[nodiscard]] auto stateOf(std::size_t vmIndex) -> std::optional<nlohmann::json>;
    /// Returns whether a VM's admin port reports readiness.
    [[nodiscard]] auto isReady(std::size_t vmIndex) -> bool;
    /// Reads the execution histories that all servers have written so far.
    [[nodiscard]] auto histories() const -> Result<Histories>;

private:
    struct Proxy
    {
        std::unique_ptr<Process> process;
        std::uint16_t port = 0;
        std::uint16_t adminPort = 0;
    };
    struct Vm
    {
        std::string name;
        std::string settingsFile;
        std::uint16_t callerPort = 0;
        std::uint16_t peerPort = 0;
        std::uint16_t adminPort = 0;
        Proxy logProxy;
        std::unique_ptr<Process> process;
    };
    struct Server
    {
        std::uint16_t port = 0;
        Proxy proxy;
        std::unique_ptr<Process> process;
    };

    explicit Fleet(FleetOptions options);
    auto append(ConfigChange change) -> Result<void>;
    auto startPlatform() -> Result<void>;
    auto startServers() -> Result<void>;
    auto startVms() -> Result<void>;
    auto publishVmList() -> void;
    auto startProcess(const std::string &name, const std::string &program,
                      const std::vector<std::string> &arguments)
        -> Result<std::unique_ptr<Process>>;
    auto startProxy(const std::string &name, std::uint16_t target) -> Result<Proxy>;
    auto startServer(std::size_t index, milliseconds coldTime) -> Result<void>;
    auto startVm(Vm &vm) -> Result<void>;
    [[nodiscard]] auto settingsOf(const Vm &vm, const std::string &zone) const -> std::string;

    FleetOptions m_options;
    std::unique_ptr<Process> m_log;
    std::unique_ptr<Process> m_vmList;
    std::uint16_t m_logPort = 0;
    std::uint16_t m_vmListPort = 0;
    std::vector<Vm> m_vms;
    std::vector<Server> m_servers;
    std::uint64_t m_nextSequence = 1;
};

} // namespace figlanding::standins
