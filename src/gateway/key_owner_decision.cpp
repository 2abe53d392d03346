#include "gateway/key_owner_decision.h"

#include "gateway/request_refusals.h"

namespace figlanding {

auto decideByKeyOwner(const ServerRegistry &registry, const ServerIncarnation &owner,
                      const ActiveRequest &active, milliseconds longestWaitForMove, TimePoint now)
    -> KeyOwnerDecision
{
    if (owner.server.empty()) {
        return AwaitOwner{};
    }
    switch (registry.ownerState(owner)) {
    case OwnerState::Usable:
    case OwnerState::Unknown:
        return AskOwner{};
    case OwnerState::Restarted:
        if (now - active.receivedAt < longestWaitForMove) {
            return AwaitOwner{};
        }
        return refusalWhileKeyMoves(active.verdict);
    case OwnerState::Leaving:
        return refusalWhileKeyMoves(active.verdict);
    case OwnerState::Gone:
        return refusalWithoutOwner(active.verdict,
                                   now - registry.goneSince(owner.server).value_or(now));
    }
    return AskOwner{};
}

} // namespace figlanding
