#include "standin_fixture.h"
#include "standins/execution_history.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

constexpr milliseconds limit{5000};

auto request(const std::string &id, HttpHeaders headers = {}) -> HttpRequest
{
    headers.add("figlanding-request-id", id);
    return {.method = "POST", .target = "/rooms/a", .headers = headers, .body = "body"};
}

auto fenced(const std::string &id, const std::string &shard, int fence) -> HttpRequest
{
    return request(id,
                   {{"figlanding-service", "rooms"},
                    {"figlanding-shard", shard},
                    {"figlanding-fence", std::to_string(fence)}});
}

auto command(int fence, int shard) -> nlohmann::json
{
    return {{"service", "rooms"}, {"fence", fence}, {"shards", {shard}}, {"keys", {"k"}}};
}

auto historyOf(StandinProcess &server) -> Histories
{
    auto histories = Histories{};
    const auto body = server.get("/standin/history").response.body;
    const auto read = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(addHistory(histories, body));
            return true;
        },
        [](const Error &) { return false; });
    CHECK(read);
    return histories;
}

auto lease(StandinProcess &server, int offset, int leaseMs) -> int
{
    return server.post("/figlanding/lease", {{"offset", offset}, {"lease_ms", leaseMs}})
        .response.status;
}

} // namespace

TEST_CASE("a response echoes the request and the execution is recorded")
{
    StandinProcess server("backend-server-standin", {"--id", "s1"});
    const auto outcome = server.call(request(
        "r1",
        {{"figlanding-team", "north"}, {"idempotency-key", "k"}, {"standin-body-bytes", "1000"}}));
    REQUIRE(outcome.verdict == Verdict::Ran);
    CHECK(outcome.response.status == 200);
    CHECK(outcome.response.headers.find("figlanding-request-id") == "r1");
    const auto body = nlohmann::json::parse(outcome.response.body);
    CHECK(body["server"] == "s1");
    CHECK(body["request_id"] == "r1");
    CHECK(body["body"] == "body");
    CHECK(body["padding"].get<std::string>().size() == 1000);
    const auto histories = historyOf(server);
    REQUIRE(histories.executions.size() == 1);
    CHECK(histories.executions[0].team == "north");
    CHECK(histories.executions[0].idempotencyKey == "k");
    CHECK(histories.executions[0].outcome == "answered");
    CHECK_FALSE(histories.executions[0].sawAuthorization);
    CHECK(histories.executions[0].endNs > histories.executions[0].startNs);
}

TEST_CASE("a server that checks fences runs requests only with a valid lease and grant")
{
    struct Step
    {
        std::string name;
        std::string path; ///< of a control request; empty for an ordinary request
        nlohmann::json body;
        int status;
    };
    const auto run = [](const std::string &shard, int fence) {
        return nlohmann::json{{"shard", shard}, {"fence", fence}};
    };
    const auto steps = std::vector<Step>{
        {"no lease", "", run("1", 10), 409},
        {"lease", "/figlanding/lease", {{"offset", 10}, {"lease_ms", 60000}}, 200},
        {"no grant", "", run("1", 10), 409},
        {"grant", "/figlanding/grant", command(10, 1), 200},
        {"granted", "", run("1", 10), 200},
        {"granted key", "", run("key:k", 10), 200},
        {"other fence", "", run("1", 9), 409},
        {"other shard", "", run("2", 10), 409},
        {"older grant", "/figlanding/grant", command(9, 1), 409},
        {"still granted", "", run("1", 10), 200},
        {"older revocation", "/figlanding/revoke", command(9, 1), 409},
        {"revocation", "/figlanding/revoke", command(12, 1), 200},
        {"revoked", "", run("1", 10), 409},
        {"grant before the revocation", "/figlanding/grant", command(11, 1), 409},
        {"new grant", "/figlanding/grant", command(13, 1), 200},
        {"granted again", "", run("1", 13), 200},
        {"older lease", "/figlanding/lease", {{"offset", 9}, {"lease_ms", 60000}}, 409},
        {"malformed grant", "/figlanding/grant", nlohmann::json::array(), 400},
    };
    StandinProcess server("backend-server-standin", {"--checks-fence"});
    for (const auto &step : steps) {
        CAPTURE(step.name);
        const auto outcome = step.path.empty()
            ? server.call(fenced(step.name, step.body["shard"], step.body["fence"]))
            : server.post(step.path, step.body);
        CHECK(outcome.response.status == step.status);
        const auto notRun = outcome.response.headers.find("figlanding-not-run") == "true";
        CHECK(notRun == (step.path.empty() && step.status == 409));
    }
    CHECK(historyOf(server).executions.size() == 4);
}

