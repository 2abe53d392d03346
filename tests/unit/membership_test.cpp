#include "figlanding/membership.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
const auto vm1 = VmId("vm-1");
const auto vm4 = VmId("vm-4");

// A report that vm-1 receives at every tick.
struct ReceivedReport
{
    std::string vm;
    std::string incarnation = "a";
    bool canConfirm = true;
    bool leaving = false;
    std::vector<VmId> suspectedVms;
};

// Members vm-1 to vm-4; vm-1 is the controller.
auto fourMembers() -> ClusterState
{
    ClusterState state;
    for (const auto *name : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
        state.members[VmId(name)] = Member{.vm = VmId(name), .incarnation = "a"};
    }
    return state;
}

struct MembershipCase
{
    const char *name;
    std::vector<ReceivedReport> heard;
    std::string change; ///< VM and "+" for a join or "-" for a removal; empty if none
};

const std::vector<ReceivedReport> others = {{.vm = "vm-1"}, {.vm = "vm-2"}, {.vm = "vm-3"}};

auto withOthers(ReceivedReport fourth) -> std::vector<ReceivedReport>
{
    auto heard = others;
    heard.push_back(std::move(fourth));
    return heard;
}

const MembershipCase membershipCases[] = {
    {"all members send heartbeats", withOthers({.vm = "vm-4"}), ""},
    {"silent to the controller only", others, ""},
    {"silent to the controller and to another",
     {{.vm = "vm-1"}, {.vm = "vm-2", .suspectedVms = {vm4}}, {.vm = "vm-3"}},
     "vm-4-"},
    {"two of four are silent: no majority is left",
     {{.vm = "vm-1"}, {.vm = "vm-2", .suspectedVms = {vm4, VmId("vm-3")}}},
     ""},
    {"leaving", withOthers({.vm = "vm-4", .leaving = true}), "vm-4-"},
    {"restarted", withOthers({.vm = "vm-4", .incarnation = "b"}), "vm-4+"},
    {"restarted, log not yet read",
     withOthers({.vm = "vm-4", .incarnation = "b", .canConfirm = false}), ""},
};

auto deliverReports(PeerReports &reports, const std::vector<ReceivedReport> &heard, TimePoint now)
    -> void
{
    for (const auto &entry : heard) {
        reports.onReport(PeerReport{.vm = VmId(entry.vm),
                                    .incarnation = entry.incarnation,
                                    .canConfirm = entry.canConfirm,
                                    .leaving = entry.leaving,
                                    .suspectedVms = entry.suspectedVms},
                         now);
    }
}

auto toText(const std::optional<MemberChange> &change) -> std::string
{
    return change ? change->vm.value() + (change->join ? "+" : "-") : "";
}

} // namespace

TEST_CASE("the planner chooses the next member change")
{
    for (const auto &row : membershipCases) {
        CAPTURE(row.name);
        auto state = fourMembers();
        auto planner = MembershipPlanner({.self = vm1});
        auto reports = PeerReports{};
        for (int ms = 0; ms <= 600; ms += 100) {
            deliverReports(reports, row.heard, start + milliseconds(ms));
            planner.update(state, reports, start + milliseconds(ms));
        }
        CHECK(toText(planner.next(state, reports, start + milliseconds(600))) == row.change);
    }
}

TEST_CASE("a new VM joins unless the platform's list says that it is leaving")
{
    auto state = fourMembers();
    state.members.erase(vm4);
    auto planner = MembershipPlanner({.self = vm1});
    auto reports = PeerReports{};
    deliverReports(reports, withOthers({.vm = "vm-4"}), start);
    planner.update(state, reports, start);
    CHECK(toText(planner.next(state, reports, start)) == "vm-4+");
    planner.onVmList({{.vm = vm4, .leaving = true}}, start);
    CHECK(toText(planner.next(state, reports, start)).empty());
}

TEST_CASE("a VM counts as removed only if it is silent and long absent from an up-to-date list")
{
    struct Row
    {
        const char *name;
        int listedMs; ///< last list that has vm-4, or -1
        int lastListMs; ///< last list that was read
        bool removedByPlatform;
    };
    const Row rows[] = {
        {"never listed", -1, 11000, true},
        {"listed until now", 11000, 11000, false},
        {"listed recently", 5000, 11000, false},
        {"the list is out of date", -1, 500, false},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        auto state = fourMembers();
        auto planner = MembershipPlanner({.self = vm1});
        auto reports = PeerReports{};
        const auto end = start + milliseconds(11000);
        for (int ms = 0; ms <= row.lastListMs; ms += 500) {
            auto list = std::vector<VmListEntry>{{.vm = vm1}};
            if (ms <= row.listedMs) {
                list.push_back({.vm = vm4});
            }
            planner.onVmList(list, start + milliseconds(ms));
        }
        planner.update(state, reports, start);
        deliverReports(reports, others, end);
        CHECK(planner.removedByPlatform(state, reports, end).contains(vm4)
              == row.removedByPlatform);
        deliverReports(reports, {{.vm = "vm-4"}}, end);
        CHECK_FALSE(planner.removedByPlatform(state, reports, end).contains(vm4));
    }
}

TEST_CASE("the hold-down time doubles with each failure up to its limit, and expires")
{
    auto damper = FlapDamper<VmId>{};
    CHECK(damper.holdDownTime(vm1, start) == milliseconds(0));
    auto expected = milliseconds(500);
    for (int failure = 0; failure < 12; ++failure) {
        damper.onFailure(vm1, start);
        CHECK(damper.holdDownTime(vm1, start) == std::min(expected, milliseconds(60000)));
        expected *= 2;
    }
    CHECK(damper.holdDownTime(vm1, start + seconds(120)) == milliseconds(0));
    damper.onFailure(vm1, start + seconds(120));
    CHECK(damper.holdDownTime(vm1, start + seconds(120)) == milliseconds(500));
}
