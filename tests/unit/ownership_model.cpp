#include "ownership_model.h"

#include <algorithm>
#include <utility>

namespace figlanding::explorer {

namespace {

const auto oldOwner = BackendServerId("old");
const auto newOwner = BackendServerId("new");
constexpr Term term = 1;

auto controllerTiming(const Faults &faults) -> Timing
{
    auto result = timing();
    if (faults.commitWithoutWait) {
        result.viewLifetime = milliseconds::zero();
        result.exclusiveDeadline = milliseconds::zero();
        result.serverLease = milliseconds::zero();
    }
    return result;
}

auto makeView(const ExplorerOptions &options, int incarnation, TimePoint now) -> ViewFreshness
{
    const auto trusted = !options.staleReads || options.faults.trustStaleReads;
    return ViewFreshness({.self = vmName(observedVm),
                          .incarnation = incarnationName(incarnation),
                          .startedAt = now,
                          .timing = timing(),
                          .logReadsAreFresh = trusted});
}

auto appliedState(const FleetState &fleet, std::size_t vm) -> const ClusterState &
{
    return *fleet.history->states[fleet.vms[vm].applied];
}

auto joinChange(std::size_t vm, int incarnation) -> MemberChange
{
    auto join = MemberChange{.term = term, .join = true, .zone = AvailabilityZoneId("a")};
    join.vm = vmName(vm);
    join.incarnation = incarnationName(incarnation);
    return join;
}

// Returns whether, in the observed VM's view, the old owner owns the shard and no move is open.
auto viewNamesOldOwner(const FleetState &fleet) -> bool
{
    const auto *assignment = assignmentForKey(appliedState(fleet, observedVm), serviceName(), "k");
    return assignment != nullptr && !assignment->moving() && assignment->owner == oldOwner;
}

auto mayDispatch(const ExplorerOptions &options, const FleetState &fleet) -> bool
{
    const auto allowed = options.faults.dispatchAsNonMember ? fleet.view.isFresh(fleet.now)
                                                            : fleet.view.mayDispatch(fleet.now);
    return allowed && viewNamesOldOwner(fleet);
}

auto updateProgress(FleetState &fleet) -> void
{
    // The controller has always applied every record that it appended.
    const auto &state = *fleet.history->states.back();
    fleet.progress.update(state, openMoves(state), fleet.reports, {}, fleet.now);
}

// Delivers the heartbeat of a VM to the controller, unless it would repeat the last report.
auto receiveReport(const ExplorerOptions &options, FleetState &fleet, std::size_t vm) -> void
{
    const auto &sender = fleet.vms[vm];
    const auto *last = fleet.reports.find(vmName(vm));
    if (last != nullptr && sender.incarnation == 0 && last->report.appliedOffset == sender.applied
        && last->report.drainedOffset == sender.drained
        && last->report.canConfirm == sender.hasReadLog) {
        return;
    }
    auto report = PeerReport{.vm = vmName(vm),
                             .incarnation = incarnationName(sender.incarnation),
                             .appliedOffset = sender.applied,
                             .drainedOffset = sender.drained,
                             .canConfirm = sender.hasReadLog};
    const auto &members = fleet.history->states.back()->members;
    const auto member = members.find(report.vm);
    if (options.faults.countOldIncarnation && member != members.end()) {
        report.incarnation = member->second.incarnation;
    }
    fleet.reports.onReport(std::move(report), fleet.now);
}

auto updateDrained(FleetState &fleet, std::size_t vm) -> void
{
    auto &state = fleet.vms[vm];
    if (vm != observedVm || fleet.requestEndsAt <= fleet.now) {
        state.drained = state.applied;
    }
}

auto applyUpTo(FleetState &fleet, std::size_t vm, LogOffset offset) -> void
{
    fleet.vms[vm].applied = std::max(fleet.vms[vm].applied, offset);
    updateDrained(fleet, vm);
    if (vm == observedVm) {
        fleet.view.onState(appliedState(fleet, vm));
    }
}

auto makeConfirmation(const ExplorerOptions &options, const FleetState &fleet, std::size_t peer)
    -> Confirmation
{
    const auto &vm = fleet.vms[peer];
    auto answer = Confirmation{.probeSentAt = fleet.now, .appliedOffset = vm.applied};
    answer.vm = vmName(peer);
    answer.incarnation = incarnationName(vm.incarnation);
    answer.canConfirm = vm.hasReadLog || options.faults.confirmWithoutRead;
    const auto &members = appliedState(fleet, observedVm).members;
    const auto member = members.find(answer.vm);
    if (options.faults.ignorePeerIncarnation && member != members.end()) {
        answer.incarnation = member->second.incarnation;
    }
    return answer;
}

auto readLog(FleetState &fleet, std::size_t vm, LogOffset tail) -> void
{
    applyUpTo(fleet, vm, tail);
    fleet.vms[vm].hasReadLog = true;
    if (vm == observedVm) {
        fleet.view.onLogRead(fleet.now, tail);
    }
}

// Performs at once all events that can only make a violation more likely, which keeps them out of
// the interleavings: reports of VMs that have not restarted, reads that return nothing new, and
// confirmations that count.
auto applyPromptEvents(const ExplorerOptions &options, FleetState &fleet) -> void
{
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        auto &state = fleet.vms[vm];
        if (!state.isRunning) {
            continue;
        }
        updateDrained(fleet, vm);
        const auto mayRead = options.staleReads ? state.applied >= fleet.start
                                                : state.applied == fleet.history->tail();
        if (mayRead) {
            readLog(fleet, vm, state.applied);
        }
        if (state.incarnation == 0) {
            receiveReport(options, fleet, vm);
        }
    }
    for (std::size_t peer = 0; peer < fleet.vms.size(); ++peer) {
        const auto ahead = fleet.vms[peer].applied > fleet.vms[observedVm].applied;
        if (peer != observedVm && fleet.vms[peer].isRunning && !ahead) {
            fleet.view.onConfirmation(makeConfirmation(options, fleet, peer));
        }
    }
    updateProgress(fleet);
}

auto append(FleetState &fleet, const std::string &name, RecordPayload payload) -> void
{
    fleet.history = extend(fleet.history, name, std::move(payload));
    applyUpTo(fleet, 0, fleet.history->tail());
}

// Generates the successors of one state.
class SuccessorBuilder
{
public:
    SuccessorBuilder(const ExplorerOptions &options, const FleetState &fleet,
                     std::vector<Successor> &successors)
        : m_options(options)
        , m_fleet(fleet)
        , m_successors(successors)
    { }

