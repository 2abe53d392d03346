#include "standins/execution_history.h"

#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <map>

namespace figlanding::standins {

namespace {

constexpr int fileMode = 0644;

using ExecutionPositions = std::map<std::pair<std::string, std::uint64_t>, std::size_t>;

auto readStart(const nlohmann::json &event) -> Execution
{
    return {.server = event.at("server"),
            .bootId = event.at("boot_id"),
            .sequence = event.at("sequence"),
            .requestId = event.at("request_id"),
            .idempotencyKey = event.at("idempotency_key"),
            .method = event.at("method"),
            .target = event.at("target"),
            .team = event.at("team"),
            .service = event.at("service"),
            .shard = event.at("shard"),
            .routingKey = event.at("routing_key"),
            .fence = event.at("fence"),
            .sawAuthorization = event.at("saw_authorization"),
            .startNs = event.at("at_ns"),
            .deadlineNs = event.at("deadline_ns")};
}

auto addEvent(Histories &histories, ExecutionPositions &positions, const nlohmann::json &event)
    -> void
{
    const auto type = event.at("event").get<std::string>();
    if (type == "violation") {
        histories.violations.push_back({.server = event.at("server"),
                                        .kind = event.at("kind"),
                                        .requestId = event.at("request_id"),
                                        .atNs = event.at("at_ns"),
                                        .detail = event.at("detail")});
        return;
    }
    const auto id = std::pair(event.at("boot_id").get<std::string>(),
                              event.at("sequence").get<std::uint64_t>());
    if (type == "start") {
        positions[id] = histories.executions.size();
        histories.executions.push_back(readStart(event));
        return;
    }
    auto &execution = histories.executions.at(positions.at(id));
    execution.endNs = event.at("at_ns");
    execution.outcome = event.at("outcome");
}

} // namespace

ExecutionHistory::ExecutionHistory(std::string server, std::string bootId)
    : m_server(std::move(server))
    , m_bootId(std::move(bootId))
{ }

auto ExecutionHistory::appendTo(const std::string &path) -> Result<void>
{
    m_file =
        FileDescriptor(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode));
    if (m_file.get() < 0) {
        return fail(ErrorCode::IoFailure, "cannot open \"" + path + "\" for appending");
    }
    return {};
}

auto ExecutionHistory::begin(Execution execution) -> std::uint64_t
{
    const auto sequence = m_nextSequence++;
    write({{"event", "start"},
           {"sequence", sequence},
           {"request_id", execution.requestId},
           {"idempotency_key", execution.idempotencyKey},
           {"method", execution.method},
           {"target", execution.target},
           {"team", execution.team},
           {"service", execution.service},
           {"shard", execution.shard},
           {"routing_key", execution.routingKey},
           {"fence", execution.fence},
           {"saw_authorization", execution.sawAuthorization},
           {"deadline_ns", execution.deadlineNs}});
    return sequence;
}

auto ExecutionHistory::end(std::uint64_t sequence, std::string_view outcome) -> void
{
    write({{"event", "end"}, {"sequence", sequence}, {"outcome", outcome}});
}

auto ExecutionHistory::addViolation(std::string_view kind, const std::string &requestId,
                                    std::string_view detail) -> void
{
    write({{"event", "violation"}, {"kind", kind}, {"request_id", requestId}, {"detail", detail}});
}

auto ExecutionHistory::text() const -> const std::string &
{
    return m_text;
}

auto ExecutionHistory::write(const nlohmann::json &event) -> void
{
    auto complete = event;
    complete["server"] = m_server;
    complete["boot_id"] = m_bootId;
    complete["at_ns"] = monotonicNs();
    constexpr auto compact = -1;
    const auto line =
        complete.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    m_text += line;
    if (m_file.get() >= 0) {
        // One write call per line, so that a killed process leaves only complete lines.
        static_cast<void>(!::write(m_file.get(), line.data(), line.size()));
    }
}

auto addHistory(Histories &histories, const std::string &text) -> Result<void>
{
    auto positions = ExecutionPositions{};
    auto begin = std::size_t{0};
    while (true) {
        const auto end = text.find('\n', begin);
        if (end == std::string::npos) {
            return {};
        }
        const auto line = text.substr(begin, end - begin);
        try {
            addEvent(histories, positions, nlohmann::json::parse(line));
        } catch (const std::exception &) {
            return fail(ErrorCode::ProtocolViolation, "not an execution history event: " + line);
        }
        begin = end + 1;
    }
}

} // namespace figlanding::standins
