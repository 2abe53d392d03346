#include "io/load_runner.h"
#include "standin_fixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace figlanding;

namespace {

auto preset(const char *name) -> LoadProfile
{
    return loadPreset(name).value();
}

} // namespace

TEST_CASE("equal seeds give equal plans, different seeds different ones")
{
    auto first = LoadPlan(preset("lavalleja"), 100.0, 7);
    auto second = LoadPlan(preset("lavalleja"), 100.0, 7);
    auto other = LoadPlan(preset("lavalleja"), 100.0, 8);
    auto differs = false;
    for (auto count = 0; count < 100; ++count) {
        const auto planned = first.next();
        CHECK(planned == second.next());
        differs = differs || planned.at != other.next().at;
    }
    CHECK(differs);
}

TEST_CASE("plans follow the arrival rate, the shares and the Zipf distribution of keys")
{
    constexpr auto count = 50000;
    constexpr auto rate = 1000.0;
    for (const auto *const name : {"lavalleja", "reykjavik"}) {
        CAPTURE(std::string(name));
        auto plan = LoadPlan(preset(name), rate, 3);
        auto routes = std::map<std::size_t, int>{};
        auto teams = std::map<std::size_t, int>{};
        auto keys = std::map<std::string, int>{};
        auto last = PlannedRequest{};
        for (auto number = 0; number < count; ++number) {
            const auto planned = plan.next();
            CHECK(planned.at >= last.at);
            last = planned;
            ++routes[planned.route];
            ++teams[planned.team];
            if (planned.route == 0) {
                ++keys[planned.key];
            }
        }
        const auto length = std::chrono::duration<double>(last.at).count();
        CHECK(length == doctest::Approx(count / rate).epsilon(0.02));
        const auto &profile = plan.profile();
        for (std::size_t index = 0; index < profile.routes.size(); ++index) {
            CHECK(routes[index] / static_cast<double>(count)
                  == doctest::Approx(profile.routes[index].share).epsilon(0.05));
        }
        CHECK(teams[0] / static_cast<double>(count)
              == doctest::Approx(profile.teams[0].share).epsilon(0.05));
        CHECK(keys["k0"] / static_cast<double>(keys["k1"]) == doctest::Approx(2.0).epsilon(0.1));
    }
}

TEST_CASE("an unknown preset is an error")
{
    const auto code = valueOrElse(
        []() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(loadPreset("nowhere"));
            return ErrorCode::Internal;
        },
        [](const Error &error) { return error.code; });
    CHECK(code == ErrorCode::NotFound);
}

TEST_CASE("quantiles of a histogram are accurate to one bin")
{
    auto latency = LatencyHistogram();
    CHECK(latency.quantile(0.5) == Duration::zero());
    for (auto value = 1; value <= 1000; ++value) {
        latency.add(milliseconds(value));
    }
    CHECK(latency.count() == 1000);
    const auto medianMs = std::chrono::duration<double, std::milli>(latency.quantile(0.5)).count();
    CHECK(medianMs == doctest::Approx(500.0).epsilon(0.025));
}

TEST_CASE("a run counts every request and measures latency from the scheduled send time")
{
    StandinProcess server("backend-server-standin", {"--slots", "100", "--service-ms", "1"});
    EventLoop loop;
    auto runner = LoadRunner(loop, LoadPlan(preset("reykjavik"), 200.0, 5),
                             {.targets = {{"127.0.0.1", server.port()}}, .length = seconds(1)});
    auto results = std::uint64_t{0};
    runner.start(
        [&](const LoadResult &result) {
            ++results;
            CHECK(result.latency >= result.endedAt - result.sentAt);
        },
        [&] { loop.stop(); });
    loop.run();
    const auto &report = runner.report();
    CHECK(report.planned == results);
    CHECK(report.notSent == 0);
    CHECK(report.statuses.at(200) == results);
    // The runner is connected to the backend server directly, which sends no verdict header.
    CHECK(report.verdicts.at("may-have-run") == results);
    CHECK(nlohmann::json::parse(toJsonText(report))["planned"] == results);
}
