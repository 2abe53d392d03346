#include "figlanding/error.h"

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

struct CodeMessage
{
    ErrorCode code;
    std::string_view text;
};

constexpr auto codeMessages = std::to_array<CodeMessage>({
    {ErrorCode::InvalidSyntax, "invalid syntax"},
    {ErrorCode::InvalidValue, "invalid value"},
    {ErrorCode::UnknownField, "unknown field"},
    {ErrorCode::MissingField, "missing field"},
    {ErrorCode::UnknownObject, "unknown object"},
    {ErrorCode::DuplicateObject, "object already exists"},
    {ErrorCode::ObjectInUse, "object is in use"},
    {ErrorCode::VersionConflict, "version conflict"},
    {ErrorCode::StaleTerm, "stale controller term"},
    {ErrorCode::InvalidTransition, "invalid transition"},
    {ErrorCode::DuplicateRecord, "duplicate record"},
    {ErrorCode::ChecksumMismatch, "checksum mismatch"},
    {ErrorCode::SnapshotIncomplete, "snapshot is incomplete"},
    {ErrorCode::OffsetGap, "gap in log offsets"},
    {ErrorCode::LogUnavailable, "log service is unavailable"},
    {ErrorCode::ProtocolViolation, "protocol violation"},
    {ErrorCode::AuthenticationFailed, "authentication failed"},
    {ErrorCode::ConnectionFailed, "connection failed"},
    {ErrorCode::Timeout, "timed out"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::LimitExceeded, "limit exceeded"},
    {ErrorCode::NotFound, "not found"},
    {ErrorCode::IoFailure, "input or output failed"},
    {ErrorCode::Internal, "internal error"},
});

} // namespace

auto message(ErrorCode code) -> std::string_view
{
    const auto found = std::find_if(codeMessages.begin(), codeMessages.end(),
                                    [code](const CodeMessage &row) { return row.code == code; });
    return found == codeMessages.end() ? "unknown error" : found->text;
}

auto describe(const Error &error) -> std::string
{
    auto text = std::string(message(error.code));
    if (!error.detail.empty()) {
        text += ": " + error.detail;
    }
    return text;
}

auto fail(ErrorCode code, std::string detail) -> boost::leaf::error_id
{
    return boost::leaf::new_error(Error{.code = code, .detail = std::move(detail)});
}

} // namespace figlanding
