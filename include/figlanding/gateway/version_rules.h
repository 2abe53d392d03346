#pragma once

#include "figlanding/gateway/rollout.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// @file
/// What a roll-out's record means for one VM: which servers may get requests and keys, and to which
/// pool of servers a request goes.
///
/// A pool is the set of servers among which a request chooses. A service without a roll-out has one
/// pool, which has the service's name. The servers of a new version form a pool of their own, and
/// the few that are on trial another one, so that each request on trial finds a server of it.

namespace figlanding {

struct ServerEntry;

/// The rule of one service that has or had a roll-out.
struct VersionRule
{
    ServiceId basePool; ///< pool of the versions in force before the roll-out
    ServerVersion version; ///< to which the traffic moves; empty if there was no roll-out yet
    std::uint64_t revision = 0; ///< of the record; zero if there is none
    RolloutPhase phase = RolloutPhase::Trial;
    double share = 0.0; ///< fraction of the requests for the new version
    std::set<BackendServerId> trialServers;
    std::set<ServerVersion> withheld; ///< versions whose servers get nothing
    bool keyed = false; ///< requests go to the owner of their key, whatever its version

    auto operator==(const VersionRule &) const -> bool = default;
};

/// Rules by service. A service without an entry has one pool of all its servers.
using VersionRules = std::map<ServiceId, VersionRule>;

/// Returns the name of the pool of a version's servers; of the service's first pool if @p version
/// is empty.
[[nodiscard]] auto poolOf(const ServiceId &service, const ServerVersion &version) -> ServiceId;
/// Returns the rule that a record asks for.
[[nodiscard]] auto ruleOf(const RolloutRecord &record) -> VersionRule;

/// Returns the pools that a server belongs to. During the trial a server of the new version belongs
/// to that version's pool already, though it accepts nothing: its group must not change later.
[[nodiscard]] auto poolsOf(const VersionRules &rules, const ServerEntry &server)
    -> std::vector<ServiceId>;
/// Returns whether a server's version lets it run requests.
[[nodiscard]] auto allowsRequests(const VersionRules &rules, const ServerEntry &server) -> bool;
/// Returns whether a server's version lets it own keys. Servers of the old version lose theirs one
/// after the other while the share rises.
[[nodiscard]] auto allowsKeys(const VersionRules &rules, const ServerEntry &server) -> bool;

/// Returns the pool for a request.
/// @param failedOnTrial an earlier attempt went to a server of the new version
/// @param random uniform in [0, 1)
[[nodiscard]] auto choosePool(const VersionRules &rules, const ServiceId &service,
                              bool failedOnTrial, double random) -> ServiceId;
/// Returns whether a VM that sees only failures of the new version may stop sending to it by
/// itself. Not where the version's servers own keys that have moved: their requests have no other
/// servers.
[[nodiscard]] auto mayStopAlone(const VersionRule &rule) -> bool;
/// Returns the pool that may run a request for which @p pool has no room: no request is refused
/// because of a trial. Empty if there is none.
[[nodiscard]] auto fallbackPool(const VersionRules &rules, const ServiceId &service,
                                const ServiceId &pool) -> std::optional<ServiceId>;

/// Returns whether a request may go on to wait at a pool. If not, the pool's servers get nothing
/// more.
[[nodiscard]] auto mayWaitAt(const VersionRules &rules, const ServiceId &service,
                             const ServiceId &pool) -> bool;

} // namespace figlanding
