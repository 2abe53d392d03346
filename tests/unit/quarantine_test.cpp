#include "figlanding/quarantine.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto unixNow = milliseconds(1'790'000'000'000);
const auto serverA = BackendServerId("a");
const auto serverB = BackendServerId("b");

auto makeDetector(const PoisonRequestDetectorOptions &options = {}) -> PoisonRequestDetector
{
    return PoisonRequestDetector(options, "vm-1");
}

// Records a crash and returns the digests that are proposed for quarantine.
auto crash(PoisonRequestDetector &detector, const BackendServerId &server, TimePoint now)
    -> std::vector<std::string>
{
    auto digests = std::vector<std::string>{};
    for (const auto &proposal : detector.onCrash(server, "boot", now, unixNow).proposals) {
        digests.push_back(proposal.requestDigest);
    }
    return digests;
}

} // namespace

TEST_CASE(
    "a request in flight at two crashes is quarantined, one in flight at a single crash is not")
{
    for (const auto &second : {serverA, serverB}) {
        auto detector = makeDetector();
        detector.onStart(serverA, "killer", start);
        detector.onStart(serverA, "innocent", start);
        detector.onStart(serverB, "elsewhere", start);
        CHECK(crash(detector, serverA, start + seconds(1)).empty());
        CHECK(detector.isSuspect("killer", start + seconds(1)));
        CHECK_FALSE(detector.isSuspect("elsewhere", start + seconds(1)));
        detector.onStart(second, "killer", start + seconds(2));
        const auto findings = detector.onCrash(second, "boot", start + seconds(3), unixNow);
        REQUIRE(findings.proposals.size() == 1);
        const auto &proposal = findings.proposals.front();
        CHECK(proposal.requestDigest == "killer");
        CHECK(proposal.author == "vm-1");
        CHECK(proposal.quarantine);
        CHECK(proposal.untilUnixMs == (unixNow + seconds(3600)).count());
        CHECK(proposal.evidence.find("a (boot id boot), " + second.value()) != std::string::npos);
    }
}

TEST_CASE("an unanswered request counts for a crash that is detected within the window")
{
    struct Row
    {
        milliseconds crashAfter;
        bool suspect;
    };
    for (const auto &row : {Row{milliseconds(1900), true}, Row{milliseconds(2100), false}}) {
        auto detector = makeDetector();
        detector.onStart(serverA, "d", start);
        detector.onNoAnswer(serverA, "d", start);
        CHECK(crash(detector, serverA, start + row.crashAfter).empty());
        CHECK(detector.isSuspect("d", start + row.crashAfter) == row.suspect);
    }
}

TEST_CASE("a response to a suspect clears it unless the run started before the crash")
{
    auto detector = makeDetector();
    detector.onStart(serverA, "d", start);
    detector.onStart(serverB, "d", start);
    CHECK(crash(detector, serverA, start + seconds(1)).empty());
    CHECK_FALSE(detector.onAnswer(serverB, "d", start + seconds(2)));
    detector.onStart(serverB, "d", start + seconds(2));
    CHECK(detector.onAnswer(serverB, "d", start + seconds(3)));
    detector.onStart(serverA, "d", start + seconds(4));
    CHECK(crash(detector, serverA, start + seconds(5)).empty());
    detector.clearSuspect("d");
    CHECK_FALSE(detector.isSuspect("d", start + seconds(5)));
}

TEST_CASE("equal requests in flight on several servers of a failing zone are not quarantined")
{
    auto detector = makeDetector();
    detector.onStart(serverA, "popular", start);
    detector.onStart(serverB, "popular", start + milliseconds(5));
    CHECK(crash(detector, serverA, start + milliseconds(10)).empty());
    CHECK(crash(detector, serverB, start + milliseconds(20)).empty());
}

TEST_CASE("crashes reported by other VMs add up with a later local crash")
{
    auto detector = makeDetector();
    detector.onStart(serverA, "early", start);
    detector.onReport({.server = serverB, .bootId = "x", .digests = {"d", "early"}},
                      start + seconds(1));
    detector.onReport({.server = serverB, .bootId = "x", .digests = {"d", "early"}},
                      start + seconds(1));
    detector.onStart(serverA, "d", start + seconds(2));
    CHECK(crash(detector, serverA, start + seconds(3)) == std::vector<std::string>{"d"});
}

TEST_CASE("suspects are limited in age and number")
{
    auto detector = makeDetector({.maxSuspects = 2});
    auto now = start;
    for (const auto *digest : {"d1", "d2", "d3"}) {
        detector.onStart(serverA, digest, now);
        CHECK(crash(detector, serverA, now + milliseconds(1)).empty());
        now += seconds(1);
    }
    CHECK(detector.suspectCount() == 2);
    CHECK_FALSE(detector.isSuspect("d1", now));
    CHECK(detector.isSuspect("d3", now));
    CHECK_FALSE(detector.isSuspect("d3", now + seconds(600)));
    detector.onStart(serverA, "d3", now + seconds(600));
    CHECK(crash(detector, serverA, now + seconds(601)).empty());
    CHECK(detector.suspectCount() == 1);
}
