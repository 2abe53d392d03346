#include "ownership_world.h"

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

auto viewOf(const ExplorerOptions &options, int incarnation, TimePoint now) -> ViewFreshness
{
    const auto trusted = !options.staleReads || options.faults.trustStaleReads;
    return ViewFreshness({.self = vmName(observed),
                          .incarnation = incarnationName(incarnation),
                          .startedAt = now,
                          .timing = timing(),
                          .logReadsAreFresh = trusted});
}

auto stateOf(const World &world, std::size_t vm) -> const ClusterState &
{
    return *world.history->states[world.vms[vm].folded];
}

auto joinOf(std::size_t vm, int incarnation) -> MemberChange
{
    auto join = MemberChange{.term = term, .join = true, .zone = AvailabilityZoneId("a")};
    join.vm = vmName(vm);
    join.incarnation = incarnationName(incarnation);
    return join;
}

// Returns whether the observed VM's view names the old owner as free to run requests.
auto viewNamesOldOwner(const World &world) -> bool
{
    const auto *assignment = locate(stateOf(world, observed), serviceName(), "k");
    return assignment != nullptr && !assignment->moving() && assignment->owner == oldOwner;
}

auto mayDispatch(const ExplorerOptions &options, const World &world) -> bool
{
    const auto allowed = options.faults.dispatchAsNonMember ? world.view.isFresh(world.now)
                                                            : world.view.mayDispatch(world.now);
    return allowed && viewNamesOldOwner(world);
}

auto updateProgress(World &world) -> void
{
    const auto &state = *world.history->states.back();
    world.progress.update(state, openMoves(state), world.reports, {}, world.now);
}

// The controller has always folded all that it appended.
auto receiveReport(const ExplorerOptions &options, World &world, std::size_t vm) -> void
{
    const auto &sender = world.vms[vm];
    const auto *last = world.reports.find(vmName(vm));
    if (last != nullptr && sender.incarnation == 0 && last->report.foldedOffset == sender.folded
        && last->report.drainedOffset == sender.drained
        && last->report.canConfirm == sender.hasReadLog) {
        return;
    }
    auto report = PeerReport{.vm = vmName(vm),
                             .incarnation = incarnationName(sender.incarnation),
                             .foldedOffset = sender.folded,
                             .drainedOffset = sender.drained,
                             .canConfirm = sender.hasReadLog};
    const auto &members = world.history->states.back()->members;
    const auto member = members.find(report.vm);
    if (options.faults.countOldIncarnation && member != members.end()) {
        report.incarnation = member->second.incarnation;
    }
    world.reports.onReport(std::move(report), world.now);
}

auto noteDrained(World &world, std::size_t vm) -> void
{
    auto &state = world.vms[vm];
    if (vm != observed || world.runsUntil <= world.now) {
        state.drained = state.folded;
    }
}

auto foldTo(World &world, std::size_t vm, LogOffset offset) -> void
{
    world.vms[vm].folded = std::max(world.vms[vm].folded, offset);
    noteDrained(world, vm);
    if (vm == observed) {
        world.view.onState(stateOf(world, vm));
    }
}

auto answerOf(const ExplorerOptions &options, const World &world, std::size_t peer) -> Confirmation
{
    const auto &vm = world.vms[peer];
    auto answer = Confirmation{.probeSentAt = world.now, .foldedOffset = vm.folded};
    answer.vm = vmName(peer);
    answer.incarnation = incarnationName(vm.incarnation);
    answer.canConfirm = vm.hasReadLog || options.faults.confirmWithoutRead;
    const auto &members = stateOf(world, observed).members;
    const auto member = members.find(answer.vm);
    if (options.faults.ignorePeerIncarnation && member != members.end()) {
        answer.incarnation = member->second.incarnation;
    }
    return answer;
}

auto readLog(World &world, std::size_t vm, LogOffset tail) -> void
{
    foldTo(world, vm, tail);
    world.vms[vm].hasReadLog = true;
    if (vm == observed) {
        world.view.onLogRead(world.now, tail);
    }
}

