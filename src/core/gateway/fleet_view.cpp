#include "figlanding/gateway/fleet_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace figlanding {

namespace {

// Weighted rendezvous hashing. The weight is the square of the capacity, so that a VM with a fifth
// of the capacity is responsible for a twenty-fifth of the subjects: it serves as many callers as
// the other VMs and has less capacity left.
auto rendezvousWeight(std::string_view subject, const VmId &vm, double capacity) -> double
{
    const auto hash = XXH3_64bits_withSeed(subject.data(), subject.size(),
                                           XXH3_64bits(vm.value().data(), vm.value().size()));
    const auto uniform = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0; // 2^53
    return capacity * capacity / -std::log(uniform);
}

} // namespace

FleetView::FleetView(VmId self, double capacity, const FleetViewOptions &options)
    : m_self(std::move(self))
    , m_capacity(capacity)
    , m_options(options)
{ }

auto FleetView::setAddress(const VmId &vm, const std::string &incarnation,
                           const SocketAddress &address) -> void
{
    if (vm == m_self) {
        return;
    }
    auto &member = m_members[vm];
    member.vm = vm;
    member.address = address;
    if (member.incarnation.empty()) {
        member.incarnation = incarnation;
    }
}

auto FleetView::recordMessage(const FleetMember &member) -> void
{
    if (member.vm == m_self) {
        return;
    }
    m_members[member.vm] = member;
}

auto FleetView::find(const VmId &vm) const -> const FleetMember *
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second;
}

auto FleetView::isAlive(const FleetMember &member, TimePoint now) const -> bool
{
    return member.lastMessageAt != TimePoint{}
    && now - member.lastMessageAt < m_options.messageTimeout;
}

auto FleetView::aliveCount(TimePoint now) const -> std::size_t
{
    auto count = std::size_t{1};
    for (const auto &[vm, member] : m_members) {
        count += isAlive(member, now) ? 1 : 0;
    }
    return count;
}

auto FleetView::rankOf(std::string_view subject, TimePoint now) const -> std::size_t
{
    const auto own = m_leaving ? 0.0 : rendezvousWeight(subject, m_self, m_capacity);
    auto before = std::size_t{0};
    for (const auto &[vm, member] : m_members) {
        const auto eligible = isAlive(member, now) && !member.leaving;
        before += eligible && rendezvousWeight(subject, vm, member.capacity) > own ? 1 : 0;
    }
    return before;
}

auto FleetView::isResponsible(std::string_view subject, TimePoint now) const -> bool
{
    const auto own = m_leaving ? 0.0 : rendezvousWeight(subject, m_self, m_capacity);
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &item) {
        const auto &member = item.second;
        return isAlive(member, now) && !member.leaving
            && rendezvousWeight(subject, member.vm, member.capacity) > own;
    });
}

auto FleetView::responsibleVm(std::string_view subject, TimePoint now,
                              const std::set<VmId> &excluded) const -> VmId
{
    auto best = m_self;
    auto bestWeight = m_leaving ? 0.0 : rendezvousWeight(subject, m_self, m_capacity);
    for (const auto &[vm, member] : m_members) {
        const auto eligible = isAlive(member, now) && !member.leaving && !excluded.contains(vm);
        const auto memberWeight = eligible ? rendezvousWeight(subject, vm, member.capacity) : 0.0;
        if (memberWeight > bestWeight) {
            best = vm;
            bestWeight = memberWeight;
        }
    }
    return best;
}

} // namespace figlanding
