#pragma once

#include "figlanding/objects.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// @file
/// A TCP server that follows a script, to simulate faults that a correct HTTP server can't produce.

namespace figlanding::testing {

/// Action of one step of a script.
enum class RawAction {
    ReadRequest, ///< reads one complete request
    ReadSome, ///< reads one byte
    ReadAll, ///< reads until the peer closes the connection
    Send, ///< sends RawStep::text
    Close, ///< closes the connection normally
    Await, ///< waits for RawServer::proceed(), as when the client has read an earlier response
    Reset, ///< closes the connection with RST
    StopListening, ///< refuses all further connections
    Hold, ///< keeps the connection open until the server stops
    Stream, ///< sends RawStep::text again and again until the peer closes or the server stops
    Trickle, ///< as Stream, with a pause of 1 ms after each text
};

/// One step of the script of a connection.
struct RawStep
{
    RawAction action = RawAction::Hold;
    std::string text; ///< for RawAction::Send, Stream and Trickle
};

/// Steps of one connection, in order; the connection is closed after the last.
using RawScript = std::vector<RawStep>;

/// Accepts connections on a background thread and runs one script per connection, each on its own
/// thread.
class RawServer
{
public:
    /// @param scripts one per connection, in order of acceptance; further connections are held open
    explicit RawServer(std::vector<RawScript> scripts);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    [[nodiscard]] auto address() const -> SocketAddress;
    /// Ends the Await steps, also those that have not begun.
    auto proceed() -> void
    {
        m_proceed = true;
    }
    /// Returns the requests that ReadRequest steps have read.
    [[nodiscard]] auto requests() const -> std::vector<std::string>;
    /// Returns the number of Stream and Trickle steps that the peer ended by closing.
    [[nodiscard]] auto closedStreams() const -> int
    {
        return m_closedStreams;
    }

    /// Returns the number of ReadAll steps that have ended.
    [[nodiscard]] auto readToEnd() const -> int
    {
        return m_readToEnd;
    }
    /// Returns the number of ReadAll steps that the peer ended with RST.
    [[nodiscard]] auto resets() const -> int
    {
        return m_resets;
    }

private:
    auto serve() -> void;
    auto runScript(int fd, const RawScript &script) -> void;
    auto readRequest(int fd) -> void;
    auto readAll(int fd) -> void;
    auto stream(int fd, const RawStep &step) -> void;
    auto waitReadable(int fd) const -> bool;

    std::vector<RawScript> m_scripts;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_proceed = false;
    std::atomic<int> m_closedStreams = 0;
    std::atomic<int> m_readToEnd = 0;
    std::atomic<int> m_resets = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace figlanding::testing
