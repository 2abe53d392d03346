#include "daemon/crash_message.h"

#include <nlohmann/json.hpp>

namespace figlanding {

auto encodeCrashReport(const CrashReport &report) -> std::string
{
    return nlohmann::json{
        {"server", report.server.value()}, {"boot_id", report.bootId}, {"digests", report.digests}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto decodeCrashReport(std::string_view text) -> Result<CrashReport>
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    const auto isString = [&body](const char *name) {
        return body.contains(name) && body[name].is_string();
    };
    if (!body.is_object() || !isString("server") || !isString("boot_id")
        || !body.contains("digests") || !body["digests"].is_array()) {
        return fail(ErrorCode::ProtocolViolation,
                    "a crash report lacks a valid server, boot_id or digests");
    }
    CrashReport report{.server = BackendServerId(body["server"].get<std::string>()),
                       .bootId = body["boot_id"].get<std::string>()};
    for (const auto &digest : body["digests"]) {
        if (!digest.is_string()) {
            return fail(ErrorCode::ProtocolViolation, "a digest of a crash report is not a string");
        }
        report.digests.push_back(digest.get<std::string>());
    }
    return report;
}

} // namespace figlanding
