#include "standin_fixture.h"

#include <doctest/doctest.h>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

auto append(StandinProcess &log, int number) -> HttpOutcome
{
    return log.post("/v1/append", {{"number", number}});
}

auto read(StandinProcess &log, int from) -> nlohmann::json
{
    return log.json("/v1/read?from=" + std::to_string(from));
}

} // namespace

TEST_CASE("appended records are read with consecutive offsets")
{
    StandinProcess log("log-standin", {});
    for (auto number = 1; number <= 3; ++number) {
        const auto outcome = append(log, number);
        CHECK(nlohmann::json::parse(outcome.response.body) == nlohmann::json{{"offset", number}});
    }
    const auto response = read(log, 2);
    CHECK(response["first"] == 1);
    CHECK(response["tail"] == 3);
    REQUIRE(response["records"].size() == 2);
    CHECK(response["records"][0]["offset"] == 2);
    CHECK(response["records"][0]["record"]["number"] == 2);
    CHECK(response["records"][1]["appended_unix_ms"].get<std::int64_t>() > 0);
    CHECK(log.json("/v1/read?from=1&max=1")["records"].size() == 1);
    CHECK(read(log, 4)["records"].empty());
}

TEST_CASE("a long-polling read ends with a record or at its timeout")
{
    StandinProcess log("log-standin", {});
    CHECK(log.json("/v1/read?from=1&wait_ms=20")["records"].empty());
    auto waiting = std::thread([&] { append(log, 1); });
    CHECK(log.json("/v1/read?from=1&wait_ms=4000")["records"].size() == 1);
    waiting.join();
}

TEST_CASE("a read abandoned while its slow answer is due leaves other reads alone")
{
    StandinProcess log("log-standin", {});
    log.setFaults({{"slow_ms", 100}});
    const auto address = SocketAddress{.ip = "127.0.0.1", .port = log.port()};
    CHECK(callAndWait(address, {.target = "/v1/read?from=1&wait_ms=10"},
                      {.timeout = milliseconds(50)})
              .verdict
          == Verdict::MayHaveRun);
    log.setFaults(nlohmann::json::object());
    auto waiting = std::thread([&] { append(log, 1); });
    CHECK(log.json("/v1/read?from=1&wait_ms=4000")["records"].size() == 1);
    waiting.join();
}

TEST_CASE("retention removes the oldest records")
{
    StandinProcess byCount("log-standin", {"--keep-records", "2"});
    for (auto number = 1; number <= 5; ++number) {
        append(byCount, number);
    }
    CHECK(read(byCount, 1)["first"] == 4);
    CHECK(read(byCount, 1)["records"].size() == 2);

    StandinProcess byAge("log-standin", {"--keep-age-ms", "30"});
    append(byAge, 1);
    CHECK(waitUntil([&] { return read(byAge, 1)["first"] == 2; }, milliseconds(5000)));
    CHECK(read(byAge, 1)["tail"] == 1);
}

TEST_CASE("each fault of the log has its effect on appends")
{
    struct Fault
    {
        std::string name;
        nlohmann::json faults;
        Verdict verdict;
        int status;
        int tailAfter;
    };
    const auto table = std::vector<Fault>{
        {"none", nlohmann::json::object(), Verdict::Ran, 200, 2},
        {"down", {{"down", true}}, Verdict::Ran, 503, 1},
        {"response lost", {{"lose_answers", 1}}, Verdict::MayHaveRun, 0, 2},
        {"silent", {{"silent", true}}, Verdict::MayHaveRun, 0, 1},
        {"slow", {{"slow_ms", 50}}, Verdict::Ran, 200, 2},
        {"rubbish", {{"rubbish_answers", 1}}, Verdict::Ran, 200, 2},
        {"rate", {{"appends_per_second", 0.001}}, Verdict::Ran, 503, 1},
    };
    for (const auto &fault : table) {
        CAPTURE(fault.name);
        StandinProcess log("log-standin", {});
        append(log, 1);
        log.setFaults(fault.faults);
        const auto outcome = append(log, 2);
        CHECK(outcome.verdict == fault.verdict);
        CHECK((outcome.verdict == Verdict::Ran ? outcome.response.status : 0) == fault.status);
        log.setFaults(nlohmann::json::object());
        CHECK(read(log, 1)["tail"] == fault.tailAfter);
    }
}

