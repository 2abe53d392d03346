#include "figlanding/gateway/slot_statistics.h"

namespace figlanding {

auto add(SlotStatistics &to, const SlotStatistics &other) -> void
{
    to.granted += other.granted;
    to.refused += other.refused;
    to.expectedWait += other.expectedWait;
    to.actualWait += other.actualWait;
    for (const auto &[kind, count] : other.rejections) {
        to.rejections[kind] += count;
    }
    to.rest += other.rest;
}

} // namespace figlanding
