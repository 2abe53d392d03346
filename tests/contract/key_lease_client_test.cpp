#include "key_lease_client.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
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
        auto command = GrantCommand{};
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
        const auto end = m_loop.now() + milliseconds(5000);
        auto timer = Timer(m_loop, [&] {
            if (condition() || m_loop.now() >= end) {
                m_loop.stop();
            }
        });
        timer.startRepeating(milliseconds(1));
        m_loop.run();
        return condition();
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

} // namespace

// Guards against a grant that takes effect when another server has the keys.
TEST_CASE("a grant that was given up is not delivered any more")
{
    auto calls = LeaseCalls({{{.action = RawAction::ReadAll, .text = {}}}});
    CHECK(calls.grant(milliseconds(50)) == CommandOutcome::Lost);
    CHECK(calls.runUntil([&] { return calls.server().readToEnd() == 1; }));
    CHECK(calls.server().resets() == 1);
}
