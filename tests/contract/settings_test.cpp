#include "io/settings.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

using namespace figlanding;

namespace {

const auto validText = std::string(R"({
    // A comment.
    "vm": {"name": "vm-1", "zone": "a"},
    "listen": {"callers": "0.0.0.0:8080", "peers": "10.0.0.1:7001", "admin": "127.0.0.1:9001"},
    "peers": ["10.0.0.2:7001", "[fd00::1]:7001"],
    "log": {"address": "10.0.0.9:7100", "reads_are_fresh": true, "poll_wait_ms": 100,
            "timeout_ms": 800},
    "vm_list": {"address": "10.0.0.9:7200", "poll_interval_ms": 500},
    "peer_secret": "00112233445566778899aabbccddeeff",
    "timing": {"view_lifetime_ms": 700},
    "limits": {"max_header_bytes": 8192, "max_body_bytes": 0, "max_connections": 10,
               "max_queue_per_server": 5},
    "logging": {"level": "warning"},
    "drain_timeout_ms": 1000
})");

auto replaced(const std::string &from, const std::string &to) -> std::string
{
    auto text = validText;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct FaultRow
{
    std::string from; ///< part of the valid text
    std::string to; ///< replacement
    std::vector<std::string> faults; ///< expected substring of each fault, in order
};

auto faultRows() -> std::vector<FaultRow>
{
    const auto secret = std::string("\"00112233445566778899aabbccddeeff\"");
    return {
        {R"("name": "vm-1", )", "", {"f.json: vm.name: expected a non-empty string"}},
        {R"("vm-1")", "7", {"f.json:3: vm.name: found 7; expected a non-empty string"}},
        {R"("vm-1")", R"("")", {"vm.name: found \"\""}},
        {R"({"name": "vm-1", "zone": "a"})", "3", {"f.json:3: vm: found 3; expected an object"}},
        {R"("drain_timeout_ms")",
         R"("drain_timeout")",
         {"drain_timeout: expected a supported key"}},
        {R"("zone": "a")", R"("zone": "a", "zone": "b")", {"f.json:3: vm.zone: expected each key"}},
        {R"("0.0.0.0:8080")", R"("0.0.0.0")", {"listen.callers: found \"0.0.0.0\""}},
        {R"("0.0.0.0:8080")", R"("0.0.0.0:0")", {"port above 0"}},
        {R"("0.0.0.0:8080")", R"("rooms:80")", {"listen.callers"}},
        {R"("10.0.0.1:7001")",
         R"("0.0.0.0:7001")",
         {
             "listen.peers",
         }},
        {R"("10.0.0.1:7001")", R"("0.0.0.0:8080")", {"listen.peers", "listen.peers"}},
        {R"("127.0.0.1:9001")", R"("10.0.0.1:7001")", {"listen.admin"}},
        {R"("10.0.0.2:7001")", "1", {"f.json:5: peers: found 1"}},
        {R"(["10.0.0.2:7001", "[fd00::1]:7001"])", "{}", {"peers: found {}; expected a list"}},
        {"\"reads_are_fresh\": true", "\"reads_are_fresh\": 1", {"log.reads_are_fresh: found 1"}},
        {"\"reads_are_fresh\": true, ", "", {"log.reads_are_fresh: expected true or false"}},
        {"\"poll_wait_ms\": 100", "\"poll_wait_ms\": 700", {"less than timing.view_lifetime_ms"}},
        {"\"poll_wait_ms\": 100", "\"poll_wait_ms\": -1", {"log.poll_wait_ms: found -1"}},
        {"\"timeout_ms\": 800", "\"timeout_ms\": 1.5", {"f.json:7: log.timeout_ms: found 1.5"}},
        {"\"timeout_ms\": 800", "\"timeout_ms\": \"800\"", {"log.timeout_ms: found \"800\""}},
        {"\"poll_interval_ms\": 500", "\"poll_interval_ms\": 1", {"from 10 to 60000"}},
        {secret, "\"0011\"", {"peer_secret: expected an even number of hexadecimal digits"}},
        {secret, "\"zz112233445566778899aabbccddeeff\"", {"peer_secret"}},
        {secret, "\"00112233445566778899aabbccddeeff0\"", {"peer_secret"}},
        {"\"peer_secret\": " + secret + ",", "", {"peer_secret"}},
        {"\"view_lifetime_ms\": 700", "\"view_lifetime_ms\": 150", {"timing: expected a usable"}},
        {"\"view_lifetime_ms\": 700", "\"view_lifetime_s\": 1", {"timing.view_lifetime_s"}},
        {"\"max_header_bytes\": 8192", "\"max_header_bytes\": 10", {"from 1024 to 1048576"}},
        {"\"max_connections\": 10", "\"max_connections\": 0", {"limits.max_connections"}},
        {"\"warning\"", "\"loud\"", {R"(one of "debug" "info" "warning" "error")"}},
        {"\"logging\": {", "\"logging\": [", {"JSON with comments"}},
        {R"("vm-1", "zone": "a")", R"(7, "zone": 8)", {"vm.name: found 7", "vm.zone: found 8"}},
    };
}

} // namespace

