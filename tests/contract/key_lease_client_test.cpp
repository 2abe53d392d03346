#include "key_lease_client.h"
#include "raw_server.h"
#include "run_until.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace figlanding;
using namespace figlanding::platform;
using namespace figlanding::testing;

namespace {

// A lease client, with the server that it calls.
class LeaseCalls
{
public:
    explicit LeaseCalls(std::vector<RawScript> scripts)
        : m_server(std::move(scripts))
    { }

    auto grant(milliseconds timeout = milliseconds(2000)) -> CommandOutcome
    {
        return grant(GrantCommand{}, timeout);
    }
    // Sends a grant whose response must be its own.
    auto grantWithProof() -> CommandOutcome
    {
        auto command = GrantCommand{};
        command.needsProof = true;
        return grant(std::move(command), milliseconds(2000));
    }
    auto grant(GrantCommand command, milliseconds timeout) -> CommandOutcome
    {
        command.address = m_server.address();
        auto result = std::optional<CommandOutcome>{};
        m_leases.grant(command, milliseconds(4000), timeout,
                       [&](CommandOutcome outcome) { result = outcome; });
        runUntil([&] { return result.has_value(); });
        return result.value_or(CommandOutcome::NotSent);
    }
    auto release(milliseconds timeout = milliseconds(2000)) -> CommandOutcome
    {
        auto command = ReleaseCommand{};
        command.address = m_server.address();
        auto result = std::optional<CommandOutcome>{};
        m_leases.release(command, timeout, [&](CommandOutcome outcome, const std::string &token) {
            result = outcome;
            m_token = token;
        });
        runUntil([&] { return result.has_value(); });
        return result.value_or(CommandOutcome::NotSent);
    }
    auto runUntil(const std::function<bool()> &condition) -> bool
    {
        return figlanding::testing::runUntil(m_loop, condition, milliseconds(5000));
    }
    auto server() -> RawServer &
    {
        return m_server;
    }
    [[nodiscard]] auto token() const -> const std::string &
    {
        return m_token;
    }

private:
    EventLoop m_loop;
    RawServer m_server;
    HttpClient m_client{m_loop, {}};
    KeyLeaseClient m_leases{m_client};
    std::string m_token;
};

auto read() -> RawStep
{
    return {.action = RawAction::ReadRequest, .text = {}};
}

auto send(const std::string &text) -> RawStep
{
    return {.action = RawAction::Send, .text = text};
}

auto hold() -> RawStep
{
    return {.action = RawAction::Hold, .text = {}};
}

const auto granted = std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

auto released(const std::string &token) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Lease-Handover: " + token + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a grant that takes effect when another server has the keys.
TEST_CASE("a grant that was given up is not delivered any more")
{
    auto calls = LeaseCalls({{{.action = RawAction::ReadAll, .text = {}}}});
    CHECK(calls.grant(milliseconds(50)) == CommandOutcome::Lost);
    CHECK(calls.runUntil([&] { return calls.server().readToEnd() == 1; }));
    CHECK(calls.server().resets() == 1);
}

// Guards against keys that go to another server while their owner works on them.
TEST_CASE("a late second copy of the response to a grant does not release keys")
{
    auto calls = LeaseCalls({{read(), send(granted), read(), send(granted), hold()},
                             {read(), send(released("token"))}});
    CHECK(calls.grant() == CommandOutcome::Accepted);
    CHECK(calls.release() == CommandOutcome::Accepted);
    CHECK(calls.token() == "token");
}

TEST_CASE("a late second copy of the response to a release does not release other keys")
{
    auto calls = LeaseCalls({{read(), send(released("a")), read(), send(released("a")), hold()},
                             {read(), send(released("b"))}});
    CHECK(calls.release() == CommandOutcome::Accepted);
    CHECK(calls.release() == CommandOutcome::Accepted);
    CHECK(calls.token() == "b");
}

TEST_CASE("a response that a server does not give to a release frees no keys")
{
    for (const auto *status : {"200 OK", "409 Conflict"}) {
        const auto response =
            std::string("HTTP/1.1 ").append(status).append("\r\nContent-Length: 0\r\n\r\n");
        auto calls = LeaseCalls({{read(), send(response), hold()}});
        CHECK(calls.release() == CommandOutcome::Lost);
    }
}

TEST_CASE("a rejection that may belong to no grant does not give keys on")
{
    const auto misdirected =
        std::string("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    auto calls = LeaseCalls({{read(), send(granted), read(), send(misdirected), hold()},
                             {read(), send(misdirected), hold()}});
    CHECK(calls.grant() == CommandOutcome::Accepted);
    CHECK(calls.grant() == CommandOutcome::Lost);
    CHECK(calls.grant() == CommandOutcome::OtherServer); // on a new connection
}

