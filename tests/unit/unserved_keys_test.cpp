#include "figlanding/gateway/key_controller.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");
const auto lost = BackendServerId("s0");

// An active controller and three servers that accept all commands, except one that can be lost.
class Fleet
{
public:
    Fleet()
    {
        for (const auto *name : {"s0", "s1", "s2"}) {
            announce(name, name, 1);
        }
        m_controller.setElected(true);
        m_controller.onView({}, m_now);
        run(seconds(3));
    }
    auto run(Duration span, bool storeReachable = true) -> void
    {
        constexpr auto step = milliseconds(50);
        for (const auto end = m_now + span; m_now < end; m_now += step) {
            if (storeReachable) {
                m_controller.onStoreContact(m_now);
            }
            const auto inputs = ControllerInputs{.registry = m_registry,
                                                 .keyedServices = {service},
                                                 .loads = m_loads,
                                                 .serviceTimes = m_serviceTimes};
            for (const auto &action : m_controller.tick(inputs, m_now)) {
                std::visit([this](const auto &content) { handle(content); }, action);
            }
        }
    }
    auto loseServer() -> void
    {
        m_registry.remove(lost, m_now);
        m_registry.expire(m_now);
        m_lost = true;
    }
    // Announces a server at the address of the one that was lost.
    auto announceAtLostAddress(const std::string &name, std::int64_t startedUnixMs) -> void
    {
        announce(name, lost.value(), startedUnixMs);
    }
    auto drainServer() -> void
    {
        m_registry.onLeaving({.server = lost, .startedUnixMs = 1});
        m_answersReleases = false;
    }
    [[nodiscard]] auto unserved() const -> std::vector<UnservedRange>
    {
        return m_controller.unservedRanges(m_now);
    }

private:
    auto announce(const std::string &name, const std::string &ip, std::int64_t startedUnixMs)
        -> void
    {
        m_registry.announce({.id = BackendServerId(name),
                             .startedUnixMs = startedUnixMs,
                             .service = service,
                             .address = {.ip = ip, .port = 1},
                             .sequence = 1},
                            m_now);
    }
    auto handle(const AppendClaim &record) -> void
    {
        m_controller.onAppend(AppendOutcome::Appended, record.expectedEnd, m_now);
    }
    auto handle(const AppendTable &record) -> void
    {
        m_controller.onAppend(AppendOutcome::Appended, record.expectedEnd, m_now);
    }
    auto handle(const GrantCommand &command) -> void
    {
        const auto reached = !m_lost || command.to.server != lost;
        m_controller.onGrant(command.id,
                             reached ? CommandOutcome::Accepted : CommandOutcome::NotSent, m_now);
    }
    auto handle(const ReleaseCommand &command) -> void
    {
        if (m_lost && command.from.server == lost) {
            m_controller.onRelease(command.id, CommandOutcome::NotSent, "", m_now);
        } else if (m_answersReleases) {
            m_controller.onRelease(command.id, CommandOutcome::Accepted, "token", m_now);
        }
    }

    TimePoint m_now = TimePoint{} + seconds(1000);
    ServerRegistry m_registry;
    std::map<ServiceId, std::vector<float>> m_loads;
    std::map<BackendServerId, milliseconds> m_serviceTimes;
    KeyController m_controller{{.self = VmId("vm"), .incarnation = "1"}};
    bool m_lost = false;
    bool m_answersReleases = true;
};

auto allWaitFor(const std::vector<UnservedRange> &ranges, OwnerWait wait) -> bool
{
    return !ranges.empty()
        && std::all_of(ranges.begin(), ranges.end(), [&](const UnservedRange &range) {
               return range.owner == lost && range.waitsFor == wait;
           });
}

} // namespace

TEST_CASE("keys of a lost server are reported without an owner until its lease has ended")
{
    auto fleet = Fleet();
    CHECK(fleet.unserved().empty());
    fleet.loseServer();
    fleet.run(seconds(2));
    REQUIRE(allWaitFor(fleet.unserved(), OwnerWait::Lease));
    const auto since = fleet.unserved().front().since;
    fleet.run(seconds(2));
    CHECK(fleet.unserved().front().since == since);
    fleet.run(seconds(4));
    CHECK(fleet.unserved().empty());
}

TEST_CASE("keys of a lost server do not wait for its lease once a later one has its address")
{
    auto fleet = Fleet();
    fleet.loseServer();
    fleet.run(seconds(1));
    fleet.announceAtLostAddress("predecessor", 1);
    fleet.run(seconds(1));
    CHECK(allWaitFor(fleet.unserved(), OwnerWait::Lease));
    fleet.announceAtLostAddress("successor", 2);
    fleet.run(milliseconds(200));
    CHECK(fleet.unserved().empty());
}

TEST_CASE("keys of a lost server are reported to wait for the store while that is away")
{
    auto fleet = Fleet();
    fleet.run(seconds(3), false);
    fleet.loseServer();
    fleet.run(seconds(5), false);
    CHECK(allWaitFor(fleet.unserved(), OwnerWait::Store));
    fleet.run(seconds(1));
    CHECK(fleet.unserved().empty());
}

TEST_CASE("keys that a leaving server has not released are reported to wait for that")
{
    auto fleet = Fleet();
    fleet.drainServer();
    fleet.run(seconds(1));
    CHECK(allWaitFor(fleet.unserved(), OwnerWait::Release));
}
