#include "standins/history_checker.h"

#include <doctest/doctest.h>

#include <functional>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

/// Execution histories and caller records that are checked together.
struct Scenario
{
    Histories histories;
    std::vector<CallerRecord> callers;
};

auto targetOf(const std::string &requestId) -> std::string
{
    return std::string("/rooms/").append(requestId);
}

auto execution(const std::string &server, const std::string &requestId, std::uint64_t fence,
               std::int64_t startNs, std::int64_t endNs) -> Execution
{
    return {.server = server,
            .bootId = std::string("boot-").append(server),
            .sequence = static_cast<std::uint64_t>(startNs),
            .requestId = requestId,
            .method = "POST",
            .target = targetOf(requestId),
            .team = "north",
            .service = "rooms",
            .shard = "7",
            .fence = fence,
            .startNs = startNs,
            .endNs = endNs,
            .outcome = "answered"};
}

auto caller(const std::string &requestId, Verdict verdict) -> CallerRecord
{
    const auto target = targetOf(requestId);
    return {.requestId = requestId,
            .method = "POST",
            .target = target,
            .team = "north",
            .verdict = verdict,
            .status = verdict == Verdict::Ran ? 200 : 503,
            .echoedRequestId = verdict == Verdict::Ran ? requestId : "",
            .echoedTarget = verdict == Verdict::Ran ? target : ""};
}

/// Returns a scenario without violations: shard 7 moves from s1 to s2.
auto validScenario() -> Scenario
{
    return {.histories = {.executions = {execution("s1", "r1", 10, 100, 200),
                                         execution("s1", "r2", 10, 150, 250),
                                         execution("s2", "r3", 20, 300, 400)}},
            .callers = {caller("r1", Verdict::Ran), caller("r2", Verdict::MayHaveRun),
                        caller("r3", Verdict::Ran), caller("r4", Verdict::NotRun),
                        caller("r5", Verdict::MayHaveRun)}};
}

/// A change to a valid scenario that violates one invariant.
struct InjectedViolation
{
    const char *name;
    std::function<void(Scenario &)> inject;
    ViolationKind kind;
};

auto injectedViolations() -> std::vector<InjectedViolation>
{
    return {
        {"the new owner starts before the old one ends",
         [](Scenario &scenario) { scenario.histories.executions[2].startNs = 240; },
         ViolationKind::TwoOwners},
        {"an execution overlaps one of the new owner after a shorter one ended",
         [](Scenario &scenario) { scenario.histories.executions[0].endNs = 350; },
         ViolationKind::TwoOwners},
        {"the old owner runs a request after the move",
         [](Scenario &scenario) {
             scenario.histories.executions.push_back(execution("s1", "r6", 10, 500, 600));
         },
         ViolationKind::StaleFence},
        {"two servers run under the same fence",
         [](Scenario &scenario) { scenario.histories.executions[2].fence = 10; },
         ViolationKind::StaleFence},
        {"one request runs on two servers",
         [](Scenario &scenario) {
             scenario.histories.executions.push_back(execution("s2", "r2", 20, 500, 600));
         },
         ViolationKind::RanTwice},
        {"one idempotency key runs under two requests",
         [](Scenario &scenario) {
             auto &executions = scenario.histories.executions;
             executions[0].idempotencyKey = std::string("k");
             executions[2].idempotencyKey = std::string("k");
             executions[2].target = executions[0].target;
         },
         ViolationKind::RanTwice},
        {"an acknowledged request is in no history",
         [](Scenario &scenario) {
             scenario.histories.executions.erase(scenario.histories.executions.begin());
         },
         ViolationKind::LostAcknowledged},
        {"a request runs for another team",
         [](Scenario &scenario) { scenario.histories.executions[1].team = "south"; },
         ViolationKind::WrongTeam},
        {"a server receives a credential",
         [](Scenario &scenario) { scenario.histories.executions[1].sawAuthorization = true; },
         ViolationKind::SawCredential},
        {"a request reported as not run did run",
         [](Scenario &scenario) { scenario.callers[1].verdict = Verdict::NotRun; },
         ViolationKind::FalseNotRun},
        {"a server got more requests than its slots",
         [](Scenario &scenario) {
             scenario.histories.violations.push_back({.server = "s1", .kind = "slots"});
         },
         ViolationKind::ServerOverload},
        {"a caller got the response to another request",
         [](Scenario &scenario) { scenario.callers[0].echoedRequestId = "r3"; },
         ViolationKind::WrongResponse},
    };
}

auto check(const Scenario &scenario) -> CheckReport
{
    return checkHistories(scenario.histories, scenario.callers, {});
}

} // namespace

TEST_CASE("a valid history has no violation")
{
    const auto report = check(validScenario());
    CHECK(report.clean());
    CHECK(report.executions == 3);
    CHECK(report.callerRecords == 5);
}

TEST_CASE("each injected violation is found, and no other")
{
    for (const auto &injected : injectedViolations()) {
        CAPTURE(injected.name);
        auto scenario = validScenario();
        injected.inject(scenario);
        const auto report = check(scenario);
        CHECK(report.counts.size() == 1);
        CHECK(report.counts.count(injected.kind) == 1);
        REQUIRE_FALSE(report.violations.empty());
        CHECK(report.violations.front().kind == injected.kind);
        CHECK_FALSE(report.violations.front().detail.empty());
    }
}

TEST_CASE("idempotent requests may run more than once")
{
    auto scenario = validScenario();
    auto &executions = scenario.histories.executions;
    executions.push_back(execution("s2", "r2", 20, 500, 600));
    executions[1].method = "GET";
    executions[3].method = "GET";
    CHECK(check(scenario).clean());
}

TEST_CASE("an execution stopped at its deadline counts as ended there")
{
    auto scenario = validScenario();
    auto &late = scenario.histories.executions[1];
    late.endNs = 900;
    late.deadlineNs = 260;
    CHECK(check(scenario).counts.count(ViolationKind::TwoOwners) == 1);
    late.outcome = "deadline";
    CHECK(check(scenario).clean());
}

TEST_CASE("violations beyond the limit are counted but not listed")
{
    auto scenario = validScenario();
    for (auto &execution : scenario.histories.executions) {
        execution.sawAuthorization = true;
    }
    const auto report =
        checkHistories(scenario.histories, scenario.callers, {.maxListedPerKind = 2});
    CHECK(report.violations.size() == 2);
    CHECK(report.counts.at(ViolationKind::SawCredential) == 3);
}

TEST_CASE("a history with an unterminated last line is parsed")
{
    auto history = ExecutionHistory("s1", "boot");
    const auto first = history.begin({.requestId = "r1", .method = "GET", .fence = 5});
    history.begin({.requestId = "r2", .method = "POST"});
    history.end(first, "answered");
    history.addViolation("slots", "r3");
    auto histories = Histories{};
    const auto killed = history.text() + "{\"event\":\"sta";
    const auto read = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(addHistory(histories, killed));
            return true;
        },
        [](const Error &) { return false; });
    REQUIRE(read);
    REQUIRE(histories.executions.size() == 2);
    CHECK(histories.executions[0].requestId == "r1");
    CHECK(histories.executions[0].fence == 5);
    CHECK(histories.executions[0].endNs >= histories.executions[0].startNs);
    CHECK(histories.executions[1].endNs == 0);
    REQUIRE(histories.violations.size() == 1);
    CHECK(histories.violations[0].kind == "slots");
}
