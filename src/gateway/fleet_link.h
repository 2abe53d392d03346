#pragma once

#include "figlanding/gateway/fleet_messages.h"
#include "figlanding/gateway/fleet_view.h"
#include "gateway/datagram_socket.h"

#include <functional>
#include <memory>
#include <string>

/// @file
/// Datagrams to and from the other VMs.

namespace figlanding {

/// Settings of FleetLink.
struct FleetLinkOptions
{
    VmId self;
    std::string incarnation;
    SocketAddress address;
};

/// A message and who sent it.
struct FleetDelivery
{
    FleetMessage message;
    SocketAddress from;
};

/// Sends messages to members by name.
class FleetLink
{
public:
    using Handler = std::function<void(const FleetDelivery &)>;

    /// @param view names the members' addresses and outlives the link
    /// @return IoFailure if the address cannot be bound
    [[nodiscard]] static auto open(EventLoop &loop, FleetLinkOptions options, const FleetView &view,
                                   Handler handler) -> Result<std::unique_ptr<FleetLink>>;
    FleetLink(const FleetLink &) = delete;
    auto operator=(const FleetLink &) -> FleetLink & = delete;

    /// Sends to one member; nothing happens if it is unknown.
    auto send(const VmId &to, const FleetPayload &payload) -> void;
    /// Sends to all members.
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
