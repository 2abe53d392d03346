#include "io/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <cstdint>

namespace figlanding {

namespace {

/// Bodies of ordinary requests and responses are smaller, so these do not cost a system call.
constexpr int largeBlockBytes = 1024 * 1024;
constexpr int trimBytes = 4 * 1024 * 1024; ///< free memory at the end of the heap that is kept

} // namespace

auto systemLimits() -> ProcessLimits
{
    auto limits = ProcessLimits{.memoryBytes = SIZE_MAX, .descriptors = SIZE_MAX};
    struct sysinfo machine = {};
    if (::sysinfo(&machine) == 0) {
        limits.memoryBytes = static_cast<std::size_t>(machine.totalram) * machine.mem_unit;
    }
    auto files = rlimit{};
    if (::getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY) {
        limits.descriptors = files.rlim_cur;
    }
    return limits;
}

auto knownLimits(ProcessLimits limits) -> ProcessLimits
{
    const auto system = systemLimits();
    if (limits.memoryBytes == 0) {
        limits.memoryBytes = system.memoryBytes;
    }
    if (limits.descriptors == 0) {
        limits.descriptors = system.descriptors;
    }
    return limits;
}

auto returnLargeBlocksAtOnce() -> void
{
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimBytes);
}

} // namespace figlanding