    auto addAll() -> void
    {
        addTick();
        for (std::size_t vm = 1; vm < m_fleet.vms.size(); ++vm) {
            if (m_fleet.vms[vm].isRunning) {
                addReads(vm);
                addCopies(vm);
                addHeartbeat(vm);
                addRestart(vm);
            } else {
                add("start of " + vmName(vm).value(),
                    [&](FleetState &fleet) { fleet.vms[vm].isRunning = true; });
            }
            addMemberChanges(vm);
        }
        addConfirmations();
        addDispatch();
        addMove();
    }

private:
    template <typename Change>
    auto add(std::string event, Change change) -> void
    {
        m_successors.push_back({.event = std::move(event), .fleet = m_fleet});
        change(m_successors.back().fleet);
        applyPromptEvents(m_options, m_successors.back().fleet);
    }

    auto addTick() -> void
    {
        add("time passes", [](FleetState &fleet) { fleet.now += tickInterval; });
    }

    auto addReads(std::size_t vm) -> void
    {
        const auto tail = m_fleet.history->tail();
        const auto oldest = std::max(m_fleet.vms[vm].applied + 1, m_fleet.start);
        for (auto offset = m_options.staleReads ? oldest : std::max(oldest, tail); offset <= tail;
             ++offset) {
            add(vmName(vm).value() + " reads the log up to " + std::to_string(offset),
                [&](FleetState &fleet) { readLog(fleet, vm, offset); });
        }
    }

    auto addCopies(std::size_t vm) -> void
    {
        for (std::size_t peer = 0; peer < m_fleet.vms.size(); ++peer) {
            const auto offset = m_fleet.vms[peer].applied;
            // Skip copies that addReads() covers: a copy of the complete log is equivalent to a
            // read, and stale reads reach every offset.
            const auto isRead = m_options.staleReads || offset == m_fleet.history->tail();
            if (!isRead && offset > m_fleet.vms[vm].applied) {
                add(vmName(vm).value() + " copies the view of " + vmName(peer).value(),
                    [&](FleetState &fleet) { applyUpTo(fleet, vm, offset); });
            }
        }
    }

    auto addHeartbeat(std::size_t vm) -> void
    {
        if (m_fleet.vms[vm].incarnation != 0) {
            add("heartbeat of " + vmName(vm).value(),
                [&](FleetState &fleet) { receiveReport(m_options, fleet, vm); });
        }
    }

    auto addRestart(std::size_t vm) -> void
    {
        if (m_fleet.restarts == m_options.restarts) {
            return;
        }
        add("restart of " + vmName(vm).value(), [&](FleetState &fleet) {
            ++fleet.restarts;
            fleet.vms[vm] = Vm{.incarnation = fleet.vms[vm].incarnation + 1};
            if (vm == observedVm) {
                fleet.view = makeView(m_options, fleet.vms[vm].incarnation, fleet.now);
                fleet.earlierRequestEndsAt =
                    std::max(fleet.earlierRequestEndsAt, fleet.requestEndsAt);
                fleet.requestEndsAt = TimePoint{};
                if (m_options.faults.confirmWithoutRead) {
                    fleet.view.onLogRead(fleet.now, 0);
                }
            }
        });
    }

