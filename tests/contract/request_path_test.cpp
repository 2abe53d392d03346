#include "one_vm.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace figlanding;
using figlanding::testing::incarnationOf;
using figlanding::testing::keyedState;
using figlanding::testing::OneVm;
using figlanding::testing::RawAction;
using figlanding::testing::RawServer;

namespace {

struct PlainProtocol
{
    static auto readRequest(const HttpRequest & /*request*/) -> CallerRequest
    {
        return {.id = "id", .host = "h", .key = ShardKey{7}};
    }
    static auto serverRequest(const HttpRequest &request, const ServerCall & /*call*/)
        -> HttpRequest
    {
        return request;
    }
    static auto readResponse(const HttpResponse &response, const std::string & /*id*/)
        -> ServerResponse
    {
        return {.kind = response.status == 421 ? ResponseKind::WrongServer : ResponseKind::Success,
                .identified = response.headers.find("x-id").has_value()};
    }
    static auto promisesNotRun(const HttpResponse &response) -> bool
    {
        return response.status == 503;
    }
    static auto callerResponse(HttpResponse response) -> HttpResponse
    {
        return response;
    }
    static auto refusal(const Refusal & /*refusal*/, const std::string & /*id*/) -> HttpResponse
    {
        return {.status = 503};
    }
    static auto idHeader(const std::string &id) -> std::pair<std::string, std::string>
    {
        return {"x-id", id};
    }
};

// Holds the requests that arrive until the test responds to them.
class HoldingServer
{
public:
    explicit HoldingServer(EventLoop &loop)
        : m_server(valueOrElse(
            [&] {
                return HttpServer::listen(
                    loop, {.address = {.ip = "127.0.0.1"}}, [this](HttpExchange exchange) {
                        m_held.push_back(std::make_unique<HttpExchange>(std::move(exchange)));
                    });
            },
            [](const Error &) { return std::unique_ptr<HttpServer>(); }))
    { }
    [[nodiscard]] auto address() const -> SocketAddress
    {
        return {.ip = "127.0.0.1", .port = m_server->port()};
    }
    [[nodiscard]] auto arrivals() const -> std::size_t
    {
        return m_held.size();
    }
    auto respondToFirst() -> void
    {
        m_held.front()->respond({.status = 200});
    }

private:
    std::vector<std::unique_ptr<HttpExchange>> m_held;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

TEST_CASE("a request whose key moves while it waits for a slot is not sent to the earlier owner")
{
    auto vm = OneVm<PlainProtocol>(keyedState(1));
    auto first = HoldingServer(vm.loop);
    auto second = HoldingServer(vm.loop);
    vm.addServer("s1", first.address());
    vm.addServer("s2", second.address());
    vm.call();
    vm.call();
    REQUIRE(vm.runUntil([&] { return first.arrivals() == 1 && vm.path.pending() == 2; }));

    vm.owner = incarnationOf("s2");
    first.respondToFirst();
    CHECK(vm.runUntil([&] { return second.arrivals() == 1; }));
    CHECK(first.arrivals() == 1);
}

TEST_CASE("a late second copy of a rejection does not answer the retry of the same request")
{
    const auto rejection = std::string("HTTP/1.1 421 M\r\nx-id: id\r\ncontent-length: 0\r\n\r\n");
    const auto success = std::string("HTTP/1.1 200 OK\r\nx-id: id\r\ncontent-length: 0\r\n\r\n");
    // The copy arrives when the connection is in use again; the server then runs the retry.
    auto server = RawServer({{{RawAction::ReadRequest, {}},
                              {RawAction::Send, rejection},
                              {RawAction::ReadRequest, {}},
                              {RawAction::Send, rejection},
                              {RawAction::Hold, {}}},
                             {{RawAction::ReadRequest, {}}, {RawAction::Send, success}},
                             {{RawAction::ReadRequest, {}}, {RawAction::Send, success}}});
    auto vm = OneVm<PlainProtocol>(keyedState(3));
    vm.addServer("s1", server.address());
    vm.call();
    CHECK(vm.runUntil([&] { return vm.statuses.size() == 1; }));
    CHECK(vm.statuses == std::vector<int>{200});
    CHECK(server.requests().size() == 2); // the rejected one and the one that ran
}
