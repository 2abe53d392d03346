#include "gateway/fleet_link.h"

#include "io/log.h"

#include <utility>

namespace figlanding {

namespace {

/// Below the payload limit of UDP over IPv4, which is 65,507 bytes.
constexpr std::size_t maxDatagramBytes = 60'000;

} // namespace

FleetLink::FleetLink(FleetLinkOptions options, const FleetView &view, Handler handler)
    : m_options(std::move(options))
    , m_view(view)
    , m_handler(std::move(handler))
{ }

auto FleetLink::open(EventLoop &loop, FleetLinkOptions options, const FleetView &view,
                     Handler handler) -> Result<std::unique_ptr<FleetLink>>
{
    const auto address = options.address;
    auto link =
        std::unique_ptr<FleetLink>(new FleetLink(std::move(options), view, std::move(handler)));
    BOOST_LEAF_ASSIGN(
        link->m_socket,
        DatagramSocket::bind(loop, address, [self = link.get()](auto bytes, const auto &from) {
            self->receive(bytes, from);
        }));
    return link;
}

auto FleetLink::encode(const FleetPayload &payload) const -> std::string
{
    return encodeFleetMessage(
        {.from = m_options.self, .incarnation = m_options.incarnation, .payload = payload});
}

auto FleetLink::send(const VmId &to, const FleetPayload &payload) -> void
{
    if (const auto *member = m_view.find(to)) {
        m_socket->send(encode(payload), member->address);
    }
}

auto FleetLink::sendToAll(const FleetPayload &payload) -> void
{
    const auto bytes = encode(payload);
    const auto *update = std::get_if<TopicUpdate>(&payload);
    if (bytes.size() > maxDatagramBytes && update != nullptr && update->complete) {
        auto without = *update;
        without.records.clear();
        without.complete = false; // receivers then read the records from the store
        sendToAll(without);
        return;
    }
    for (const auto &[vm, member] : m_view.members()) {
        m_socket->send(bytes, member.address);
    }
}

auto FleetLink::receive(std::string_view bytes, const SocketAddress &from) -> void
{
    valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, decodeFleetMessage(bytes));
            if (message.from != m_options.self) {
                m_handler({.message = std::move(message), .from = from});
            }
            return true;
        },
        [&](const Error &error) {
            logEvent(LogLevel::Warning, "datagram-unreadable",
                     {{"from", toText(from)}, {"error", describe(error)}});
            return false;
        });
}

} // namespace figlanding
