#include "gateway/gateway_settings.h"

#include "io/settings.h"
#include "io/settings_reader.h"

#include <utility>

namespace figlanding {

namespace {

auto readBounds(SettingsReader &root, GatewaySettings &settings) -> void
{
    auto bounds = root.section("bounds", true);
    settings.propagation = bounds.span("propagation", settings.propagation);
    settings.drain = bounds.span("drain", settings.drain);
    settings.gracePeriod = bounds.span("grace_period", settings.gracePeriod);
    settings.longestLease = bounds.span("longest_lease", settings.longestLease);
    settings.trialShare = bounds.fraction("trial_share", settings.trialShare);
    settings.retryRatio = bounds.fraction("retry_ratio", settings.retryRatio);
    settings.retryReserve = bounds.fraction("retry_reserve", settings.retryReserve);
    bounds.finish();
}

auto readListen(SettingsReader &root, GatewaySettings &settings) -> void
{
    auto listen = root.section("listen", false);
    settings.callers = listen.address("callers");
    settings.readiness = listen.address("readiness");
    settings.admin = listen.address("admin");
    settings.fleet = listen.address("fleet");
    listen.finish();
}

} // namespace

auto parseGatewaySettings(std::string_view text, std::string_view file) -> GatewaySettingsOutcome
{
    auto document = SettingsDocument(text);
    auto settings = GatewaySettings{};
    if (document.root().is_object()) {
        auto root = SettingsReader(document, &document.root(), "");
        settings.vm = VmId(root.text("vm"));
        settings.zone = AvailabilityZoneId(root.text("zone"));
        readListen(root, settings);
        settings.store = root.address("store");
        settings.cpuShare = root.fraction("cpu_share", settings.cpuShare);
        settings.announceInterval = root.span("announce_interval", settings.announceInterval);
        readBounds(root, settings);
        const auto level = root.choice("log_level", {"debug", "info", "warning", "error"}, "info");
        settings.logLevel = parseLogLevel(level).value_or(LogLevel::Info);
        root.finish();
    }
    auto outcome = GatewaySettingsOutcome{};
    for (const auto &fault : document.faults()) {
        outcome.faults.push_back(describe(file, fault));
    }
    if (outcome.faults.empty()) {
        outcome.settings = std::move(settings);
    }
    return outcome;
}

auto loadGatewaySettings(const std::string &file) -> GatewaySettingsOutcome
{
    return valueOrElse(
        [&]() -> Result<GatewaySettingsOutcome> {
            BOOST_LEAF_AUTO(text, readTextFile(file));
            return parseGatewaySettings(text, file);
        },
        [](const Error &error) {
            return GatewaySettingsOutcome{.settings = {}, .faults = {describe(error)}};
        });
}

} // namespace figlanding
