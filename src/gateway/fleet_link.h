#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_view.h"
#include "gateway/datagram_socket.h"

#include <functional>
#include <memory>
#include <string>

/// @file
/// Exchange of messages with the other VMs of the fleet over UDP.

namespace figlanding {

/// Settings of FleetLink.
struct FleetLinkOptions
{
    VmId self;
    std::string incarnation; ///< random value that identifies this run of the process
    SocketAddress address; ///< local address to bind
};

/// A received message and the address that it came from.
struct FleetDelivery
{
    FleetMessage message;
    SocketAddress from;
};

/// Sends messages to fleet members, which are addressed by VM id, and receives theirs.
class FleetLink
{
public:
    using Handler = std::function<void(const FleetDelivery &)>;

    /// Binds the local address and starts to receive.
    /// @param view resolves members to addresses; must outlive the link
    /// @param handler called on the loop for each decoded message of another VM
    /// @return InvalidValue if the IP address is not an IPv4 address, IoFailure if the address
    /// cannot be bound
    [[nodiscard]] static auto open(EventLoop &loop, FleetLinkOptions options, const FleetView &view,
                                   Handler handler) -> Result<std::unique_ptr<FleetLink>>;
    FleetLink(const FleetLink &) = delete;
    auto operator=(const FleetLink &) -> FleetLink & = delete;

    /// Sends a message to one member; does nothing if the member is unknown.
    auto send(const VmId &to, const FleetPayload &payload) -> void;
    /// Sends a message to every known member. A topic update that is too large for a datagram is
    /// sent without its records, which receivers then read from the store.
    auto sendToAll(const FleetPayload &payload) -> void;

private:
    FleetLink(FleetLinkOptions options, const FleetView &view, Handler handler);

    auto receive(std::string_view bytes, const SocketAddress &from) -> void;
    [[nodiscard]] auto encode(const FleetPayload &payload) const -> std::string;

    FleetLinkOptions m_options;
    const FleetView &m_view;
    Handler m_handler;
    std::unique_ptr<DatagramSocket> m_socket;
};

} // namespace figlanding
