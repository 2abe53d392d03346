#include "gateway/request_admission.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

using namespace figlanding;

namespace {

constexpr milliseconds objective{500};

// Admits one request by a configuration with one route, which needs an API key.
class Admitting
{
public:
    auto admit(const std::string &target, const std::string &apiKey,
               std::optional<milliseconds> deadline = {}) -> std::optional<Refusal>
    {
        auto refusal = std::optional<Refusal>{};
        const auto server = valueOrElse(
            [&] {
                return HttpServer::listen(
                    m_loop, {.address = {.ip = "127.0.0.1"}}, [&](HttpExchange exchange) {
                        refusal = admit(std::move(exchange), apiKey, deadline);
                        m_loop.stop();
                    });
            },
            [](const Error &) { return std::unique_ptr<HttpServer>(); });
        REQUIRE(server);
        m_client.call({.ip = "127.0.0.1", .port = server->port()},
                      {.method = "GET", .target = target, .headers = {{"host", "h"}}},
                      {.timeout = milliseconds(5000)}, [](const HttpOutcome &) {});
        m_loop.run();
        return refusal;
    }

    ConfigurationStatus status = ConfigurationStatus::Confirmed;
    Duration objectiveIn{}; ///< of the last request, from its arrival

private:
    auto admit(HttpExchange exchange, const std::string &apiKey,
               std::optional<milliseconds> deadline) -> std::optional<Refusal>
    {
        auto active = ActiveRequest{};
        active.exchange = std::make_unique<HttpExchange>(std::move(exchange));
        active.caller = {.id = "id", .host = "h", .apiKey = apiKey, .deadline = deadline};
        active.receivedAt = m_loop.now();
        auto refusal = m_admission.admit(active);
        objectiveIn = active.objectiveAt - active.receivedAt;
        active.exchange->respond({.status = 200});
        return refusal;
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop, {}};
    TeamLimits m_limits{{}};
    std::shared_ptr<const DesiredStateIndex> m_state = std::make_shared<const DesiredStateIndex>(
        DesiredState{.version = 1,
                     .routes = {{.id = RouteId("r"),
                                 .host = "h",
                                 .pathPrefix = "/known/",
                                 .latencyObjective = objective,
                                 .services = {{.service = ServiceId("rooms")}}}},
                     .services = {{.id = ServiceId("rooms")}},
                     .teams = {{.id = TeamId("t"), .apiKeys = {"key"}}}});
    RequestAdmission m_admission{
        {}, m_limits, [this] { return m_state; }, [this] { return status; }};
};

auto reasonOf(const std::optional<Refusal> &refusal) -> std::optional<RefusalReason>
{
    return refusal ? std::optional(refusal->reason) : std::nullopt;
}

} // namespace

TEST_CASE("a route or API key that an old configuration lacks is not refused for good")
{
    auto vm = Admitting();
    CHECK(reasonOf(vm.admit("/new/", "key")) == RefusalReason::NoRoute);
    CHECK(reasonOf(vm.admit("/known/", "new")) == RefusalReason::InvalidTeamKey);
    vm.status = ConfigurationStatus::Unconfirmed;
    for (const auto &refusal : {vm.admit("/new/", "key"), vm.admit("/known/", "new")}) {
        REQUIRE(reasonOf(refusal) == RefusalReason::ViewNotFresh);
        CHECK(refusal->retryAfter.has_value());
    }
    CHECK_FALSE(vm.admit("/known/", "key"));
}

TEST_CASE("a VM that has lacked a newer configuration for a while serves nothing by the older one")
{
    auto vm = Admitting();
    vm.status = ConfigurationStatus::Outdated;
    for (const auto &refusal :
         {vm.admit("/known/", "key"), vm.admit("/new/", "key"), vm.admit("/known/", "new")}) {
        REQUIRE(reasonOf(refusal) == RefusalReason::ViewNotFresh);
        CHECK(refusal->retryAfter.has_value());
    }
}

TEST_CASE("a deadline near the largest number does not overflow the objective of other callers")
{
    constexpr auto longest = milliseconds::max();
    auto vm = Admitting();
    CHECK_FALSE(vm.admit("/known/", "key", longest));
    CHECK(vm.objectiveIn == objective);
    CHECK_FALSE(vm.admit("/known/", "key", milliseconds(2000)));
    CHECK(vm.objectiveIn == objective);
    // So many name it that it counts as the full deadline.
    CHECK_FALSE(vm.admit("/known/", "key", longest));
    CHECK_FALSE(vm.admit("/known/", "key", milliseconds(2000)));
    CHECK(vm.objectiveIn >= Duration::zero());
    CHECK(vm.objectiveIn <= objective);
}
