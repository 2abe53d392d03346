#pragma once

#include "figlanding/gateway/rollout.h"
#include "figlanding/gateway/rollout_judge.h"
#include "figlanding/gateway/server_registry.h"
#include "figlanding/gateway/version_evidence.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// Carries out the roll-outs of one service. Only the VM that holds the key controller's claim
/// acts: it appends a record for each step, on the condition that it has read all earlier ones.
///
/// A roll-out goes through these steps; what a new controller needs stands in the record:
///
/// 1. Trial without a share, until servers of the new version are warm.
/// 2. Trial with a share. A few servers get it, so many that each has about the load of a server in
///    force: a fault that shows under load only shows here. It lasts two thirds of the time,
///    because a version may turn bad late.
/// 3. Shift: the share rises in steps to all requests. Evidence still counts.
/// 4. Completed, once no VM has a request at the servers that the version replaces. They may stop
///    the moment the operator is told.
///
/// A version that is bad, or cannot be judged in time, is rolled back. Evidence is kept in memory
/// only: a new controller begins to collect it anew.

namespace figlanding {

/// Settings of RolloutController.
struct RolloutControllerOptions
{
    double maxShare = 0.1; ///< allowed share of a version on trial; zero: no roll-outs
    double shareMargin = 0.8; ///< part of the allowed share that is used
    std::size_t maxTrialServers = 24; ///< they form one group
    double minTrialFraction = 0.66; ///< part of the order's time before a version is good
    /// Part of the order's time, and time at least, that is left for the shift.
    double shiftFraction = 0.33;
    milliseconds minShiftTime{4500};
    /// Time before the deadline from which no shift begins.
    milliseconds lastShiftStart{2500};
    milliseconds stepInterval{600}; ///< between two steps of the share
    std::vector<double> shiftShares{0.25, 0.5, 1.0};
    /// Time before the deadline from which requests at the replaced servers are not awaited.
    milliseconds completionMargin{1200};
    /// The new servers need this part of the slots of those in force.
    double minCapacity = 0.6;
    RolloutJudgeOptions judge;

    auto operator==(const RolloutControllerOptions &) const -> bool = default;
};

/// A process of a VM. What was heard of a VM's earlier process says nothing of its present one.
struct VmProcess
{
    VmId vm;
    std::string incarnation;

    auto operator<=>(const VmProcess &) const = default;
};

/// What a controller knows at the time of a step.
struct RolloutInputs
{
    const RolloutOrder *order = nullptr; ///< newest order of the service; null if none was read
    const RolloutRecord *record = nullptr; ///< newest record of the service; null if there is none
    const ServerRegistry &registry;
    Duration sinceOrder{}; ///< time since the order
    std::int64_t unixMs = 0; ///< time of day, for the record of a new roll-out
    bool keyed = false; ///< the service's servers own keys
    /// For a keyed service: servers that own keys.
    std::set<BackendServerId> keyOwners = {};
    std::set<VmProcess> liveVms = {}; ///< all that may send requests
    bool serversKnown = true; ///< the registry was read; before that no step is due
};

/// Decides the next record of one service's roll-out.
class RolloutController
{
public:
    RolloutController(ServiceId service, const RolloutControllerOptions &options);

    /// Adds a VM's report. Reports on other records than the newest are ignored.
    auto onReport(const VmProcess &from, const RolloutReport &report, TimePoint now) -> void;
    /// Returns the record to append, or nothing if none is due. The same record is returned again
    /// until the inputs contain it.
    [[nodiscard]] auto step(const RolloutInputs &inputs, TimePoint now)
        -> std::optional<RolloutRecord>;
    /// Returns the present judgement, for the log.
    [[nodiscard]] auto judgement() const -> const Judgement &
    {
        return m_judgement;
    }

private:
    // Servers of the two versions that could get requests.
    struct Candidates
    {
        std::vector<const RegisteredServer *> inForce;
        std::vector<const RegisteredServer *> fresh; ///< of the new version, warm
    };
    // The latest report of a process.
    struct VmProgress
    {
        std::uint64_t revision = 0;
        std::uint32_t pendingAtOld = 0;

        auto operator==(const VmProgress &) const -> bool = default;
    };

    [[nodiscard]] auto begin(const RolloutInputs &inputs) const -> RolloutRecord;
    [[nodiscard]] auto stepTrial(const RolloutInputs &inputs, TimePoint now)
        -> std::optional<RolloutRecord>;
    [[nodiscard]] auto stepShift(const RolloutInputs &inputs, TimePoint now)
        -> std::optional<RolloutRecord>;
    [[nodiscard]] auto nextTrialServers(const RolloutRecord &record, const Candidates &servers,
                                        const RolloutInputs &inputs)
        -> std::vector<BackendServerId>;
    [[nodiscard]] auto trialShare(std::size_t trialServers, std::size_t inForce) const -> double;
    [[nodiscard]] auto trialServerLimit(std::size_t inForce, bool keyed) const -> std::size_t;
    [[nodiscard]] auto findCandidates(const RolloutInputs &inputs, TimePoint now) const
        -> Candidates;
    [[nodiscard]] auto hasCapacity(const Candidates &servers) const -> bool;
    [[nodiscard]] auto nothingAtOld(const RolloutInputs &inputs) const -> bool;
    [[nodiscard]] auto completed(const RolloutRecord &record, const RolloutInputs &inputs,
                                 std::string reason) const -> RolloutRecord;
    [[nodiscard]] auto isKnown(const RolloutRecord &record, const RegisteredServer &server) const
        -> bool;
    auto follow(const RolloutInputs &inputs, TimePoint now) -> void;

    ServiceId m_service;
    RolloutControllerOptions m_options;
    RolloutJudge m_judge;
    Judgement m_judgement;
    std::set<BackendServerId> m_suspects; ///< servers that were taken off the trial
    /// Orders of the roll-out that the evidence belongs to: a repeated one is a further order.
    std::set<LogOffset> m_orders;
    std::optional<RolloutRecord> m_followed; ///< newest record that was seen
    bool m_began = false; ///< a step was asked for
    /// Set for a controller that takes over a running roll-out: servers that were announced by then
    /// count as settled, since its view does not tell how long they have been there.
    std::optional<TimePoint> m_tookOverAt;
    TimePoint m_followedSince;
    std::map<VmProcess, VmProgress> m_progress;
};

} // namespace figlanding
