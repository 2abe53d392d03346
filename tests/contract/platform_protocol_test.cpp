#include "http_protocol.h"
#include "records.h"

#include <doctest/doctest.h>

#include <string>

using namespace figlanding;
using namespace figlanding::platform;

namespace {

constexpr auto configuration = R"({"Version":"r7","Routes":[
 {"Name":"r-1","Hostname":"x.example","PathPrefix":"/a/","RouteType":"safe","Timeout":"1000ms",
  "TargetLatency":"300ms","Priority":2,"TrafficSplit":[{"Service":"s1","Weight":90},
  {"Service":"s2","Weight":10}],"Attempts":2,"Public":false},
 {"Name":"r-2","Hostname":"y.example","PathPrefix":"/b/","RouteType":"unsafe","Timeout":"1.2s",
  "TargetLatency":"400ms","Priority":1,"Service":"s2","Attempts":1,"Public":true},
 {"Name":"r-3","Hostname":"y.example","PathPrefix":"/c/","RouteType":"download","Timeout":"1s",
  "Service":"s2"}],
 "Services":[{"Name":"s1","HealthCheckPath":"/healthz","MaxConnections":120,"Warmup":"3s",
  "WarmupPerS":4.8,"Sharded":true},{"Name":"s2"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"IdleTimeout":"15000ms"},
 "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":62,"Burst":30}]})";

constexpr auto announcement = R"({"Service":"s1","Address":"10.0.0.9:8080","Zone":"a",
 "Version":"v1","MaxConcurrency":2,"State":"draining","WarmupRemaining":"1500ms","Sequence":4,
 "born":1790000000000})";

auto decodeState(const std::string &value) -> DesiredState
{
    return valueOrElse(
        [&]() -> Result<DesiredState> {
            BOOST_LEAF_AUTO(record, decodeOperatorRecord({.key = "config", .value = value}));
            const auto *state = std::get_if<DesiredState>(&record);
            return state == nullptr ? DesiredState{} : *state;
        },
        [](const Error &) { return DesiredState{}; });
}

auto decodes(const std::string &value) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodeServerEntry({.key = "i-1", .value = value}));
            return true;
        },
        [](const Error &) { return false; });
}

auto responseKind(int status, HttpHeaders headers) -> ResponseKind
{
    return HttpProtocol::readResponse({.status = status, .headers = std::move(headers)}, "id").kind;
}

} // namespace

TEST_CASE("a configuration is decoded with its routes, services, teams and limits")
{
    const auto state = decodeState(configuration);
    CHECK(state.version == 7);
    REQUIRE(state.routes.size() == 3);
    CHECK(state.routes[0].repeatability == Repeatability::Idempotent);
    CHECK(state.routes[0].services.size() == 2);
    CHECK(state.routes[0].latencyObjective == milliseconds(300));
    CHECK(state.routes[1].repeatability == Repeatability::AtMostOnce);
    CHECK(state.routes[1].timeout == milliseconds(1200));
    CHECK(state.routes[1].open);
    CHECK(state.routes[2].repeatability == Repeatability::Idempotent);
    REQUIRE(state.services.size() == 2);
    CHECK(state.services[0].keyed);
    CHECK(state.services[0].coldRequestsPerSecond == doctest::Approx(4.8));
    REQUIRE(state.teams.size() == 1);
    CHECK(state.teams[0].apiKeys.size() == 2);
    CHECK(state.teams[0].priority == 1U);
    CHECK(state.limits.maxBodyBytes == 1000);
}

TEST_CASE("malformed configurations are decoding errors, not empty states")
{
    for (const auto *text : {"", "[]", "{}", R"({"Version":"7","Routes":[],"Services":[]})",
                             R"({"Version":"","Routes":[],"Services":[]})",
                             R"({"Version":"r7","Routes":[{}],"Services":[]})",
                             R"({"Version":"r7","Routes":5,"Services":[]})"}) {
        CHECK(decodeState(text).version == 0);
    }
}

