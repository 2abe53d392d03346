#pragma once

#include "cli/cli.h"
#include "io/http_client.h"
#include "standins/log_standin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

/// @file
/// Runs commands of the command-line client against a log stand-in, both in this process.

namespace figlanding::testing {

/// Runs a log stand-in on its own event loop and thread.
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
    /// Returns how many appends the fault "hold_appends" holds.
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

/// Result of a command.
struct CliResult
{
    int code = 0;
    std::string out;
    std::string err;
};

/// Runs the command-line client in this process against a log.
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
        auto io = cli::CliIo{.out = out,
                             .err = err,
                             .environment =
                                 [this](const std::string &name) {
                                     return name == "FIGLANDING_LOG" ? m_log : std::string();
                                 },
                             .version = "test"};
        const auto code = cli::runCli(arguments, io);
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

/// A file that the destructor removes.
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

/// Two zones, two servers, one service, a route and a team.
inline const auto declarations = std::string(R"([
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

/// Applies the declarations; a failure aborts the test.
inline auto applyDeclarations(const CliRunner &runner) -> void
{
    const auto file = TemporaryFile(declarations);
    const auto result = runner.run({"apply", file.name()});
    CAPTURE(result.out);
    CAPTURE(result.err);
    REQUIRE(result.code == 0);
}

/// A command and what it must give.
struct CommandRow
{
    std::vector<std::string> arguments;
    int code;
    std::string output; ///< expected substring of the output or error output
};

/// Runs each command and checks its exit code and output.
inline auto checkRows(const CliRunner &runner, const std::vector<CommandRow> &rows) -> void
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

} // namespace figlanding::testing
