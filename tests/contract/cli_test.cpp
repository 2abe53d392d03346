#include "cli/cli.h"
#include "io/http_client.h"
#include "raw_server.h"
#include "standins/log_standin.h"
#include "standins/process.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace figlanding;
using namespace figlanding::cli;
using namespace figlanding::testing;

namespace {

// Runs a log stand-in on its own event loop and thread.
class LogStandinThread
{
public:
    LogStandinThread()
        : m_thread([this] { run(); })
    {
        while (m_port == 0) {
            std::this_thread::yield();
        }
    }
    ~LogStandinThread()
    {
        m_stop = true;
        m_thread.join();
    }
    LogStandinThread(const LogStandinThread &) = delete;
    auto operator=(const LogStandinThread &) -> LogStandinThread & = delete;

    [[nodiscard]] auto address() const -> SocketAddress
    {
        return {.ip = "127.0.0.1", .port = m_port};
    }
    auto setFaults(const std::string &json) const -> void
    {
        const auto outcome = callAndWait(
            address(), {.method = "POST", .target = "/standin/fault", .body = json}, {});
        REQUIRE(outcome.verdict == Verdict::Ran);
        REQUIRE(outcome.response.status == 200);
    }
    // Returns how many appends the fault "hold_appends" holds.
    [[nodiscard]] auto heldAppends() const -> int
    {
        const auto outcome = callAndWait(address(), {.target = "/standin/held-appends"}, {});
        return nlohmann::json::parse(outcome.response.body, nullptr, false).value("held", -1);
    }

private:
    auto run() -> void
    {
        auto loop = EventLoop();
        auto log = standins::LogStandin(loop, {});
        (void)settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(log.start());
            return true;
        });
        auto timer = Timer(loop, [&] {
            if (m_stop) {
                loop.stop();
            }
        });
        timer.startRepeating(milliseconds(5));
        m_port = log.port();
        loop.run();
    }

    std::atomic<std::uint16_t> m_port = 0;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

struct CliResult
{
    int code = 0;
    std::string out;
    std::string err;
};

// Runs the command-line client in this process against a log.
class CliRunner
{
public:
    explicit CliRunner(const SocketAddress &log)
        : m_log(toText(log))
    { }
    auto run(const std::vector<std::string> &arguments) const -> CliResult
    {
        auto out = std::ostringstream();
        auto err = std::ostringstream();
        auto io = CliIo{.out = out,
                        .err = err,
                        .environment =
                            [this](const std::string &name) {
                                return name == "FIGLANDING_LOG" ? m_log : std::string();
                            },
                        .version = "test"};
        const auto code = runCli(arguments, io);
        return {.code = static_cast<int>(code), .out = out.str(), .err = err.str()};
    }
    auto json(std::vector<std::string> arguments) const -> nlohmann::json
    {
        arguments.insert(arguments.end(), {"--output", "json"});
        const auto result = run(arguments);
        CAPTURE(result.err);
        CHECK(result.code == 0);
        return nlohmann::json::parse(result.out);
    }

private:
    std::string m_log;
};

// A file that the destructor removes.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_name("/tmp/figlanding-cli-test-" + std::to_string(::getpid()) + "-"
                 + std::to_string(nextNumber()) + ".json")
    {
        std::ofstream(m_name) << text;
    }
    ~TemporaryFile()
    {
        std::remove(m_name.c_str());
    }
    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;

    [[nodiscard]] auto name() const -> const std::string &
    {
        return m_name;
    }

private:
    static auto nextNumber() -> int
    {
        static auto number = 0;
        return ++number;
    }
    std::string m_name;
};

const auto declarations = std::string(R"([
    // Two zones, two servers, one service.
    {"kind": "AvailabilityZone", "name": "a", "spec": {}},
    {"kind": "AvailabilityZone", "name": "b", "spec": {}},
    {"kind": "BackendServer", "name": "s1", "labels": {"tier": "x"},
     "spec": {"zone": "a", "address": "127.0.0.1:8001"}},
    {"kind": "BackendServer", "name": "s2", "labels": {"tier": "y"},
     "spec": {"zone": "b", "address": "127.0.0.1:8002"}},
    {"kind": "Service", "name": "docs", "spec": {"mode": "pool"}},
    {"kind": "Route", "name": "docs", "spec": {"path_prefix": "/docs", "service": "docs"}},
    {"kind": "Team", "name": "north", "spec": {"rate_per_second": 10, "burst": 5}}
])");

auto applyDeclarations(const CliRunner &runner) -> void
{
    const auto file = TemporaryFile(declarations);
    const auto result = runner.run({"apply", file.name()});
    CAPTURE(result.out);
    CAPTURE(result.err);
    REQUIRE(result.code == 0);
}

struct Row
{
    std::vector<std::string> arguments;
    int code;
    std::string output; ///< expected substring of the output or error output
};

auto checkRows(const CliRunner &runner, const std::vector<Row> &rows) -> void
{
    for (const auto &row : rows) {
        const auto result = runner.run(row.arguments);
        const auto text = result.out + result.err;
        const auto command = nlohmann::json(row.arguments).dump();
        CAPTURE(command);
        CAPTURE(text);
        CHECK(result.code == row.code);
        CHECK(text.find(row.output) != std::string::npos);
    }
}

} // namespace

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

TEST_CASE("watch and --wait query every VM")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    struct WaitRow
    {
        std::string body; ///< body of the VM's response; empty closes the connection without one
        int code;
        std::string output;
    };
    const auto rows = std::vector<WaitRow>{
        {R"({"vm": "vm-1", "offset": 1, "fresh": true, "term": 1, "members": []})", 0, "in force"},
        {R"({"vm": "vm-1", "offset": 0, "fresh": true})", 1, "vm-1: offset 0"},
        {R"({"vm": "vm-1", "offset": 9, "fresh": false})", 1, "not fresh"},
        {R"({"vm": "vm-1", "offset": 1, "fresh": true, "members":
             [{"vm": "vm-2", "admin_address": "127.0.0.1:1"}]})",
         3, "connection failed"},
        {R"({"offset": 1})", 3, "names no VM"},
        {"[", 3, "status 200"},
        {"", 3, "connection failed"},
    };
    for (const auto &row : rows) {
        const auto response = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(row.body.size()) + "\r\n\r\n" + row.body;
        const auto script = RawScript{{RawAction::ReadRequest, {}},
                                      {RawAction::Send, row.body.empty() ? "" : response}};
        auto vm = RawServer(std::vector<RawScript>(20, script));
        checkRows(runner,
                  {{{"watch", "1", "--timeout-ms", "400", "--admin", toText(vm.address())},
                    row.code,
                    row.output}});
    }
    const auto offset = runner.json({"status"})["offset"];
    checkRows(runner,
              {{{"watch", "1"}, 2, "--admin"}, {{"zone", "leave", "a", "--wait"}, 2, "--admin"}});
    CHECK(runner.json({"status"})["offset"] == offset);
    checkRows(
        runner,
        {{{"key", "grant", "north", "--wait", "--timeout-ms", "400", "--admin", "127.0.0.1:1"},
          3,
          "credential north-"}});
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