// Lets all happen at once that can only bring the two owners closer: reports of VMs that did not
// restart, reads that return nothing new, and confirmations that count.
auto settle(const ExplorerOptions &options, World &world) -> void
{
    for (std::size_t vm = 0; vm < world.vms.size(); ++vm) {
        auto &state = world.vms[vm];
        if (!state.isRunning) {
            continue;
        }
        noteDrained(world, vm);
        const auto mayRead = options.staleReads ? state.folded >= world.start
                                                : state.folded == world.history->tail();
        if (mayRead) {
            readLog(world, vm, state.folded);
        }
        if (state.incarnation == 0) {
            receiveReport(options, world, vm);
        }
    }
    for (std::size_t peer = 0; peer < world.vms.size(); ++peer) {
        const auto ahead = world.vms[peer].folded > world.vms[observed].folded;
        if (peer != observed && world.vms[peer].isRunning && !ahead) {
            world.view.onConfirmation(answerOf(options, world, peer));
        }
    }
    updateProgress(world);
}

auto append(World &world, const std::string &name, RecordPayload payload) -> void
{
    world.history = extend(world.history, name, std::move(payload));
    foldTo(world, 0, world.history->tail());
}

// Collects the states after the events of one world.
class Events
{
public:
    Events(const ExplorerOptions &options, const World &world, std::vector<Successor> &successors)
        : m_options(options)
        , m_world(world)
        , m_successors(successors)
    { }