TEST_CASE("an expired lease refuses new requests and stops a running one")
{
    StandinProcess server("backend-server-standin", {"--checks-fence"});
    server.post("/figlanding/grant", command(10, 1));
    CHECK(lease(server, 10, 150) == 200);
    auto late = fenced("late", "1", 10);
    late.headers.add("standin-service-ms", "300");
    CHECK(server.call(late).response.status == 504);
    CHECK(server.call(fenced("r", "1", 10)).response.status == 409);
    CHECK(historyOf(server).executions[0].outcome == "fenced");
}

TEST_CASE("a draining server refuses requests without running them")
{
    StandinProcess server("backend-server-standin", {});
    server.setFaults({{"draining", true}});
    const auto outcome = server.call(request("r1"));
    CHECK(outcome.response.status == 503);
    CHECK(outcome.response.headers.find("figlanding-not-run") == "true");
    CHECK(outcome.response.headers.find("retry-after") == "1");
    CHECK(server.json("/figlanding/health")["phase"] == "draining");
    CHECK(historyOf(server).executions.empty());
}

TEST_CASE("requests beyond the slots are refused and recorded as a violation")
{
    StandinProcess server("backend-server-standin", {"--slots", "1"});
    auto slow = request("slow", {{"standin-service-ms", "300"}});
    auto first = std::thread([&] { server.call(slow); });
    REQUIRE(waitUntil([&] { return server.json("/figlanding/health")["running"] == 1; }, limit));
    const auto refused = server.call(request("r2"));
    first.join();
    CHECK(refused.response.status == 503);
    CHECK(refused.response.headers.find("figlanding-not-run") == "true");
    REQUIRE(historyOf(server).violations.size() == 1);
    CHECK(historyOf(server).violations[0].kind == "slots");
}

TEST_CASE("a cold server records requests beyond its cold limit")
{
    StandinProcess server("backend-server-standin",
                          {"--slots", "4", "--cold-ms", "60000", "--cold-slots", "1"});
    CHECK(server.json("/figlanding/health")["phase"] == "cold");
    auto first = std::thread([&] {
        server.call(request("slow", {{"standin-service-ms", "200"}}));
    });
    REQUIRE(waitUntil([&] { return server.json("/figlanding/health")["running"] == 1; }, limit));
    CHECK(server.call(request("r2")).response.status == 200);
    first.join();
    REQUIRE(historyOf(server).violations.size() == 1);
    CHECK(historyOf(server).violations[0].kind == "cold");
    CHECK(historyOf(server).violations[0].detail.find("reported for") != std::string::npos);
}

TEST_CASE("a request beyond the cold limit tells whether the cold phase had been reported")
{
    StandinProcess server("backend-server-standin", {"--slots", "4", "--cold-slots", "1"});
    const auto detailOfExcess = [&](bool reported) {
        server.setFaults({{"cold_ms", 60000}});
        if (reported) {
            CHECK(server.json("/figlanding/health")["phase"] == "cold");
        }
        const auto before = historyOf(server).executions.size();
        auto first = std::thread([&] {
            server.call(request("slow", {{"standin-service-ms", "100"}}));
        });
        CHECK(waitUntil([&] { return historyOf(server).executions.size() > before; }, limit));
        CHECK(server.call(request("r2")).response.status == 200);
        first.join();
        return historyOf(server).violations.back().detail;
    };
    CHECK(detailOfExcess(false).find("not reported") != std::string::npos);
    CHECK(detailOfExcess(true).find(", reported for") != std::string::npos);
}

