#include "io/peer_link.h"
#include "standins/raw_client.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

enum class FrameType : char { Headers = 1, Settings = 4, Continuation = 9 };

// Encodes a frame of HTTP/2 without flags.
auto frame(FrameType type, char stream, const std::string &payload) -> std::string
{
    constexpr auto byteBits = 8U;
    const auto size = static_cast<std::uint32_t>(payload.size());
    auto bytes = std::string{};
    bytes.push_back(static_cast<char>(size >> (2 * byteBits)));
    bytes.push_back(static_cast<char>((size >> byteBits) & 0xffU));
    bytes.push_back(static_cast<char>(size & 0xffU));
    bytes.push_back(static_cast<char>(type));
    bytes.append({0, 0, 0, 0, stream});
    return bytes + payload;
}

// Encodes a header field as a literal that is not indexed.
auto literalField(const std::string &name, std::size_t valueBytes) -> std::string
{
    constexpr auto prefixLimit = std::size_t{127};
    auto bytes = std::string(1, '\0');
    bytes.push_back(static_cast<char>(name.size()));
    bytes.append(name);
    bytes.push_back(static_cast<char>(prefixLimit));
    auto rest = valueBytes - prefixLimit;
    for (; rest >= prefixLimit + 1; rest >>= 7U) {
        bytes.push_back(static_cast<char>((rest & prefixLimit) | (prefixLimit + 1)));
    }
    bytes.push_back(static_cast<char>(rest));
    return bytes.append(valueBytes, 'v');
}

} // namespace

TEST_CASE("a peer that sends header fields without end is disconnected")
{
    constexpr auto limit = std::size_t{32} * 1024 * 1024;
    constexpr auto accepted = std::size_t{4} * 1024 * 1024; // with the buffers of the sockets
    auto loop = EventLoop();
    auto server = settle([&] {
        return PeerServer::listen(loop, {"127.0.0.1", 0},
                                  {.vm = VmId("vm"), .incarnation = "i", .secret = "secret"},
                                  [](const PeerExchange &) {});
    });
    REQUIRE(server);
    auto sent = std::atomic<std::size_t>(0);
    auto done = std::atomic<bool>(false);
    auto openAfterSome = std::atomic<bool>(false);
    auto sender = std::thread([&, port = server.value()->port()] {
        auto client = RawClient(port);
        client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(FrameType::Settings, 0, "")
                    + frame(FrameType::Headers, 1, literalField("first", 1000)));
        const auto more = frame(FrameType::Continuation, 1, literalField("more", 16'000));
        client.send(more + more);
        client.readAll(milliseconds(100));
        openAfterSome = !client.closedByPeer();
        while (!client.closedByPeer() && sent < limit) {
            client.send(more);
            sent += more.size();
            client.readAll(milliseconds(2));
        }
        done = true;
    });
    auto timer = Timer(loop, [&] {
        if (done) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(1));
    loop.run();
    sender.join();
    CHECK(openAfterSome.load());
    CHECK(sent.load() < accepted);
}
