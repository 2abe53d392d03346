#include "standins/fleet.h"
#include "standins/history_checker.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace figlanding;
using namespace figlanding::standins;

namespace {

constexpr milliseconds readyLimit{30000};

auto startFleet(const std::string &directory, const std::string &preset) -> std::unique_ptr<Fleet>
{
    return valueOrElse(
        [&]() -> Result<std::unique_ptr<Fleet>> {
            BOOST_LEAF_AUTO(profile, loadPreset(preset));
            BOOST_LEAF_AUTO(
                fleet,
                Fleet::start({.deployment = deploymentOf(profile, 3, 4), .directory = directory}));
            BOOST_LEAF_CHECK(fleet->waitReady(readyLimit));
            return fleet;
        },
        [](const Error &error) {
            FAIL(describe(error));
            return std::unique_ptr<Fleet>();
        });
}

} // namespace

TEST_CASE("a fleet routes requests of both presets to the owners of their keys")
{
    for (const auto *const preset : {"lavalleja", "reykjavik"}) {
        CAPTURE(std::string(preset));
        const TemporaryDirectory directory;
        const auto fleet = startFleet(directory.path(), preset);
        const auto profile = loadPreset(preset).value();
        const auto &route = profile.routes.at(1);
        const auto &team = profile.teams.at(0);
        auto owner = std::string{};
        for (const auto &address : fleet->callerAddresses()) {
            const auto outcome =
                callAndWait(address,
                            {.method = route.method,
                             .target = route.pathPrefix + "/key",
                             .headers = {{"authorization", "Bearer " + team.credential}},
                             .body = "{}"},
                            {.timeout = milliseconds(5000)});
            REQUIRE(outcome.verdict == Verdict::Ran);
            INFO(outcome.response.body);
            CHECK(outcome.response.status == 200);
            CHECK(outcome.response.headers.find("figlanding-verdict") == "ran");
            const auto body = nlohmann::json::parse(outcome.response.body);
            CHECK(body["team"] == team.name);
            CHECK((owner.empty() || body["server"] == owner));
            owner = body["server"];
        }
        const auto report = checkHistories(fleet->histories().value(), {}, {});
        CHECK(report.executions == 3);
        CHECK(report.clean());
    }
}