TEST_CASE("a request ends at its deadline or when it is cancelled")
{
    StandinProcess server("backend-server-standin", {});
    const auto late =
        request("late", {{"standin-service-ms", "5000"}, {"figlanding-deadline-ms", "20"}});
    CHECK(server.call(late).response.status == 504);
    auto status = std::atomic<int>{0};
    auto running = std::thread([&] {
        status = server.call(request("long", {{"standin-service-ms", "400"}})).response.status;
    });
    REQUIRE(waitUntil([&] { return server.json("/figlanding/health")["running"] == 1; }, limit));
    const auto cancelled = server.post("/figlanding/cancel", {{"request_id", "long"}});
    running.join();
    CHECK(nlohmann::json::parse(cancelled.response.body)["cancelled"] == true);
    CHECK(status == 503);
    const auto executions = historyOf(server).executions;
    REQUIRE(executions.size() == 2);
    CHECK(executions[0].outcome == "deadline");
    CHECK(executions[1].outcome == "cancelled");
}

TEST_CASE("a crash leaves the execution in the history file")
{
    TemporaryDirectory directory;
    const auto file = directory.path() + "/history";
    StandinProcess server("backend-server-standin", {"--history", file});
    CHECK(server.call(request("r1", {{"standin-crash", "true"}})).verdict == Verdict::MayHaveRun);
    CHECK(waitUntil([&] { return !server.process().running(); }, limit));
    auto histories = Histories{};
    const auto read = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(addHistory(histories, readFile(file)));
            return true;
        },
        [](const Error &) { return false; });
    CHECK(read);
    REQUIRE(histories.executions.size() == 1);
    CHECK(histories.executions[0].requestId == "r1");
    CHECK(histories.executions[0].endNs == 0);
}

TEST_CASE("responses are dropped and swapped, and requests held, on demand")
{
    StandinProcess server("backend-server-standin", {"--slots", "8"});
    server.setFaults({{"drop_answers", 1}});
    CHECK(server.call(request("dropped")).verdict == Verdict::MayHaveRun);
    CHECK(historyOf(server).executions.back().outcome == "answer-lost");

    server.setFaults({{"crossed_answers", 1}});
    auto crossed = HttpOutcome{};
    auto first = std::thread([&] { crossed = server.call(request("first")); });
    REQUIRE(waitUntil([&] { return historyOf(server).executions.size() == 2; }, limit));
    const auto other = server.call(request("second"));
    first.join();
    CHECK(crossed.response.headers.find("figlanding-request-id") == "second");
    CHECK(other.response.headers.find("figlanding-request-id") == "first");

    server.setFaults({{"silent", true}});
    CHECK(server.call(request("held")).verdict == Verdict::MayHaveRun);
    server.setFaults(nlohmann::json::object());
    CHECK(waitUntil([&] { return historyOf(server).executions.size() == 4; }, limit));
}

TEST_CASE("health responses can be outdated or false")
{
    StandinProcess server("backend-server-standin", {"--health-lag-ms", "60000"});
    CHECK(server.json("/figlanding/health")["phase"] == "warm");
    server.setFaults({{"draining", true}});
    CHECK(server.json("/figlanding/health")["phase"] == "warm");
    server.setFaults({{"health", {{"running", 99}}}});
    CHECK(server.json("/figlanding/health")["running"] == 99);
}

TEST_CASE("the straggler fault multiplies the service time")
{
    StandinProcess server("backend-server-standin", {"--service-ms", "10"});
    server.setFaults({{"straggler", 10.0}});
    CHECK(server.call(request("r1")).elapsed >= milliseconds(100));
}