TEST_CASE("a zone evacuation starts when its record is written and ends when its key is removed")
{
    const auto evacuation = [](std::optional<std::string> value) {
        return valueOrElse(
            [&]() -> Result<OperatorRecord> {
                return decodeOperatorRecord({.key = "evacuate/zone-a", .value = std::move(value)});
            },
            [](const Error &) { return OperatorRecord(IrrelevantRecord{}); });
    };
    CHECK(evacuation("{}") == OperatorRecord(ZoneEvacuation{AvailabilityZoneId("zone-a"), true}));
    CHECK(evacuation(std::nullopt)
          == OperatorRecord(ZoneEvacuation{AvailabilityZoneId("zone-a"), false}));
}

TEST_CASE("a server announcement is decoded; one without a usable server is rejected")
{
    const auto entry =
        valueOrElse([&] { return decodeServerEntry({.key = "i-1", .value = announcement}); },
                    [](const Error &) { return ServerEntry{}; });
    CHECK(entry.id == BackendServerId("i-1"));
    CHECK(entry.startedUnixMs == 1'790'000'000'000);
    CHECK(entry.draining);
    CHECK(entry.coldRemaining == milliseconds(1500));
    CHECK(entry.address == SocketAddress{"10.0.0.9", 8080});
    for (
        const auto *text :
        {"", "\xff\xfe", "{}", "[1]", R"({"Service":1})",
         R"({"Service":"s","Address":"x","Zone":"a","MaxConcurrency":2,"State":"ready","Sequence":1})",
         R"({"Service":"s","Address":"1.2.3.4:1","Zone":"a","MaxConcurrency":2,"State":"odd","Sequence":1})",
         R"({"Service":"s","Address":"1.2.3.4:1","Zone":"a","MaxConcurrency":0,"State":"ready","Sequence":1})",
         R"({"Service":"s","Address":"1.2.3.4:1","Zone":"a","MaxConcurrency":"2","State":"ready","Sequence":1})"}) {
        CHECK_FALSE(decodes(text));
    }
}

TEST_CASE("a request to a server carries the server's id and the team, but never the API key")
{
    const auto request = HttpRequest{.method = "POST",
                                     .target = "/a/1?x=2",
                                     .headers = {{"host", "x.example"},
                                                 {"x-request-id", "id"},
                                                 {"x-credential", "secret"},
                                                 {"x-tenant", "forged"},
                                                 {"x-deadline-ms", "2000"},
                                                 {"connection", "keep-alive"},
                                                 {"x-other", "kept"}},
                                     .body = "body"};
    const auto caller = HttpProtocol::readRequest(request);
    CHECK(caller.id == "id");
    CHECK(caller.apiKey == "secret");
    CHECK(caller.deadline == milliseconds(2000));
    CHECK_FALSE(caller.key);
    const auto sent = HttpProtocol::serverRequest(
        request,
        {.server = BackendServerId("i-1"), .timeLeft = milliseconds(1500), .team = TeamId("t")});
    CHECK(sent.target == request.target);
    CHECK(sent.body == "body");
    CHECK_FALSE(sent.headers.find("x-credential"));
    CHECK_FALSE(sent.headers.find("connection"));
    CHECK(sent.headers.find("x-tenant") == "t");
    CHECK(sent.headers.find("x-expect-instance") == "i-1");
    CHECK(sent.headers.find("x-deadline-ms") == "1500");
    CHECK(sent.headers.find("x-other") == "kept");
    CHECK(sent.headers.find("host") == "x.example");
    const auto open = HttpProtocol::serverRequest(request, {.server = BackendServerId("i-1")});
    CHECK_FALSE(open.headers.find("x-tenant"));
}

