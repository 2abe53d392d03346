#include "figlanding/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto start = TimePoint{} + seconds(100);
constexpr auto serviceTime = milliseconds(10);
const auto loud = TeamId("loud");
const auto quiet = TeamId("quiet");

auto request(AdmissionId id, const TeamId &team, Duration timeout = seconds(5),
             TimePoint now = start) -> AdmissionRequest
{
    return AdmissionRequest{.id = id, .team = team, .deadline = now + timeout};
}

// Returns an admission whose ramp has reached all slots and whose service time is known.
auto warmAdmission(std::uint32_t slots, const FairQueueOptions &queue = {}) -> ServerAdmission
{
    auto admission = ServerAdmission(
        AdmissionOptions{.slots = slots, .queue = queue, .coldStart = {.initialLimit = slots}});
    for (auto id = AdmissionId{1000}; id < 1010; ++id) {
        REQUIRE(admission.submit(request(id, quiet), start) == AdmissionOutcome::Started);
        admission.finish(id, RequestEnd::Answered, serviceTime, start);
    }
    return admission;
}

// Model of a server that tracks which requests are running. Lost requests run until their deadline.
struct ModelServer
{
    struct Run
    {
        AdmissionRequest request;
        TimePoint startedAt;
        TimePoint endsAt;
        RequestEnd end = RequestEnd::Answered;
        bool endReported = false; ///< the end was reported to the dispatching VM
    };

    void begin(const AdmissionRequest &started, std::mt19937 &random, TimePoint now)
    {
        const auto lost = random() % 10 == 0;
        const auto length = milliseconds(1 + random() % 40);
        runs.push_back(Run{.request = started,
                           .startedAt = now,
                           .endsAt = lost ? started.deadline : now + length,
                           .end = lost ? RequestEnd::Lost : RequestEnd::Answered});
        peakConcurrency = std::max(peakConcurrency, runs.size());
    }

    void advance(ServerAdmission &admission, std::mt19937 &random, TimePoint now)
    {
        for (auto &run : runs) {
            const auto reported =
                run.end == RequestEnd::Lost ? random() % 8 == 0 : now >= run.endsAt;
            if (!run.endReported && reported) {
                run.endReported = true;
                admission.finish(run.request.id, run.end, now - run.startedAt, now);
            }
        }
        std::erase_if(runs, [now](const Run &run) { return now >= run.endsAt && run.endReported; });
    }

    std::vector<Run> runs;
    std::size_t peakConcurrency = 0;
};

} // namespace

TEST_CASE("the number of running requests never exceeds the slots")
{
    for (auto seed = 1u; seed <= 40; ++seed) {
        CAPTURE(seed);
        auto random = std::mt19937(seed);
        const auto slots = 1 + seed % 6;
        auto admission = ServerAdmission(AdmissionOptions{.slots = slots});
        auto server = ModelServer{};
        auto nextId = AdmissionId{1};
        for (auto now = start; now < start + seconds(5); now += milliseconds(1)) {
            server.advance(admission, random, now);
            if (random() % 3 == 0) {
                const auto timeout = milliseconds(20 + random() % 300);
                const auto submitted = request(nextId++, random() % 2 ? loud : quiet, timeout, now);
                if (admission.submit(submitted, now) == AdmissionOutcome::Started) {
                    server.begin(submitted, random, now);
                }
            }
            while (const auto next = admission.takeNext(now)) {
                CHECK(next->deadline > now);
                server.begin(*next, random, now);
            }
            for (const auto &refused : admission.takeRefused(now)) {
                CHECK(admission.cancelQueued(refused.request.id) == false);
            }
        }
        CHECK(server.peakConcurrency <= slots);
        CHECK(server.peakConcurrency >= 1);
    }
}

TEST_CASE("a lost request keeps its slot until its deadline or until its end is confirmed")
{
    auto admission = warmAdmission(2);
    const auto lost = request(1, quiet, milliseconds(500));
    REQUIRE(admission.submit(lost, start) == AdmissionOutcome::Started);
    admission.finish(1, RequestEnd::Lost, serviceTime, start + serviceTime);
    CHECK(admission.slotsInUse(start + serviceTime) == 1);
    CHECK(admission.nextHeldSlotEnd() == lost.deadline);
    CHECK(admission.slotsInUse(lost.deadline) == 0);
    admission.confirmEnded(1);
    CHECK(admission.slotsInUse(start + serviceTime) == 0);
}

