#include "cli_fixture.h"
#include "standins/process.h"

using namespace figlanding;
using namespace figlanding::testing;

TEST_CASE("commands change and show the state")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    const auto file = TemporaryFile(declarations);
    const auto firstZoneOnly =
        TemporaryFile(R"({"kind": "AvailabilityZone", "name": "a", "spec": {}})");
    checkRows(runner,
              {
                  {{"apply", file.name()}, 0, "no changes"},
                  {{"apply", firstZoneOnly.name(), "--prune", "--dry-run"},
                   0,
                   "- AvailabilityZone \"b\""},
                  {{"apply", firstZoneOnly.name(), "--prune"}, 1, "refused"},
                  {{"get", "zone", "b"}, 0, "\"name\":\"b\""},
                  {{"get", "zone", "c"}, 1, "not found"},
                  {{"get", "planet"}, 1, "planet"},
                  {{"label", "server", "s1", "tier=z", "new=1"}, 0, "accepted"},
                  {{"selector", "test", "tier=z,new", "server"}, 0, "s1\n"},
                  {{"label", "server", "s1", "new-"}, 0, "accepted"},
                  {{"selector", "test", "!new,tier=z", "server"}, 0, "s1\n"},
                  {{"selector", "test", "tier in", "server"}, 1, "invalid syntax"},
                  {{"label", "server", "s1", "tier"}, 1, "neither key=value nor key-"},
                  {{"label", "server", "s1", "tier=a b"}, 1, "invalid value"},
                  {{"team", "set", "north", "--rate", "20", "--burst", "6"}, 0, "accepted"},
                  {{"get", "team", "north"}, 0, "20"},
                  {{"team", "set", "north", "--rate", "-1", "--burst", "6"}, 1, "invalid value"},
                  {{"key", "grant", "south"}, 1, "not found"},
                  {{"key", "withdraw", "k"}, 1, "not found"},
                  {{"server", "drain", "s1"}, 0, "accepted"},
                  {{"server", "drain", "s1"}, 0, "no change"},
                  {{"status"}, 0, "server s1, zone a, draining"},
                  {{"server", "undrain", "s1"}, 0, "accepted"},
                  {{"zone", "leave", "a"}, 0, "accepted"},
                  {{"status"}, 0, "server s1, zone a, zone leaving"},
                  {{"zone", "return", "a"}, 0, "accepted"},
                  {{"quarantine", "list"}, 0, ""},
                  {{"quarantine", "lift", "d"}, 1, "not found"},
                  {{"where", "docs", "k"}, 1, "assigns no keys"},
                  {{"explain", "GET", "/docs/x"}, 1, "authenticate: stops"},
                  {{"explain", "GET", "/none"}, 1, "parse: stops"},
                  {{"explain", "GET", "/docs/../x"}, 1, "parse: stops"},
                  {{"audit", "--limit", "1", "--author", "ann"}, 0, "AvailabilityZone \"a\""},
              });
}

TEST_CASE("a team key is granted, used by explain, and withdrawn")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    const auto granted = runner.json({"key", "grant", "north", "--id", "k1", "--author", "ann"});
    const auto credential = granted["credential"].get<std::string>();
    const auto secret = credential.substr(credential.find('.') + 1);
    REQUIRE(secret.size() >= 16);
    checkRows(runner,
              {
                  {{"explain", "GET", "/docs/x", "--key-id", "k1"}, 0, "servers s1 s2"},
                  {{"audit", "--limit", "1"}, 0, "ann"},
                  {{"key", "grant", "north", "--id", "k1"}, 1, "refused"},
              });
    for (const auto &arguments :
         std::vector<std::vector<std::string>>{{"get", "key"}, {"audit"}, {"status"}}) {
        CHECK(runner.run(arguments).out.find(secret) == std::string::npos);
    }
    checkRows(runner,
              {
                  {{"key", "withdraw", "k1"}, 0, "accepted"},
                  {{"explain", "GET", "/docs/x", "--key-id", "k1"}, 1, "no key"},
              });
}

TEST_CASE("of concurrent changes one is accepted and the others report a version conflict")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    constexpr auto operatorCount = 4;
    auto results = std::vector<CliResult>(operatorCount);
    log.setFaults(R"({"hold_appends": true})");
    auto threads = std::vector<std::thread>();
    for (auto &result : results) {
        const auto number = &result - results.data();
        threads.emplace_back([&runner, &result, number] {
            result = runner.run(
                {"label", "zone", "a", "n=" + std::to_string(number), "--timeout-ms", "30000"});
        });
    }
    CHECK(standins::waitUntil([&] { return log.heldAppends() == operatorCount; }, seconds(20)));
    log.setFaults("{}");
    for (auto &thread : threads) {
        thread.join();
    }
    auto acceptedCount = 0;
    for (const auto &result : results) {
        CAPTURE(result.out);
        acceptedCount += result.code == 0 ? 1 : 0;
        if (result.code != 0) {
            CHECK(result.code == 1);
            CHECK(result.out.find("version conflict") != std::string::npos);
            CHECK(result.out.find("try again") != std::string::npos);
        }
    }
    CHECK(acceptedCount == 1);
}

TEST_CASE("an append whose response is lost or unreadable takes effect exactly once")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    for (const auto *fault : {R"({"lose_answers": 1})", R"({"lose_answers": 2})"}) {
        CAPTURE(fault);
        const auto before = runner.json({"status"})["offset"].get<LogOffset>();
        log.setFaults(fault);
        const auto result = runner.json({"label", "zone", "a", std::string("f=") + fault[17]});
        CHECK(result["accepted"] == true);
        CHECK(result["offset"] == before + 1);
        log.setFaults("{}");
    }
}

TEST_CASE("an unavailable log ends a command with exit code 3")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    for (const auto *fault : {R"({"down": true})", R"({"silent": true})", R"({"slow_ms": 5000})"}) {
        CAPTURE(fault);
        log.setFaults(fault);
        checkRows(runner,
                  {
                      {{"status", "--timeout-ms", "300"}, 3, "log service is unavailable"},
                      {{"zone", "leave", "a", "--timeout-ms", "300"}, 3, "unavailable"},
                  });
        log.setFaults("{}");
        CHECK(runner.run({"status"}).code == 0);
    }
    const auto unreachableLog = CliRunner({.ip = "127.0.0.1", .port = 1});
    checkRows(unreachableLog, {{{"status", "--timeout-ms", "100"}, 3, "connection failed"}});
}

TEST_CASE("usage errors exit with 2, help and version with 0")
{
    const auto runner = CliRunner({.ip = "127.0.0.1", .port = 1});
    const auto config = TemporaryFile(R"({"log": "nowhere", "logs": 1})");
    checkRows(runner,
              {
                  {{}, 2, "Usage"},
                  {{"frob"}, 2, "unknown command"},
                  {{"key"}, 2, "unknown command"},
                  {{"get"}, 2, "kind"},
                  {{"get", "zone", "--frob"}, 2, "--frob"},
                  {{"get", "zone", "--output", "xml"}, 2, "output"},
                  {{"get", "zone", "--log", "nowhere"}, 2, "nowhere"},
                  {{"get", "zone", "--config", config.name()}, 2, "log: found \"nowhere\""},
                  {{"get", "zone", "--config", "/nonexistent"}, 2, "/nonexistent"},
                  {{"watch", "x"}, 2, "offset"},
                  {{"team", "set", "north"}, 2, "rate"},
                  {{"--help"}, 0, "apply FILE..."},
                  {{"--version"}, 0, "test"},
                  {{"key", "grant", "--help"}, 0, ""},
              });
}
