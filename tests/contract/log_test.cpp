// Included before doctest: both define CHECK, and doctest's definition has to take effect.
#include <glog/logging.h>

#include "io/log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace figlanding;

namespace {

// Runs a LogSession and collects its lines.
class Capture
{
public:
    explicit Capture(LogLevel level = LogLevel::Info)
        : m_session({.program = "test",
                     .vm = "vm-1",
                     .level = level,
                     .output = [this](std::string_view line) { m_lines.emplace_back(line); }})
    { }
    auto lines() const -> const std::vector<std::string> &
    {
        return m_lines;
    }
    auto json(std::size_t index) const -> nlohmann::json
    {
        return nlohmann::json::parse(m_lines.at(index));
    }

private:
    std::vector<std::string> m_lines;
    LogSession m_session;
};

} // namespace

TEST_CASE("an event is one JSON object with typed fields")
{
    const auto capture = Capture();
    logEvent(LogLevel::Info, "member-joined",
             {{"member", "vm-2"}, {"offset", 17UL}, {"share", 0.5}, {"fresh", true}, {"n", -3}});
    REQUIRE(capture.lines().size() == 1);
    const auto json = capture.json(0);
    CHECK(json["level"] == "info");
    CHECK(json["event"] == "member-joined");
    CHECK(json["vm"] == "vm-1");
    CHECK(json["member"] == "vm-2");
    CHECK(json["offset"] == 17);
    CHECK(json["share"] == 0.5);
    CHECK(json["fresh"] == true);
    CHECK(json["n"] == -3);
    CHECK(json["time"].get<std::string>().size() == std::string("2026-01-01T00:00:00.000Z").size());
}

TEST_CASE("control characters and invalid UTF-8 do not break the line format")
{
    const auto capture = Capture();
    logEvent(LogLevel::Error, "odd", {{"text", "a\nb\"\x01\xff"}});
    REQUIRE(capture.lines().size() == 1);
    CHECK(capture.lines()[0].find('\n') == std::string::npos);
    CHECK(capture.json(0)["level"] == "error");
}

TEST_CASE("events below the level of the session are dropped")
{
    const auto levels =
        std::vector<LogLevel>{LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error};
    for (std::size_t i = 0; i < levels.size(); ++i) {
        const auto capture = Capture(levels[i]);
        for (const auto level : levels) {
            logEvent(level, "event");
        }
        CHECK(capture.lines().size() == levels.size() - i);
    }
    logEvent(LogLevel::Error, "without-session");
}

TEST_CASE("glog messages of libraries are logged as events")
{
    const auto capture = Capture();
    LOG(WARNING) << "disk \"x\" is slow";
    REQUIRE(capture.lines().size() == 1);
    CHECK(capture.json(0)["event"] == "library-message");
    CHECK(capture.json(0)["level"] == "warning");
    CHECK(capture.json(0)["message"] == "disk \"x\" is slow");
}

TEST_CASE("credentials are redacted")
{
    const auto secret = std::string("s3cr3t-value");
    const auto capture = Capture(LogLevel::Debug);
    logEvent(LogLevel::Info, "a", {{"peer_secret", secret}});
    logEvent(LogLevel::Info, "b", {{"authorization", "Bearer team-1." + secret}});
    logEvent(LogLevel::Info, "c",
             {{"headers", "x: y\r\nAuthorization: Bearer k." + secret + "\r"}});
    logEvent(LogLevel::Info, "d", {{"detail", "Bearer " + secret + " Bearer " + secret}});
    LOG(ERROR) << "sent Authorization: Bearer k." << secret;
    REQUIRE(capture.lines().size() == 5);
    for (const auto &line : capture.lines()) {
        CAPTURE(line);
        CHECK(line.find(secret) == std::string::npos);
        CHECK(line.find("redacted") != std::string::npos);
    }
}