TEST_CASE("a response is classified by status, request id, signature and content encoding")
{
    const auto ours = HttpHeaders{{"x-request-id", "id"}, {"x-upstream-signature", "d"}};
    CHECK(responseKind(200, ours) == ResponseKind::Success);
    CHECK(responseKind(500, ours) == ResponseKind::Failure);
    CHECK(responseKind(200, {{"x-request-id", "id"}}) == ResponseKind::Foreign);
    CHECK(responseKind(200, {{"x-request-id", "other"}, {"x-upstream-signature", "d"}})
          == ResponseKind::Foreign);
    CHECK(responseKind(500, {}) == ResponseKind::Foreign);
    CHECK(responseKind(503, {{"x-not-executed", "1"}}) == ResponseKind::NotRun);
    CHECK(responseKind(421, {}) == ResponseKind::WrongServer);
    auto coded = ours;
    coded.add("content-encoding", "gzip");
    CHECK(responseKind(200, coded) == ResponseKind::Foreign);
}

TEST_CASE("a response is identified by the request's own id only")
{
    const auto identified = [](HttpHeaders headers) {
        return HttpProtocol::readResponse({.status = 503, .headers = std::move(headers)}, "id")
            .identified;
    };
    CHECK(identified({{"x-not-executed", "1"}, {"x-request-id", "id"}}));
    CHECK_FALSE(identified({{"x-not-executed", "1"}, {"x-request-id", "other"}}));
    CHECK_FALSE(identified({{"x-not-executed", "1"}}));
}

TEST_CASE("a load report has three or four numbers")
{
    const auto load = [](const char *text) {
        return HttpProtocol::readResponse({.headers = {{"x-upstream-load", text}}}, "id").load;
    };
    CHECK(load("3,1,8") == LoadReport{3, 1, 8, 1.0});
    CHECK(load("3,1,8,250") == LoadReport{3, 1, 8, 2.5});
    CHECK_FALSE(load("3,1"));
    CHECK_FALSE(load("a,b,c"));
    CHECK_FALSE(load(""));
}

TEST_CASE("a refusal carries the request id and a fractional retry-after")
{
    const auto response = HttpProtocol::refusal(
        {.reason = RefusalReason::QueueFull, .retryAfter = milliseconds(250)}, "id");
    CHECK(response.status == 503);
    CHECK(response.headers.find("x-request-id") == "id");
    CHECK(response.headers.find("retry-after") == "0.250");
}

TEST_CASE("a server's terms are read from its own responses only, a limit only if it is a number")
{
    const auto termsOf = [](int status, HttpHeaders headers) {
        return HttpProtocol::readResponse({.status = status, .headers = std::move(headers)}, "id")
            .terms;
    };
    const auto limit = [](const char *text) {
        return HttpHeaders{
            {"x-request-id", "id"}, {"x-upstream-signature", "d"}, {"server-limit", text}};
    };
    CHECK(termsOf(200, limit("5.5")) == ServerTerms{.requestsPerSecond = 5.5});
    CHECK(termsOf(500, limit("12")) == ServerTerms{.requestsPerSecond = 12.0});
    CHECK(termsOf(503, {{"x-not-executed", "1"}, {"server-limit", "3"}})
          == ServerTerms{.requestsPerSecond = 3.0});
    for (const auto *text : {"", "x", "-1", "nan", "inf", "5 "}) {
        CHECK(termsOf(200, limit(text)) == ServerTerms{});
    }
    CHECK(termsOf(200, {{"x-request-id", "id"}, {"x-upstream-signature", "d"}}) == ServerTerms{});
    CHECK(termsOf(503, {{"x-not-executed", "1"}, {"retry-after", "1.5"}})
          == ServerTerms{.pause = milliseconds(1500)});
    CHECK(termsOf(503, {{"x-not-executed", "1"}, {"retry-after", "soon"}}) == ServerTerms{});
    CHECK(termsOf(429, {{"x-not-executed", "1"}, {"retry-after", "1.5"}}) == ServerTerms{});
    CHECK(termsOf(503, {{"x-not-executed", "1"}, {"server-leaving", "1"}})
          == ServerTerms{.leaving = true});
    CHECK(termsOf(503, {{"x-not-executed", "1"}, {"server-leaving", "0"}}) == ServerTerms{});
    CHECK_FALSE(termsOf(421, {{"x-not-executed", "1"}, {"server-limit", "3"}}));
    CHECK_FALSE(termsOf(200, {{"x-request-id", "other"}, {"server-limit", "3"}}));
}
