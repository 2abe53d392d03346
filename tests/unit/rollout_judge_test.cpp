#include "figlanding/gateway/rollout_judge.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(1000);
const RouteId lookup("lookup");
const RouteId booking("booking");

// How the responses of a server come.
struct Behaviour
{
    double failures = 0.0; ///< fraction
    double slow = 0.0; ///< fraction that takes six times as long
    double load = 1.0; ///< factor on all response times
};

// Plays the responses of 34 servers in force and of three on trial, at equal load.
struct Fleet
{
    auto respond(const RouteId &route, const std::string &server, const Behaviour &behaviour,
                 int requests) -> void
    {
        auto unit = std::uniform_real_distribution<double>(0.0, 1.0);
        auto usual = std::lognormal_distribution<double>(4.8, 0.35); // about 120 ms
        auto counts = EvidenceCounts{};
        auto &sum = counts[{.route = route, .server = BackendServerId(server)}];
        for (int i = 0; i < requests; ++i) {
            if (unit(random) < behaviour.failures) {
                sum.failures += 1;
                continue;
            }
            const auto factor = behaviour.load * (unit(random) < behaviour.slow ? 6.0 : 1.0);
            const auto ms = usual(random) * factor;
            sum.successes.at(responseTimeClass(milliseconds(static_cast<int>(ms)))) += 1;
        }
        judge.add(counts, now);
    }
    // One tenth of a second of the service: 80 requests, 7 of them on trial.
    auto step(const Behaviour &inForce, const Behaviour &onTrial, const RouteId &route = lookup)
        -> void
    {
        now += milliseconds(100);
        respond(route, "", inForce, 73);
        for (const auto *server : {"n1", "n2"}) {
            respond(route, server, onTrial, 2);
        }
        respond(route, "n3", onTrial, 3);
    }
    // Returns the responses on trial until the version was found bad; 0 if it was not.
    auto playUntilBad(const Behaviour &inForce, const Behaviour &onTrial, int steps) -> int
    {
        for (int i = 1; i <= steps; ++i) {
            step(inForce, onTrial);
            if (judge.judge(EvidenceScope::All).bad) {
                return i * 7;
            }
        }
        return 0;
    }

    std::mt19937_64 random;
    TimePoint now = start;
    RolloutJudge judge{{}};
};

} // namespace

TEST_CASE("a good version is never rolled back, whatever the load of the service")
{
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        for (const auto &both : {Behaviour{}, Behaviour{.load = 4.0}, Behaviour{.failures = 0.1},
                                 Behaviour{.failures = 0.05, .slow = 0.15}}) {
            auto fleet = Fleet{.random = std::mt19937_64(seed)};
            CHECK(fleet.playUntilBad(both, both, 60) == 0);
            CHECK(fleet.judge.judge(EvidenceScope::All).enough);
        }
    }
}

TEST_CASE("a service that becomes slow as a whole fails no version")
{
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        auto fleet = Fleet{.random = std::mt19937_64(seed)};
        CHECK(fleet.playUntilBad({}, {}, 20) == 0);
        CHECK(fleet.playUntilBad({.load = 5.0}, {.load = 5.0}, 40) == 0);
    }
}

TEST_CASE("a version that fails or is slow is found within the fiftieth bad response")
{
    struct Case
    {
        Behaviour bad;
        double fraction;
    };
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        for (const auto &item :
             {Case{{.failures = 1.0}, 1.0}, Case{{.failures = 0.3}, 0.3},
              Case{{.failures = 0.15}, 0.15}, Case{{.slow = 0.4}, 0.4}, Case{{.load = 5.0}, 1.0}}) {
            auto fleet = Fleet{.random = std::mt19937_64(seed)};
            const auto responses = fleet.playUntilBad({}, item.bad, 100);
            CHECK(responses > 0);
            CHECK(responses * item.fraction < 50.0);
        }
    }
}

TEST_CASE("a version that turns bad after many good responses is found")
{
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        auto fleet = Fleet{.random = std::mt19937_64(seed)};
        CHECK(fleet.playUntilBad({}, {}, 200) == 0);
        const auto responses = fleet.playUntilBad({}, {.failures = 0.3}, 60);
        CHECK(responses > 0);
        CHECK(responses * 0.3 < 50.0);
    }
}

TEST_CASE("a version that is bad on one of its routes is found, and good on the others")
{
    auto fleet = Fleet{};
    for (int i = 0; i < 40 && !fleet.judge.judge(EvidenceScope::All).bad; ++i) {
        fleet.step({}, {});
        fleet.step({}, {.failures = 0.4}, booking);
    }
    const auto judgement = fleet.judge.judge(EvidenceScope::All);
    CHECK(judgement.bad);
    CHECK(judgement.reason.find("booking") != std::string::npos);
}

TEST_CASE("one grey server of a good version is a suspect, and no reason to roll back")
{
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        CAPTURE(seed);
        auto fleet = Fleet{.random = std::mt19937_64(seed)};
        for (int i = 0; i < 60; ++i) {
            fleet.step({.failures = 0.05}, {.failures = 0.05});
            fleet.respond(lookup, "n3", {.failures = 0.5}, 3);
        }
        const auto judgement = fleet.judge.judge(EvidenceScope::All);
        CHECK_FALSE(judgement.bad);
        CHECK(judgement.suspects == std::set<BackendServerId>{BackendServerId("n3")});
    }
}

TEST_CASE("a version is good only after responses on all routes that are in use")
{
    auto fleet = Fleet{};
    for (int i = 0; i < 30; ++i) {
        fleet.step({}, {});
        fleet.respond(booking, "", {}, 20);
    }
    CHECK_FALSE(fleet.judge.judge(EvidenceScope::All).enough);
    CHECK(fleet.judge.judge(EvidenceScope::All).enoughWhenLate);
    fleet.respond(booking, "n1", {}, 20);
    CHECK(fleet.judge.judge(EvidenceScope::All).enough);
}

TEST_CASE("responses of cold and just started servers, and rejections, are no evidence")
{
    const auto now = start + seconds(10);
    const auto served = SlotResult{.end = SlotEnd::Served, .elapsed = milliseconds(900)};
    auto server = RegisteredServer{.entry = {.id = BackendServerId("n1")}, .firstSeenAt = start};
    auto evidence = VersionEvidence{};
    server.coldUntil = now;
    evidence.add(lookup, server, true, served, now);
    server.coldUntil = start;
    server.firstSeenAt = now - seconds(1);
    evidence.add(lookup, server, true, served, now);
    server.firstSeenAt = start;
    evidence.add(lookup, server, true, {.end = SlotEnd::Declined}, now);
    evidence.add(lookup, server, true, {.end = SlotEnd::Abandoned}, now);
    CHECK(evidence.takeCounts().empty());
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(evidence.onlyFailures());
        evidence.add(lookup, server, true, {.end = SlotEnd::Failed}, now);
    }
    CHECK(evidence.onlyFailures());
    evidence.add(lookup, server, true, served, now);
    CHECK_FALSE(evidence.onlyFailures());
    CHECK(evidence.takeCounts().begin()->second.total() == 9);
}