TEST_CASE("a late second copy of the response to a release is not taken for a granted lease")
{
    auto calls = LeaseCalls({{read(), send(released("a")), read(), send(released("a")), hold()},
                             {read(), send(granted)}});
    CHECK(calls.release() == CommandOutcome::Accepted);
    CHECK(calls.grant() == CommandOutcome::Lost);
    CHECK(calls.grant() == CommandOutcome::Accepted); // on another connection
}

// Guards against keys that count as granted, and move on, while an earlier grant may still arrive.
TEST_CASE("a copy of the response to a grant is not taken for that to one that needs proof")
{
    const auto conflict = std::string("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    for (const auto &[copy, response, outcome] :
         {std::tuple(granted, conflict, CommandOutcome::Refused),
          std::tuple(conflict, granted, CommandOutcome::Accepted)}) {
        auto calls = LeaseCalls({{read(), send(copy), read(), send(copy), hold()},
                                 {read(), send(response), read(), send(response), hold()}});
        calls.grant();
        CHECK(calls.grantWithProof() == outcome);
        CHECK(calls.server().requests().size() == 2);
    }
}

// Guards against a lease that is counted from the renewal before the one that the server has taken.
TEST_CASE("a renewal that was sent counts as sent when the connection after it is refused")
{
    auto calls = LeaseCalls(
        {{read(), send(granted), read(), {.action = RawAction::StopListening, .text = {}}}});
    CHECK(calls.grant() == CommandOutcome::Accepted);
    CHECK(calls.grant() == CommandOutcome::Lost);
    CHECK(calls.server().requests().size() == 2);
    CHECK(calls.grant() == CommandOutcome::NotSent);
}

TEST_CASE("renewals use the connection of the grants before them")
{
    auto calls = LeaseCalls({{read(), send(granted), read(), send(granted), hold()}});
    CHECK(calls.grantWithProof() == CommandOutcome::Accepted);
    CHECK(calls.grant() == CommandOutcome::Accepted);
    CHECK(calls.server().requests().size() == 2);
}

// Guards against the end of each VM in control, as the token stands in the table of owners.
TEST_CASE("a hand-over token that is no UTF-8 ends no VM, and its keys are granted without it")
{
    for (const auto &token : std::vector<std::string>{"\xff", "a\x80z", "\xc3"}) {
        auto calls = LeaseCalls({{read(), send(released(token))}, {read(), send(granted)}});
        CHECK(calls.release() == CommandOutcome::Accepted);
        auto command = GrantCommand{};
        command.handOver = calls.token().empty() ? token : calls.token();
        CHECK(calls.grant(command, milliseconds(2000)) == CommandOutcome::Accepted);
        REQUIRE(calls.server().requests().size() == 2);
        CHECK(calls.server().requests().back().find("Handover") == std::string::npos);
    }
}

TEST_CASE("a hand-over token of any UTF-8 text is granted as it was released")
{
    const auto token = std::string("z\xc3\xbc \"%+&\\");
    auto calls = LeaseCalls({{read(), send(released(token))}, {read(), send(granted)}});
    CHECK(calls.release() == CommandOutcome::Accepted);
    auto command = GrantCommand{};
    command.handOver = calls.token();
    CHECK(calls.grant(command, milliseconds(2000)) == CommandOutcome::Accepted);
    CHECK(calls.server().requests().back().find(R"("Handover":"z)"
                                                "\xc3\xbc"
                                                R"( \"%+&\\")")
          != std::string::npos);
}
