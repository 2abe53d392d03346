#include "gateway/unconfirmed_releases.h"

namespace figlanding {

UnconfirmedReleases::UnconfirmedReleases(const UnconfirmedReleasesOptions &options)
    : m_options(options)
{ }

auto UnconfirmedReleases::add(const AddressedRelease &sent, TimePoint now) -> void
{
    m_releases[{sent.release.ticket, sent.to}] = {
        .release = sent.release, .group = sent.group, .repeatAt = now + m_options.firstRepeatAfter};
}

auto UnconfirmedReleases::confirm(const VmId &from, std::uint64_t ticket) -> ServiceId
{
    const auto confirmed = m_releases.extract({ticket, from});
    return confirmed.empty() ? ServiceId() : confirmed.mapped().group;
}

auto UnconfirmedReleases::takeDue(TimePoint now) -> std::vector<AddressedRelease>
{
    std::erase_if(m_releases, [&](const auto &item) {
        return now >= item.second.repeatAt && item.second.repeats >= m_options.maxRepeats;
    });
    auto due = std::vector<AddressedRelease>{};
    for (auto &[id, entry] : m_releases) {
        if (now >= entry.repeatAt) {
            due.push_back({.to = id.second, .release = entry.release, .group = entry.group});
            entry.repeats += 1;
            entry.repeatAt = now + m_options.firstRepeatAfter * (1U << entry.repeats);
        }
    }
    return due;
}

} // namespace figlanding