    auto addAll() -> void
    {
        addTick();
        for (std::size_t vm = 1; vm < m_world.vms.size(); ++vm) {
            if (m_world.vms[vm].isRunning) {
                addReads(vm);
                addCopies(vm);
                addHeartbeat(vm);
                addRestart(vm);
            } else {
                add("start of " + vmName(vm).value(),
                    [&](World &world) { world.vms[vm].isRunning = true; });
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
        m_successors.push_back({.event = std::move(event), .world = m_world});
        change(m_successors.back().world);
        settle(m_options, m_successors.back().world);
    }

    auto addTick() -> void
    {
        add("time passes", [](World &world) { world.now += step; });
    }

    auto addReads(std::size_t vm) -> void
    {
        const auto tail = m_world.history->tail();
        const auto oldest = std::max(m_world.vms[vm].folded + 1, m_world.start);
        for (auto offset = m_options.staleReads ? oldest : std::max(oldest, tail); offset <= tail;
             ++offset) {
            add(vmName(vm).value() + " reads the log up to " + std::to_string(offset),
                [&](World &world) { readLog(world, vm, offset); });
        }
    }

    auto addCopies(std::size_t vm) -> void
    {
        for (std::size_t peer = 0; peer < m_world.vms.size(); ++peer) {
            const auto offset = m_world.vms[peer].folded;
            // A copy of the whole log equals a read, and stale reads reach every offset.
            const auto isRead = m_options.staleReads || offset == m_world.history->tail();
            if (!isRead && offset > m_world.vms[vm].folded) {
                add(vmName(vm).value() + " copies the view of " + vmName(peer).value(),
                    [&](World &world) { foldTo(world, vm, offset); });
            }
        }
    }

    auto addHeartbeat(std::size_t vm) -> void
    {
        if (m_world.vms[vm].incarnation != 0) {
            add("heartbeat of " + vmName(vm).value(),
                [&](World &world) { receiveReport(m_options, world, vm); });
        }
    }

    auto addRestart(std::size_t vm) -> void
    {
        if (m_world.restarts == m_options.restarts) {
            return;
        }
        add("restart of " + vmName(vm).value(), [&](World &world) {
            ++world.restarts;
            world.vms[vm] = Vm{.incarnation = world.vms[vm].incarnation + 1};
            if (vm == observed) {
                world.view = viewOf(m_options, world.vms[vm].incarnation, world.now);
                world.earlierRunsUntil = std::max(world.earlierRunsUntil, world.runsUntil);
                world.runsUntil = TimePoint{};
                if (m_options.faults.confirmWithoutRead) {
                    world.view.onLogRead(world.now, 0);
                }
            }
        });
    }

    auto addConfirmations() -> void
    {
        for (std::size_t peer = 0; peer < m_world.vms.size(); ++peer) {
            if (peer == observed || !m_world.vms[peer].isRunning) {
                continue;
            }
            const auto answer = answerOf(m_options, m_world, peer);
            const auto text = "answer of " + answer.vm.value() + " to the observed VM";
            if (answer.foldedOffset > m_world.vms[observed].folded) {
                add(text, [&](World &world) { world.view.onConfirmation(answer); });
            }
            if (m_options.lateAnswers && !m_world.late) {
                add("delayed " + text, [&](World &world) { world.late = answer; });
            }
        }
        if (m_world.late) {
            add("arrival of the delayed answer", [&](World &world) {
                world.view.onConfirmation(*world.late);
                world.late.reset();
            });
        }
    }

    auto addDispatch() -> void
    {
        if (mayDispatch(m_options, m_world)) {
            add("the observed VM dispatches to the old owner",
                [&](World &world) { world.runsUntil = world.now + timing().exclusiveDeadline; });
        }
    }

    auto addMove() -> void
    {
        if (m_world.begin == 0) {
            add("begin of the move", [&](World &world) {
                append(world, "begin",
                       BeginMoves{.term = term,
                                  .service = serviceName(),
                                  .moves = {Move{.shard = 0, .to = newOwner}}});
                world.begin = world.history->tail();
            });
            return;
        }
        const auto moves = openMoves(*m_world.history->states.back());
        if (!moves.empty() && m_world.progress.mayCommit(moves.front(), true, m_world.now)) {
            add("commit of the move", [&](World &world) {
                append(world, "commit",
                       CommitMoves{.term = term, .service = serviceName(), .begin = world.begin});
                world.committed = true;
            });
        }
    }

    auto addMemberChanges(std::size_t vm) -> void
    {
        const auto settled =
            m_options.faults.changeMembersAtOnce || m_world.progress.membersEffective(m_world.now);
        if (m_world.memberChanges == m_options.memberChanges || !settled) {
            return;
        }
        const auto &members = m_world.history->states.back()->members;
        const auto member = members.find(vmName(vm));
        const auto change = [&](const std::string &name, MemberChange payload) {
            add(name + " of " + vmName(vm).value(), [&](World &world) {
                ++world.memberChanges;
                append(world, name + std::to_string(vm) + payload.incarnation, payload);
            });
        };
        const auto *report = m_world.reports.find(vmName(vm));
        const auto incarnation = m_world.vms[vm].incarnation;
        const auto isHeard = report != nullptr && report->report.canConfirm
            && report->report.incarnation == incarnationName(incarnation);
        if (isHeard
            && (member == members.end()
                || member->second.incarnation != incarnationName(incarnation))) {
            change("join", joinOf(vm, incarnation));
        }
        if (member != members.end()) {
            change("removal", MemberChange{.term = term, .vm = vmName(vm), .join = false});
        }
    }

    const ExplorerOptions &m_options;
    const World &m_world;
    std::vector<Successor> &m_successors;
};

} // namespace

auto startWorld(const ExplorerOptions &options) -> World
{
    auto history = startHistory(options.members);
    const auto now = TimePoint{} + seconds(1);
    auto world = World{.history = history,
                       .start = history->tail(),
                       .now = now,
                       .view = viewOf(options, 0, now),
                       .progress = MoveProgress(controllerTiming(options.faults))};
    world.vms.assign(options.members,
                     Vm{.folded = history->tail(), .drained = history->tail(), .hasReadLog = true});
    world.vms.resize(options.members + options.joiners, Vm{.isRunning = false});
    world.view.onState(*history->states.back());
    settle(options, world);
    return world;
}

namespace {

// Returns whether the observed VM can never again act for the old owner.
auto isDecided(const ExplorerOptions &options, const World &world) -> bool
{
    const auto running = std::max(world.runsUntil, world.earlierRunsUntil) > world.now;
    if (world.begin == 0 || running || world.vms[observed].folded < world.begin) {
        return false;
    }
    return world.restarts == options.restarts
        || std::all_of(world.vms.begin(), world.vms.end(),
                       [&](const Vm &vm) { return vm.folded >= world.begin; });
}

} // namespace

auto addSuccessors(const ExplorerOptions &options, const World &world,
                   std::vector<Successor> &successors) -> void
{
    if (isDecided(options, world)) {
        return;
    }
    Events(options, world, successors).addAll();
}

auto hasTwoOwners(const ExplorerOptions &options, const World &world) -> bool
{
    const auto running = std::max(world.runsUntil, world.earlierRunsUntil) > world.now;
    return world.committed && (running || mayDispatch(options, world));
}

} // namespace figlanding::explorer