TEST_CASE("valid settings are parsed")
{
    const auto outcome = parseDaemonSettings(validText, "f.json");
    for (const auto &fault : outcome.faults) {
        MESSAGE(fault);
    }
    REQUIRE(outcome.settings);
    const auto &settings = *outcome.settings;
    CHECK(settings.vm == VmId("vm-1"));
    CHECK(settings.listen.callers == SocketAddress{.ip = "0.0.0.0", .port = 8080});
    CHECK(settings.seedPeers.size() == 2);
    CHECK(settings.log.readsAreFresh);
    CHECK(settings.log.timeout == milliseconds(800));
    CHECK(settings.vmList.pollInterval == milliseconds(500));
    CHECK(settings.timing.viewLifetime == milliseconds(700));
    CHECK(settings.timing.heartbeatInterval == Timing{}.heartbeatInterval);
    CHECK(settings.limits.maxBodyBytes == 0);
    CHECK(settings.logLevel == LogLevel::Warning);
    CHECK(settings.drainTimeout == milliseconds(1000));
}

TEST_CASE("all faults of a document are reported, each with its key and line")
{
    for (const auto &row : faultRows()) {
        CAPTURE(row.to);
        const auto outcome = parseDaemonSettings(replaced(row.from, row.to), "f.json");
        CHECK_FALSE(outcome.settings);
        REQUIRE(outcome.faults.size() == row.faults.size());
        for (std::size_t i = 0; i < row.faults.size(); ++i) {
            CAPTURE(outcome.faults[i]);
            CHECK(outcome.faults[i].find(row.faults[i]) != std::string::npos);
        }
    }
}

TEST_CASE("the values of an invalid secret and of an unknown key are not shown")
{
    const auto value = std::string("00112233445566778899aabbccddeefg");
    const auto rows = std::vector<std::string>{
        replaced("00112233445566778899aabbccddeeff", value),
        replaced("\"peer_secret\": \"00112233445566778899aabbccddeeff\"",
                 "\"peer_secrets\": \"" + value + "\""),
    };
    for (const auto &text : rows) {
        for (const auto &fault : parseDaemonSettings(text, "f.json").faults) {
            CHECK(fault.find(value) == std::string::npos);
        }
    }
}

TEST_CASE("documents that are not an object and files that cannot be read are faults")
{
    for (const auto *text : {"", "[]", "3", "{", "{\"vm\": }", "\xff"}) {
        CAPTURE(text);
        CHECK_FALSE(parseDaemonSettings(text, "f.json").faults.empty());
    }
    const auto outcome = loadDaemonSettings("/nonexistent/f.json");
    REQUIRE(outcome.faults.size() == 1);
    CHECK(outcome.faults[0].find("/nonexistent/f.json") != std::string::npos);
}
