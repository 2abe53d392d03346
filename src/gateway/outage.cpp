#include "gateway/outage.h"

#include "io/log.h"

#include <utility>

namespace figlanding {

namespace {

/// A period of failed reads counts as an outage if it is longer than this.
constexpr milliseconds minOutage{800};

} // namespace

auto beginOutage(Outage &outage, std::string_view topic, const Error &error, TimePoint now) -> void
{
    if (!outage.since) {
        outage.since = now;
        logEvent(LogLevel::Warning, "store-lost", {{"topic", topic}, {"error", describe(error)}});
    }
}

auto endOutage(Outage &outage, std::string_view topic, LogOffset end, TimePoint now) -> void
{
    if (const auto since = std::exchange(outage.since, std::nullopt)) {
        if (now - *since > minOutage) {
            outage.recoveredAt = now;
        }
        logEvent(LogLevel::Info, "store-regained", {{"topic", topic}, {"offset", end}});
    }
}

} // namespace figlanding
