#include "gateway/unserved_log.h"
#include "io/log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace figlanding;

TEST_CASE("keys that stay without an owner are logged with what they wait for, moves only counted")
{
    auto lines = std::vector<std::string>{};
    const auto session =
        LogSession({.program = "test", .vm = "vm-1", .output = [&](std::string_view line) {
                        lines.emplace_back(line);
                    }});
    auto metrics = Metrics(VmId("vm-1"));
    auto log = UnservedLog(metrics);
    const auto now = TimePoint{} + seconds(100);
    const auto range = [&](ShardKey from, OwnerWait wait, Duration age) {
        return UnservedRange{.service = ServiceId("rooms"),
                             .keys = {from, from + 9},
                             .owner = BackendServerId("s"),
                             .waitsFor = wait,
                             .since = now - age};
    };
    REQUIRE(log.isDue(now));
    log.report({range(0, OwnerWait::Lease, seconds(4)), range(100, OwnerWait::Lease, seconds(7)),
                range(200, OwnerWait::Record, milliseconds(20))},
               now);
    CHECK_FALSE(log.isDue(now + milliseconds(900)));
    REQUIRE(lines.size() == 1);
    const auto line = nlohmann::json::parse(lines.front());
    CHECK(line["event"] == "keys-without-owner");
    CHECK(line["wait"] == "lease");
    CHECK(line["ranges"] == 2);
    CHECK(line["keys"] == 20);
    CHECK(line["longest_ms"] == 7000);
    CHECK(line["from"] == 100);
    CHECK(metrics.text().find("figlanding_unserved_keys{wait=\"lease\"} 20") != std::string::npos);
    CHECK(metrics.text().find("figlanding_unserved_keys{wait=\"record\"} 10") != std::string::npos);
    log.report({}, now + seconds(1));
    CHECK(metrics.text().find("figlanding_unserved_keys{wait=\"lease\"} 0") != std::string::npos);
}
