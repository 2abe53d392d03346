#include "gateway/slot_end_of.h"

namespace figlanding {

auto slotEndOf(const HttpOutcome &outcome) -> SlotEnd
{
    if (outcome.verdict == Verdict::NotRun) {
        return SlotEnd::Unreachable;
    }
    return outcome.error.code == ErrorCode::Timeout ? SlotEnd::TimedOut : SlotEnd::Lost;
}

auto slotEndOf(ResponseKind kind) -> SlotEnd
{
    switch (kind) {
    case ResponseKind::Success:
        return SlotEnd::Served;
    case ResponseKind::Failure:
    case ResponseKind::Foreign:
        return SlotEnd::Failed;
    case ResponseKind::WrongServer:
        return SlotEnd::Misdirected;
    case ResponseKind::NotRun:
    // Its time is no sample of the service time, and a server that may shed load gets a short rest.
    case ResponseKind::Unproven:
        return SlotEnd::Declined;
    }
    return SlotEnd::Failed;
}

} // namespace figlanding
