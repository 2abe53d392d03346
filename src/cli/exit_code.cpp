#include "cli/exit_code.h"

namespace figlanding::cli {

auto exitCodeOf(const Error &error) -> ExitCode
{
    switch (error.code) {
    case ErrorCode::LogUnavailable:
    case ErrorCode::ConnectionFailed:
    case ErrorCode::Timeout:
    case ErrorCode::ProtocolViolation:
    case ErrorCode::SnapshotIncomplete:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Refused;
    }
}

} // namespace figlanding::cli
