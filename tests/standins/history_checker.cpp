#include "standins/history_checker.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>

namespace figlanding::standins {

namespace {

using Executions = std::vector<const Execution *>;

/// Counts violations and lists the first ones of each kind.
class ViolationCollector
{
public:
    ViolationCollector(CheckReport &report, const CheckOptions &options)
        : m_report(report)
        , m_options(options)
    { }

    auto add(ViolationKind kind, std::string detail) -> void
    {
        if (++m_report.counts[kind] <= m_options.maxListedPerKind) {
            m_report.violations.push_back({.kind = kind, .detail = std::move(detail)});
        }
    }

private:
    CheckReport &m_report;
    const CheckOptions &m_options;
};

auto isIdempotent(const std::string &method) -> bool
{
    static const auto methods = std::set<std::string>{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    return methods.count(method) > 0;
}

auto describe(const Execution &execution) -> std::string
{
    return execution.method + " " + execution.target + " (request " + execution.requestId
        + ", shard " + execution.service + "/" + execution.shard + ", fence "
        + std::to_string(execution.fence) + ") on " + execution.server + " from "
        + std::to_string(execution.startNs) + " to " + std::to_string(execution.endNs);
}

/// Returns the latest time at which an execution may have had an effect.
auto effectiveEndNs(const Execution &execution) -> std::int64_t
{
    if (execution.endNs == 0) {
        return execution.startNs;
    }
    const auto stoppedEarly = execution.outcome == "deadline" || execution.outcome == "fenced";
    return stoppedEarly && execution.deadlineNs != 0
        ? std::min(execution.endNs, execution.deadlineNs)
        : execution.endNs;
}

/// Checks that executions of one shard, ordered by start, don't overlap across servers and that
/// the fence rises whenever the server changes.
auto checkShardOwnership(const Executions &ordered, ViolationCollector &collector) -> void
{
    const Execution *latest = nullptr; // has the latest end so far
    const Execution *newest = nullptr; // has the newest fence so far
    for (const auto *execution : ordered) {
        if (latest != nullptr && latest->server != execution->server
            && execution->startNs < effectiveEndNs(*latest)) {
            collector.add(ViolationKind::TwoOwners,
                          describe(*execution) + " overlaps " + describe(*latest));
        }
        if (newest != nullptr && newest->server != execution->server
            && execution->fence <= newest->fence) {
            collector.add(ViolationKind::StaleFence,
                          describe(*execution) + " follows " + describe(*newest));
        }
        if (latest == nullptr || effectiveEndNs(*execution) >= effectiveEndNs(*latest)) {
            latest = execution;
        }
        if (newest == nullptr || execution->fence >= newest->fence) {
            newest = execution;
        }
    }
}

auto checkOwnership(const Histories &histories, ViolationCollector &collector) -> void
{
    auto shards = std::map<std::pair<std::string, std::string>, Executions>{};
    for (const auto &execution : histories.executions) {
        if (!execution.shard.empty()) {
            shards[{execution.service, execution.shard}].push_back(&execution);
        }
    }
    for (auto &[shard, executions] : shards) {
        std::sort(executions.begin(), executions.end(), [](const auto *left, const auto *right) {
            return left->startNs < right->startNs;
        });
        checkShardOwnership(executions, collector);
    }
}

/// Returns what identifies repetitions of one operation: team, idempotency key and target, or the
/// request ID if the caller sent no key.
auto operationIdOf(const Execution &execution) -> std::tuple<std::string, std::string, std::string>
{
    if (!execution.idempotencyKey.empty()) {
        return {execution.team, execution.idempotencyKey, execution.target};
    }
    return {"", execution.requestId, ""};
}

auto checkAtMostOnce(const Histories &histories, ViolationCollector &collector) -> void
{
    auto first = std::map<std::tuple<std::string, std::string, std::string>, const Execution *>{};
    for (const auto &execution : histories.executions) {
        if (isIdempotent(execution.method)) {
            continue;
        }
        const auto [position, isFirst] = first.emplace(operationIdOf(execution), &execution);
        if (!isFirst) {
            collector.add(ViolationKind::RanTwice,
                          describe(execution) + " after " + describe(*position->second));
        }
    }
}

auto checkServers(const Histories &histories, ViolationCollector &collector) -> void
{
    for (const auto &execution : histories.executions) {
        if (execution.sawAuthorization) {
            collector.add(ViolationKind::SawCredential, describe(execution));
        }
    }
    for (const auto &violation : histories.violations) {
        collector.add(ViolationKind::ServerOverload,
                      violation.kind + " on " + violation.server + " by request "
                          + violation.requestId + " at " + std::to_string(violation.atNs)
                          + (violation.detail.empty() ? "" : ": " + violation.detail));
    }
}

auto checkResponse(const CallerRecord &record, ViolationCollector &collector) -> void
{
    if (record.verdict != Verdict::Ran || record.echoedRequestId.empty()) {
        return;
    }
    if (record.echoedRequestId != record.requestId || record.echoedTarget != record.target) {
        collector.add(ViolationKind::WrongResponse,
                      record.target + " (request " + record.requestId + ") got the response to "
                          + record.echoedTarget + " (request " + record.echoedRequestId + ")");
    }
}

auto checkCaller(const CallerRecord &record, const Executions &executions,
                 ViolationCollector &collector) -> void
{
    const auto name = record.method + " " + record.target + " (request " + record.requestId + ")";
    if (record.verdict == Verdict::Ran && executions.empty()) {
        collector.add(ViolationKind::LostAcknowledged, name);
    }
    if (record.verdict == Verdict::NotRun && !executions.empty()) {
        collector.add(ViolationKind::FalseNotRun, name + ": " + describe(*executions.front()));
    }
    for (const auto *execution : executions) {
        if (execution->team != record.team) {
            collector.add(ViolationKind::WrongTeam,
                          name + " of team \"" + record.team + "\" ran for team \""
                              + execution->team + "\"");
        }
    }
}

auto checkCallers(const Histories &histories, const std::vector<CallerRecord> &callers,
                  ViolationCollector &collector) -> void
{
    auto byRequest = std::unordered_map<std::string, Executions>{};
    for (const auto &execution : histories.executions) {
        byRequest[execution.requestId].push_back(&execution);
    }
    for (const auto &record : callers) {
        checkResponse(record, collector);
        if (record.requestId.empty()) {
            continue;
        }
        const auto found = byRequest.find(record.requestId);
        checkCaller(record, found == byRequest.end() ? Executions{} : found->second, collector);
    }
}

} // namespace

auto toText(ViolationKind kind) -> std::string_view
{
    switch (kind) {
    case ViolationKind::TwoOwners:
        return "two-owners";
    case ViolationKind::StaleFence:
        return "stale-fence";
    case ViolationKind::RanTwice:
        return "ran-twice";
    case ViolationKind::LostAcknowledged:
        return "lost-acknowledged";
    case ViolationKind::WrongTeam:
        return "wrong-team";
    case ViolationKind::SawCredential:
        return "saw-credential";
    case ViolationKind::FalseNotRun:
        return "false-not-run";
    case ViolationKind::ServerOverload:
        return "server-overload";
    case ViolationKind::WrongResponse:
        return "wrong-answer";
    }
    return "unknown";
}

auto checkHistories(const Histories &histories, const std::vector<CallerRecord> &callers,
                    CheckOptions options) -> CheckReport
{
    auto report =
        CheckReport{.executions = histories.executions.size(), .callerRecords = callers.size()};
    auto collector = ViolationCollector(report, options);
    checkOwnership(histories, collector);
    checkAtMostOnce(histories, collector);
    checkServers(histories, collector);
    checkCallers(histories, callers, collector);
    return report;
}

} // namespace figlanding::standins
