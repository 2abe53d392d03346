#pragma once

#include "io/http_client.h"
#include "standins/process.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// @file
/// A router process with lowered limits, and callers that do not keep to any limit.

namespace figlanding::testing {

/// Limits that the process is given in its settings.
struct CrowdedVmLimits
{
    std::size_t memoryMb = 80;
    std::size_t descriptors = 128;
    std::uint32_t serverSlots = 2; ///< requests that the server runs at once
};

/// One process of figlandingd-platform. Its store and its server run on a thread of the test.
class CrowdedVm
{
public:
    static constexpr std::size_t largeResponseBytes = std::size_t{4} * 1024 * 1024;

    /// Starts the process and waits until it serves.
    explicit CrowdedVm(CrowdedVmLimits limits = {});
    CrowdedVm(const CrowdedVm &) = delete;
    auto operator=(const CrowdedVm &) -> CrowdedVm & = delete;
    ~CrowdedVm();

    /// Returns the port for callers.
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_callers.port;
    }
    /// Returns the port on which a load balancer asks whether the process is ready.
    [[nodiscard]] auto readinessPort() const -> std::uint16_t
    {
        return m_readiness.port;
    }
    /// Returns the port for operators.
    [[nodiscard]] auto adminPort() const -> std::uint16_t
    {
        return m_admin.port;
    }
    /// Sends a request and waits for the response.
    [[nodiscard]] auto send(const std::string &method, const std::string &target,
                            std::string body = {}) -> HttpOutcome;
    /// Repeats an ordinary request until one gets the response of the server.
    /// @return whether one did before a limit that is far above all timeouts of the process
    [[nodiscard]] auto answersAnOrdinaryCaller() -> bool;
    /// Repeats a GET of a target at one of the ports until it gets status 200.
    /// @return whether one did before the same limit
    [[nodiscard]] auto answersAt(std::uint16_t port, const std::string &target) -> bool;
    /// Waits until the process has read all that its callers have sent, or closed their
    /// connections.
    auto awaitReading() -> void;
    /// Checks that the process lives and kept within its limits.
    auto checkLimits() -> void;
    /// Returns a request header with a new id, without the fields that frame a body.
    [[nodiscard]] auto header(const std::string &method, const std::string &target) -> std::string;

private:
    auto runStandIns() -> void;
    auto startProcess() -> void;

    CrowdedVmLimits m_limits;
    standins::TemporaryDirectory m_directory;
    SocketAddress m_callers;
    SocketAddress m_readiness;
    SocketAddress m_admin;
    std::unique_ptr<standins::Process> m_process;
    std::atomic<std::uint16_t> m_storePort{0};
    std::atomic<bool> m_stopping{false};
    int m_number = 0;
    std::thread m_standIns;
};

/// A connection of a caller that stays open until it is destroyed. It reads only when it is told
/// to.
class CrowdCaller
{
public:
    /// @param receiveBufferBytes of the socket; 0 leaves the default of the system
    explicit CrowdCaller(std::uint16_t port, int receiveBufferBytes = 0);

    /// Sends all bytes, or fewer if the peer closes the connection or accepts none for a while.
    /// Once that has happened, later calls send nothing.
    auto send(std::string_view bytes) -> void;
    /// Reads what has arrived, at most @p bytes.
    /// @return whether the connection is still open
    auto read(std::size_t bytes) -> bool;

private:
    FileDescriptor m_socket;
    bool m_cutOff = false;
};

/// Lets each caller send its text in pieces, one piece of each after the other.
auto sendInTurns(const std::vector<std::unique_ptr<CrowdCaller>> &callers, std::string_view text,
                 std::size_t pieceBytes) -> void;

} // namespace figlanding::testing