    auto addConfirmations() -> void
    {
        for (std::size_t peer = 0; peer < m_fleet.vms.size(); ++peer) {
            if (peer == observedVm || !m_fleet.vms[peer].isRunning) {
                continue;
            }
            const auto answer = makeConfirmation(m_options, m_fleet, peer);
            const auto text = "answer of " + answer.vm.value() + " to the observed VM";
            if (answer.appliedOffset > m_fleet.vms[observedVm].applied) {
                add(text, [&](FleetState &fleet) { fleet.view.onConfirmation(answer); });
            }
            if (m_options.delayAnswers && !m_fleet.delayedAnswer) {
                add("delayed " + text, [&](FleetState &fleet) { fleet.delayedAnswer = answer; });
            }
        }
        if (m_fleet.delayedAnswer) {
            add("arrival of the delayed answer", [&](FleetState &fleet) {
                fleet.view.onConfirmation(*fleet.delayedAnswer);
                fleet.delayedAnswer.reset();
            });
        }
    }

    auto addDispatch() -> void
    {
        if (mayDispatch(m_options, m_fleet)) {
            add("the observed VM dispatches to the old owner", [&](FleetState &fleet) {
                fleet.requestEndsAt = fleet.now + timing().exclusiveDeadline;
            });
        }
    }

    auto addMove() -> void
    {
        if (m_fleet.moveOffset == 0) {
            add("begin of the move", [&](FleetState &fleet) {
                append(fleet, "begin",
                       BeginMoves{.term = term,
                                  .service = serviceName(),
                                  .moves = {Move{.shard = 0, .to = newOwner}}});
                fleet.moveOffset = fleet.history->tail();
            });
            return;
        }
        const auto moves = openMoves(*m_fleet.history->states.back());
        if (!moves.empty() && m_fleet.progress.mayCommit(moves.front(), true, m_fleet.now)) {
            add("commit of the move", [&](FleetState &fleet) {
                append(
                    fleet, "commit",
                    CommitMoves{.term = term, .service = serviceName(), .begin = fleet.moveOffset});
                fleet.committed = true;
            });
        }
    }

    auto addMemberChanges(std::size_t vm) -> void
    {
        const auto settled =
            m_options.faults.changeMembersAtOnce || m_fleet.progress.membersEffective(m_fleet.now);
        if (m_fleet.memberChanges == m_options.memberChanges || !settled) {
            return;
        }
        const auto &members = m_fleet.history->states.back()->members;
        const auto member = members.find(vmName(vm));
        const auto change = [&](const std::string &name, MemberChange payload) {
            add(name + " of " + vmName(vm).value(), [&](FleetState &fleet) {
                ++fleet.memberChanges;
                append(fleet, name + std::to_string(vm) + payload.incarnation, payload);
            });
        };
        const auto *report = m_fleet.reports.find(vmName(vm));
        const auto incarnation = m_fleet.vms[vm].incarnation;
        const auto isHeard = report != nullptr && report->report.canConfirm
            && report->report.incarnation == incarnationName(incarnation);
        if (isHeard
            && (member == members.end()
                || member->second.incarnation != incarnationName(incarnation))) {
            change("join", joinChange(vm, incarnation));
        }
        if (member != members.end()) {
            change("removal", MemberChange{.term = term, .vm = vmName(vm), .join = false});
        }
    }

    const ExplorerOptions &m_options;
    const FleetState &m_fleet;
    std::vector<Successor> &m_successors;
};

} // namespace

auto initialFleet(const ExplorerOptions &options) -> FleetState
{
    auto history = startHistory(options.members);
    const auto now = TimePoint{} + seconds(1);
    auto fleet = FleetState{.history = history,
                            .start = history->tail(),
                            .now = now,
                            .view = makeView(options, 0, now),
                            .progress = MoveProgress(controllerTiming(options.faults))};
    fleet.vms.assign(
        options.members,
        Vm{.applied = history->tail(), .drained = history->tail(), .hasReadLog = true});
    fleet.vms.resize(options.members + options.joiners, Vm{.isRunning = false});
    fleet.view.onState(*history->states.back());
    applyPromptEvents(options, fleet);
    return fleet;
}

namespace {

// Returns whether the observed VM can never again dispatch to the old owner, so that the search can
// stop at this state.
auto cannotViolate(const ExplorerOptions &options, const FleetState &fleet) -> bool
{
    const auto running = std::max(fleet.requestEndsAt, fleet.earlierRequestEndsAt) > fleet.now;
    if (fleet.moveOffset == 0 || running || fleet.vms[observedVm].applied < fleet.moveOffset) {
        return false;
    }
    return fleet.restarts == options.restarts
        || std::all_of(fleet.vms.begin(), fleet.vms.end(),
                       [&](const Vm &vm) { return vm.applied >= fleet.moveOffset; });
}

} // namespace

auto addSuccessors(const ExplorerOptions &options, const FleetState &fleet,
                   std::vector<Successor> &successors) -> void
{
    if (cannotViolate(options, fleet)) {
        return;
    }
    SuccessorBuilder(options, fleet, successors).addAll();
}

auto hasTwoOwners(const ExplorerOptions &options, const FleetState &fleet) -> bool
{
    const auto running = std::max(fleet.requestEndsAt, fleet.earlierRequestEndsAt) > fleet.now;
    return fleet.committed && (running || mayDispatch(options, fleet));
}

} // namespace figlanding::explorer
