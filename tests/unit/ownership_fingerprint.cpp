#include "ownership_model.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace figlanding::explorer {

namespace {

// Encodes small numbers as one character each.
class FingerprintBuilder
{
public:
    // Encodes a VM or incarnation name by its last character, which is its number.
    auto name(const std::string &name) -> FingerprintBuilder &
    {
        return number(name.empty() ? 0 : static_cast<std::uint64_t>(name.back()));
    }

    auto number(std::uint64_t value) -> FingerprintBuilder &
    {
        m_text.push_back(static_cast<char>(value + 1));
        return *this;
    }

    // Encodes the time since @p time in ticks. No wait is longer than `longest` ticks, so greater
    // ages are equivalent.
    auto age(std::optional<TimePoint> time, TimePoint now) -> FingerprintBuilder &
    {
        constexpr std::uint64_t never = 9;
        constexpr std::int64_t longest = 3;
        if (!time) {
            return number(never);
        }
        return number(static_cast<std::uint64_t>(std::min((now - *time) / tickInterval, longest)));
    }

    auto remaining(TimePoint time, TimePoint now) -> FingerprintBuilder &
    {
        return number(time > now ? static_cast<std::uint64_t>((time - now) / tickInterval) : 0);
    }

    auto text() -> std::string
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

// Adds the confirmations that the observed VM has received from a peer.
auto addPeer(FingerprintBuilder &builder, const FleetState &fleet, std::size_t vm) -> void
{
    const auto lifetime = timing().viewLifetime;
    const auto found = fleet.view.peers().find(vmName(vm));
    const auto known = found != fleet.view.peers().end();
    const auto peer = known ? found->second : PeerConfirmation{};
    const auto confirmed = peer.confirmedAt && fleet.now - *peer.confirmedAt < lifetime;
    const auto pending = peer.pendingSentAt && fleet.now - *peer.pendingSentAt < lifetime;
    builder.name(confirmed || pending ? peer.incarnation : std::string{});
    builder.age(confirmed ? peer.confirmedAt : std::nullopt, fleet.now);
    builder.number(confirmed ? peer.confirmedOffset : 0);
    builder.age(pending ? peer.pendingSentAt : std::nullopt, fleet.now);
    builder.number(pending ? peer.pendingOffset : 0);
}

auto vmFingerprint(const FleetState &fleet, std::size_t index) -> std::string
{
    auto builder = FingerprintBuilder{};
    const auto &vm = fleet.vms[index];
    builder.number(static_cast<std::uint64_t>(vm.incarnation)).number(vm.applied);
    builder.number(vm.drained).number(vm.hasReadLog ? 1 : 0).number(vm.isRunning ? 1 : 0);
    const auto *entry = fleet.reports.find(vmName(index));
    const auto report = entry == nullptr ? PeerReport{} : entry->report;
    builder.name(report.incarnation).number(report.appliedOffset).number(report.drainedOffset);
    builder.number(report.canConfirm ? 1 : 0);
    addPeer(builder, fleet, index);
    const auto isDelayed = fleet.delayedAnswer && fleet.delayedAnswer->vm == vmName(index);
    builder.age(isDelayed ? std::optional(fleet.delayedAnswer->probeSentAt) : std::nullopt,
                fleet.now);
    if (isDelayed) {
        builder.number(fleet.delayedAnswer->appliedOffset)
            .number(fleet.delayedAnswer->canConfirm ? 1 : 0);
        builder.name(fleet.delayedAnswer->incarnation);
    }
    return builder.text();
}

auto addController(FingerprintBuilder &builder, const FleetState &fleet) -> void
{
    for (const auto &[offset, progress] : fleet.progress.progress()) {
        builder.number(offset).age(progress.majorityAt, fleet.now);
        builder.number(progress.appliedByAll ? 1 : 0).number(progress.drainedByAll ? 1 : 0);
    }
    builder.number(fleet.progress.membersEffective(fleet.now) ? 1 : 0);
}

} // namespace

auto fingerprint(const FleetState &fleet) -> std::string
{
    auto builder = FingerprintBuilder{};
    builder.remaining(fleet.requestEndsAt, fleet.now)
        .remaining(fleet.earlierRequestEndsAt, fleet.now);
    builder.age(fleet.view.logReadAt(), fleet.now).number(fleet.view.canConfirm() ? 1 : 0);
    addController(builder, fleet);
    builder.number(static_cast<std::uint64_t>(fleet.restarts));
    builder.number(static_cast<std::uint64_t>(fleet.memberChanges));
    auto vms = std::vector<std::string>{};
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        vms.push_back(vmFingerprint(fleet, vm));
    }
    // Symmetry reduction: VMs other than the controller and the observed VM are interchangeable.
    if (fleet.memberChanges == 0 && vms.size() > observedVm) {
        std::sort(vms.begin() + observedVm + 1, vms.end());
    }
    auto text = builder.text();
    for (const auto &vm : vms) {
        text += vm;
    }
    return text + fleet.history->text;
}

} // namespace figlanding::explorer
