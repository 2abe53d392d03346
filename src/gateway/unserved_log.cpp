#include "gateway/unserved_log.h"

#include "io/log.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <utility>

namespace figlanding {

namespace {

constexpr seconds reportInterval{1};
constexpr auto allWaits =
    std::to_array<OwnerWait>({OwnerWait::Store, OwnerWait::Release, OwnerWait::Lease,
                              OwnerWait::Candidate, OwnerWait::Record});

// The ranges of a service that wait for the same.
struct Group
{
    std::size_t ranges = 0;
    std::size_t keys = 0;
    const UnservedRange *oldest = nullptr;
};

} // namespace

UnservedLog::UnservedLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

auto UnservedLog::report(const std::vector<UnservedRange> &ranges, TimePoint now) -> void
{
    m_nextAt = now + reportInterval;
    auto keys = std::map<OwnerWait, std::size_t>{};
    auto groups = std::map<std::pair<ServiceId, OwnerWait>, Group>{};
    for (const auto &range : ranges) {
        keys[range.waitsFor] += range.keys.size();
        if (now - range.since < reportInterval) {
            continue;
        }
        auto &group = groups[{range.service, range.waitsFor}];
        group.ranges += 1;
        group.keys += range.keys.size();
        if (group.oldest == nullptr || range.since < group.oldest->since) {
            group.oldest = &range;
        }
    }
    for (const auto wait : allWaits) {
        m_metrics.setUnservedKeys(std::string(toText(wait)), keys[wait]);
    }
    for (const auto &[kind, group] : groups) {
        const auto longest = std::chrono::duration_cast<milliseconds>(now - group.oldest->since);
        logEvent(LogLevel::Warning, "keys-without-owner",
                 {{"service", kind.first.value()},
                  {"wait", toText(kind.second)},
                  {"ranges", group.ranges},
                  {"keys", group.keys},
                  {"longest_ms", longest.count()},
                  {"from", group.oldest->keys.from},
                  {"owner", group.oldest->owner.value()}});
    }
}

} // namespace figlanding