TEST_CASE("requests whose estimated wait exceeds the deadline are refused immediately")
{
    struct Row
    {
        TeamId team;
        milliseconds timeout;
        AdmissionOutcome outcome;
    };
    const auto rows = std::vector<Row>{
        {loud, milliseconds(120), AdmissionOutcome::DeadlineTooShort},
        {loud, milliseconds(400), AdmissionOutcome::Queued},
        // Round robin serves the quiet team after at most one request of the loud team.
        {quiet, milliseconds(30), AdmissionOutcome::Queued},
        {quiet, milliseconds(9), AdmissionOutcome::DeadlineTooShort},
    };
    for (const auto &row : rows) {
        auto admission = warmAdmission(2);
        for (auto id = AdmissionId{1}; id <= 42; ++id) {
            REQUIRE(admission.submit(request(id, loud), start) <= AdmissionOutcome::Queued);
        }
        CAPTURE(row.timeout.count());
        CHECK(admission.submit(request(99, row.team, row.timeout), start) == row.outcome);
    }
}

TEST_CASE("queued requests are refused when they are evicted or can no longer meet their deadline")
{
    auto admission = warmAdmission(1, {.maxItems = 2, .maxItemsPerTeam = 2});
    REQUIRE(admission.submit(request(1, loud), start) == AdmissionOutcome::Started);
    REQUIRE(admission.submit(request(2, loud), start) == AdmissionOutcome::Queued);
    REQUIRE(admission.submit(request(3, loud, milliseconds(400)), start)
            == AdmissionOutcome::Queued);
    REQUIRE(admission.submit(request(4, quiet), start) == AdmissionOutcome::Queued);
    const auto evicted = admission.takeRefused(start);
    REQUIRE(evicted.size() == 1);
    CHECK(evicted.front().request.id == 3);
    CHECK(evicted.front().reason == AdmissionOutcome::QueueFull);
    const auto late = admission.takeRefused(start + seconds(6));
    REQUIRE(late.size() == 2);
    CHECK(late.front().reason == AdmissionOutcome::DeadlineTooShort);
    CHECK(admission.queued() == 0);
}

TEST_CASE("a new dispatching VM starts nothing before its predecessor's requests have ended")
{
    auto old = warmAdmission(2);
    REQUIRE(old.submit(request(1, loud), start) == AdmissionOutcome::Started);
    REQUIRE(old.submit(request(2, loud), start) == AdmissionOutcome::Started);
    REQUIRE(old.submit(request(3, loud), start) == AdmissionOutcome::Queued);
    old.finish(1, RequestEnd::Answered, serviceTime, start);
    auto successor = ServerAdmission(AdmissionOptions{.slots = 2});
    successor.blockUntil(start + seconds(9));
    CHECK(successor.submit(request(4, quiet, seconds(20)), start) == AdmissionOutcome::Queued);
    CHECK_FALSE(successor.takeNext(start));

    successor.accept(old.handOver(start), start);
    CHECK_FALSE(old.takeNext(start));
    CHECK(old.submit(request(5, quiet), start) == AdmissionOutcome::QueueFull);
    CHECK(old.takeRefused(start).size() == 1);
    CHECK(successor.slotsInUse(start) == 1);
    CHECK(successor.takeNext(start));
    CHECK(successor.submit(request(6, quiet), start) == AdmissionOutcome::Queued);
    CHECK(successor.slotsInUse(start + seconds(5)) == 1);
}

TEST_CASE("the number of connections stays within the limit of the server")
{
    auto admission = ServerAdmission(AdmissionOptions{.maxConnections = 2});
    CHECK(admission.tryReserveConnection());
    CHECK(admission.tryReserveConnection());
    CHECK_FALSE(admission.tryReserveConnection());
    admission.releaseConnection();
    CHECK(admission.tryReserveConnection());
    admission.setLimits(2, 1);
    admission.releaseConnection();
    CHECK_FALSE(admission.tryReserveConnection());
}