TEST_CASE("held appends are stored when the fault ends, without those whose caller has left")
{
    StandinProcess log("log-standin", {});
    const auto address = SocketAddress{.ip = "127.0.0.1", .port = log.port()};
    const auto limit = milliseconds(10000);
    const auto holds = [&](int count) {
        return waitUntil([&] { return log.json("/standin/held-appends")["held"] == count; }, limit);
    };
    log.setFaults({{"hold_appends", true}});
    auto loop = EventLoop();
    auto leaver = std::make_unique<HttpClient>(loop, HttpClientOptions{});
    leaver->call(address, {.method = "POST", .target = "/v1/append", .body = R"({"number": 0})"},
                 {.timeout = limit}, [](const HttpOutcome &) {});
    auto timer = Timer(loop, [&] { loop.stop(); });
    timer.startRepeating(milliseconds(1));
    CHECK(waitUntil(
        [&] {
            loop.run();
            return log.json("/standin/held-appends")["held"] == 1;
        },
        limit));
    leaver.reset();
    CHECK(holds(0));
    auto appends = std::vector<std::thread>();
    auto outcomes = std::vector<HttpOutcome>(2);
    for (auto number = 1; number <= 2; ++number) {
        appends.emplace_back([&, number] {
            outcomes[static_cast<std::size_t>(number - 1)] =
                callAndWait(address,
                            {.method = "POST",
                             .target = "/v1/append",
                             .body = nlohmann::json{{"number", number}}.dump()},
                            {.timeout = limit});
        });
        CHECK(holds(number));
    }
    CHECK(read(log, 1)["tail"] == 0);
    log.setFaults(nlohmann::json::object());
    for (auto &thread : appends) {
        thread.join();
    }
    const auto records = read(log, 1)["records"];
    REQUIRE(records.size() == 2);
    for (std::size_t i = 0; i < records.size(); ++i) {
        CHECK(records[i]["record"]["number"] == i + 1);
        CHECK(nlohmann::json::parse(outcomes[i].response.body)["offset"] == i + 1);
    }
}

TEST_CASE("a stale tail hides later records until the fault ends")
{
    StandinProcess log("log-standin", {});
    append(log, 1);
    log.setFaults({{"stale_tail", true}});
    append(log, 2);
    CHECK(read(log, 1)["tail"] == 1);
    CHECK(read(log, 1)["records"].size() == 1);
    log.setFaults(nlohmann::json::object());
    CHECK(read(log, 1)["tail"] == 2);
}

TEST_CASE("a malformed response is not JSON, and a malformed record is refused")
{
    StandinProcess log("log-standin", {});
    log.setFaults({{"rubbish_answers", 1}});
    CHECK(nlohmann::json::parse(append(log, 1).response.body, nullptr, false).is_discarded());
    CHECK(log.postText("/v1/append", "[1, 2").response.status == 400);
}

TEST_CASE("a change of the VM list becomes visible after its delay")
{
    StandinProcess list("vm-list-standin", {});
    const auto vms = nlohmann::json::array({{{"vm", "vm-1"}, {"zone", "a"}, {"state", "live"}}});
    CHECK(list.json("/v1/vms")["vms"].empty());
    list.post("/standin/vms", {{"vms", vms}});
    CHECK(list.json("/v1/vms")["vms"] == vms);
    list.post("/standin/vms", {{"vms", nlohmann::json::array()}, {"lag_ms", 100}});
    CHECK(list.json("/v1/vms")["vms"] == vms);
    CHECK(waitUntil([&] { return list.json("/v1/vms")["vms"].empty(); }, milliseconds(5000)));
    list.setFaults({{"down", true}});
    CHECK(list.get("/v1/vms").response.status == 503);
}
