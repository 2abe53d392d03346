#include "io/metrics.h"

#include <doctest/doctest.h>

#include <sstream>
#include <vector>

using namespace figlanding;

TEST_CASE("the text format contains every metric with its labels")
{
    auto metrics = Metrics(VmId("vm-1"));
    metrics.countRequest({.route = RouteId("rooms"),
                          .verdict = Verdict::Ran,
                          .status = 200,
                          .elapsed = milliseconds(3)});
    metrics.countRequest({.verdict = Verdict::NotRun, .status = 404});
    metrics.countFilterDecision("limit", FilterOutcome::Refused);
    metrics.countRefusal(RefusalReason::RateLimited);
    metrics.countSlotMismatch("acquire");
    metrics.countResponse(BodyEnd::ConnectionEnd);
    metrics.countUnexpectedInput();
    metrics.countReplacedRead("configuration");
    metrics.countMissingRecords("servers");
    metrics.setUnservedKeys("lease", 12);
    metrics.countRetry("not-run");
    metrics.countRetry("not-run");
    metrics.countDispatch(BackendServerId("s1"), Verdict::MayHaveRun, milliseconds(20));
    metrics.setQueueLength(BackendServerId("s1"), 4);
    metrics.setRunning(BackendServerId("s1"), 2);
    metrics.setViewAge(milliseconds(250));
    metrics.setViewFresh(true);
    metrics.setLogOffset(17);
    metrics.setIsController(true);
    metrics.setPendingRequests(3);
    const auto text = metrics.text();
    const auto lines = std::vector<std::string>{
        R"(figlanding_requests_total{route="rooms",status="200",verdict="ran"} 1)",
        R"(figlanding_requests_total{route="none",status="404",verdict="not-run"} 1)",
        R"(figlanding_request_duration_seconds_bucket{route="rooms",le="0.0025"} 0)",
        R"(figlanding_request_duration_seconds_bucket{route="rooms",le="0.005"} 1)",
        R"(figlanding_filter_decisions_total{filter="limit",outcome="refused"} 1)",
        R"(figlanding_refusals_total{reason="rate-limited"} 1)",
        R"(figlanding_unserved_keys{wait="lease"} 12)",
        R"(figlanding_slot_mismatches_total{kind="acquire"} 1)",
        R"(figlanding_responses_total{body_end="connection-end"} 1)",
        "figlanding_unexpected_inputs_total 1",
        R"(figlanding_store_reads_replaced_total{topic="configuration"} 1)",
        R"(figlanding_records_missing_total{topic="servers"} 1)",
        R"(figlanding_retries_total{cause="not-run"} 2)",
        R"(figlanding_dispatches_total{server="s1",verdict="may-have-run"} 1)",
        R"(figlanding_server_queue_length{server="s1"} 4)",
        R"(figlanding_server_running_requests{server="s1"} 2)",
        R"(figlanding_vm_info{vm="vm-1"} 1)",
        "figlanding_view_age_seconds 0.25",
        "figlanding_view_fresh 1",
        "figlanding_log_offset 17",
        "figlanding_controller 1",
        "figlanding_pending_requests 3",
    };
    CAPTURE(text);
    for (const auto &line : lines) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("every metric has a HELP line, and counters end in _total")
{
    auto metrics = Metrics(VmId("vm-1"));
    metrics.countRetry("hedge");
    auto stream = std::istringstream(metrics.text());
    for (auto line = std::string(); std::getline(stream, line);) {
        if (line.starts_with("# TYPE ")) {
            const auto name = line.substr(7, line.find(' ', 7) - 7);
            CAPTURE(name);
            CHECK(metrics.text().find("# HELP " + name + " ") != std::string::npos);
            CHECK(name.starts_with("figlanding_"));
            CHECK(line.ends_with(" counter") == name.ends_with("_total"));
        }
    }
}
