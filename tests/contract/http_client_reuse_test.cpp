#include "io/http_client.h"
#include "sync_client.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::testing;

namespace {

constexpr milliseconds shortestIdleTime{30};

// Returns the descriptor of this process that is connected to the server, or -1.
auto socketTo(const SocketAddress &server) -> int
{
    constexpr auto maxDescriptor = 1024;
    for (auto fd = 0; fd < maxDescriptor; ++fd) {
        auto peer = sockaddr_in{};
        auto size = socklen_t{sizeof peer};
        if (::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && peer.sin_family == AF_INET && ntohs(peer.sin_port) == server.port) {
            return fd;
        }
    }
    return -1;
}

// Returns whether the socket has unread input, an end of input or an error.
auto hasInput(int fd) -> bool
{
    auto item = pollfd{.fd = fd, .events = POLLIN, .revents = 0};
    return ::poll(&item, 1, 0) > 0;
}

} // namespace

TEST_CASE("faults on a reused connection")
{
    struct Row
    {
        std::string name;
        RawScript first; ///< on the first connection, once the client has the first response
        bool inputWhileIdle; ///< whether the client's socket becomes readable before the next call
        Verdict verdict;
        bool newConnection;
        std::size_t requests; ///< complete requests that the server read
    };
    const auto rows = std::vector<Row>{
        {"is used again",
         {read(), send(okResponse), step(RawAction::Hold)},
         false,
         Verdict::Ran,
         false,
         2},
        {"closed while idle", {step(RawAction::Close)}, true, Verdict::Ran, true, 2},
        {"reset while idle", {step(RawAction::Reset)}, true, Verdict::Ran, true, 2},
        {"input while idle",
         {send(okResponse), step(RawAction::Hold)},
         true,
         Verdict::Ran,
         true,
         2},
        {"closed after the second request",
         {read(), step(RawAction::Close)},
         false,
         Verdict::MayHaveRun,
         false,
         2},
        {"reset after the second request",
         {read(), step(RawAction::Reset)},
         false,
         Verdict::MayHaveRun,
         false,
         2},
    };
    for (const auto *method : {"GET", "POST", "DELETE"}) {
        for (const auto &row : rows) {
            CAPTURE(method);
            CAPTURE(row.name);
            auto script = RawScript{read(), send(okResponse), step(RawAction::Await)};
            script.insert(script.end(), row.first.begin(), row.first.end());
            auto server = RawServer({script, {read(), send(okResponse), step(RawAction::Hold)}});
            auto syncClient = SyncClient();
            const auto request = HttpRequest{.method = method};
            const auto options =
                HttpCallOptions{.timeout = longTimeout, .connectTimeout = longTimeout};
            REQUIRE(syncClient.call(server.address(), request, options).verdict == Verdict::Ran);
            const auto fd = socketTo(server.address());
            REQUIRE(fd >= 0);
            CHECK_FALSE(hasInput(fd));
            server.proceed();
            syncClient.wait(shortestIdleTime);
            for (auto i = 0; i < 10'000 && row.inputWhileIdle && !hasInput(fd); ++i) {
                syncClient.wait(milliseconds(1));
            }
            CHECK(hasInput(fd) == row.inputWhileIdle);
            const auto outcome = syncClient.call(server.address(), request, options);
            CHECK(outcome.verdict == row.verdict);
            CHECK(outcome.newConnection == row.newConnection);
            CHECK(server.requests().size() == row.requests);
        }
    }
}

TEST_CASE("input on an idle connection is reported, its end is not")
{
    const auto rows = std::vector<std::pair<RawStep, std::size_t>>{{send("late"), 1},
                                                                   {step(RawAction::Close), 0}};
    for (const auto &[late, reports] : rows) {
        auto server = RawServer(
            {{read(), send(okResponse), step(RawAction::Await), late, step(RawAction::Hold)},
             {read(), send(okResponse), step(RawAction::Hold)}});
        auto reported = std::vector<SocketAddress>{};
        auto syncClient = SyncClient(
            {.onUnexpectedInput = [&](const SocketAddress &from) { reported.push_back(from); }});
        REQUIRE(syncClient.call(server.address(), post("b")).verdict == Verdict::Ran);
        const auto fd = socketTo(server.address());
        server.proceed();
        for (auto i = 0; i < 10'000 && !hasInput(fd); ++i) {
            syncClient.wait(milliseconds(1));
        }
        REQUIRE(syncClient.call(server.address(), post("b")).verdict == Verdict::Ran);
        CHECK(reported == std::vector<SocketAddress>(reports, server.address()));
    }
}

TEST_CASE("idle age limit and forced new connections")
{
    struct Row
    {
        std::string name;
        HttpCallOptions options;
        bool newConnection;
    };
    const auto rows = std::vector<Row>{
        {"young enough", {.maxIdleAge = milliseconds(5000)}, false},
        {"too old", {.maxIdleAge = milliseconds(20)}, true},
        {"fresh", {.freshConnection = true}, true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto script =
            RawScript{read(), send(okResponse), read(), send(okResponse), step(RawAction::Hold)};
        auto server = RawServer({script, script});
        auto syncClient = SyncClient();
        REQUIRE(syncClient.call(server.address(), post("x")).verdict == Verdict::Ran);
        syncClient.wait(milliseconds(40));
        const auto outcome = syncClient.call(server.address(), post("x"), row.options);
        CHECK(outcome.verdict == Verdict::Ran);
        CHECK(outcome.newConnection == row.newConnection);
    }
}
