#pragma once

#include "figlanding/names.h"
#include "figlanding/objects.h"
#include "io/event_loop.h"
#include "io/peer_connection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// @file
/// Authenticated connections between VMs: PeerServer accepts them, PeerLink maintains one to a
/// peer.

namespace figlanding {

/// Identity and credentials with which this VM authenticates to its peers.
struct PeerIdentity
{
    VmId vm;
    std::string incarnation; ///< random value that distinguishes this process from earlier ones
    std::string secret; ///< shared secret of the fleet
};

/// Handle to a request of an authenticated peer that awaits its response. Copies refer to the same
/// request.
class PeerExchange
{
public:
    struct Impl;
    explicit PeerExchange(std::shared_ptr<Impl> impl);

    /// Returns the VM that sent the request.
    [[nodiscard]] auto from() const -> const VmId &;
    [[nodiscard]] auto request() const -> const HttpRequest &;
    /// Sends the response; later calls have no effect.
    auto respond(HttpResponse response) -> void;
    /// Sets a callback that runs if the peer cancels the request or the connection is lost before
    /// respond().
    auto onAbandoned(std::function<void()> callback) -> void;

private:
    std::shared_ptr<Impl> m_impl;
};

/// Accepts connections from peers, authenticates them and passes their requests to a handler.
class PeerServer
{
public:
    using Handler = std::function<void(PeerExchange)>;

    /// Starts listening; port 0 selects a free port.
    /// @return the server, or InvalidValue or IoFailure if the address can't be parsed or bound
    [[nodiscard]] static auto listen(EventLoop &loop, const SocketAddress &address,
                                     PeerIdentity identity, Handler handler)
        -> Result<std::unique_ptr<PeerServer>>;
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Maintains one authenticated connection to a peer and reconnects with exponential backoff.
class PeerLink
{
public:
    using RequestId = std::uint64_t;

    PeerLink(EventLoop &loop, SocketAddress address, PeerIdentity identity);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Returns whether the connection is open and authenticated.
    [[nodiscard]] auto ready() const -> bool;
    /// Returns the name of the peer's VM; empty before the first authentication.
    [[nodiscard]] auto peer() const -> const VmId &;
    [[nodiscard]] auto address() const -> const SocketAddress &;

    /// Sends a request; fails with NotRun if the link is not ready.
    /// @param timeout after which the request is cancelled and @p callback gets MayHaveRun
    /// @param callback runs once, unless cancel() is called; it may run before request() returns
    /// @return the id for cancel(), or 0 if the link is not ready
    auto request(HttpRequest request, Duration timeout, std::function<void(PeerOutcome)> callback)
        -> RequestId;
    /// Cancels a request; its callback does not run.
    auto cancel(RequestId id) -> void;
    /// Closes the connection, for example when responses no longer arrive; the link reconnects.
    auto reset(const Error &reason) -> void;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace figlanding
