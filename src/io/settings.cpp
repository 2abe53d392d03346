#include "io/settings.h"

#include "io/settings_reader.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t minSecretDigits = 32;
constexpr milliseconds maxPollInterval{60000};
constexpr milliseconds maxTimeLimit{10000};
constexpr milliseconds maxDrainTimeout{600000};

auto readVm(SettingsReader &root, DaemonSettings &settings) -> void
{
    auto vm = root.section("vm", false);
    settings.vm = VmId(vm.text("name"));
    settings.zone = AvailabilityZoneId(vm.text("zone"));
    vm.finish();
}

auto readListen(SettingsReader &root, DaemonSettings &settings) -> void
{
    auto listen = root.section("listen", false);
    settings.listen = {.callers = listen.address("callers"),
                       .peers = listen.address("peers"),
                       .admin = listen.address("admin")};
    listen.finish();
}

auto readPlatform(SettingsReader &root, DaemonSettings &settings) -> void
{
    auto log = root.section("log", false);
    auto &target = settings.log;
    target.address = log.address("address");
    target.readsAreFresh = log.flag("reads_are_fresh");
    target.pollWait = log.time("poll_wait_ms", milliseconds(0), maxPollInterval, target.pollWait);
    target.timeout = log.time("timeout_ms", milliseconds(10), maxPollInterval, target.timeout);
    log.finish();

    auto list = root.section("vm_list", false);
    settings.vmList.address = list.address("address");
    settings.vmList.pollInterval = list.time("poll_interval_ms", milliseconds(10), maxPollInterval,
                                             settings.vmList.pollInterval);
    list.finish();
}

auto readTiming(SettingsReader &root, DaemonSettings &settings) -> void
{
    struct Row
    {
        const char *key;
        milliseconds Timing::*field;
    };
    constexpr auto rows = std::to_array<Row>({
        {"view_lifetime_ms", &Timing::viewLifetime},
        {"clock_drift_allowance_ms", &Timing::clockDriftAllowance},
        {"heartbeat_interval_ms", &Timing::heartbeatInterval},
        {"suspicion_timeout_ms", &Timing::suspicionTimeout},
        {"server_lease_ms", &Timing::serverLease},
        {"exclusive_deadline_ms", &Timing::exclusiveDeadline},
        {"probe_interval_ms", &Timing::probeInterval},
    });
    auto timing = root.section("timing", true);
    for (const auto &row : rows) {
        auto &target = settings.timing.*row.field;
        target = timing.time(row.key, milliseconds(1), maxTimeLimit, target);
    }
    timing.finish();
}

auto readLimits(SettingsReader &root, DaemonSettings &settings) -> void
{
    constexpr std::uint64_t maxBytes = std::uint64_t{1} << 30;
    constexpr std::uint64_t maxHeader = std::uint64_t{1} << 20;
    constexpr std::uint64_t maxCount = 1'000'000;
    auto limits = root.section("limits", true);
    auto &target = settings.limits;
    target.maxHeaderBytes =
        limits.number("max_header_bytes", 1024, maxHeader, target.maxHeaderBytes);
    target.maxBodyBytes = limits.number("max_body_bytes", 0, maxBytes, target.maxBodyBytes);
    target.maxConnections = static_cast<std::uint32_t>(
        limits.number("max_connections", 1, maxCount, target.maxConnections));
    target.maxQueuePerServer = static_cast<std::uint32_t>(
        limits.number("max_queue_per_server", 0, maxCount, target.maxQueuePerServer));
    limits.finish();
}

auto readLogging(SettingsReader &root, DaemonSettings &settings) -> void
{
    auto logging = root.section("logging", true);
    const auto level = logging.choice("level", {"debug", "info", "warning", "error"}, "info");
    settings.logLevel = parseLogLevel(level).value_or(LogLevel::Info);
    logging.finish();
}

auto isUnspecified(const SocketAddress &address) -> bool
{
    return address.ip == "0.0.0.0" || address.ip == "::";
}

// Checks constraints between several keys. A value that failed its own check is empty or has its
// default here.
auto checkCombinations(SettingsDocument &document, const DaemonSettings &settings) -> void
{
    const auto &listen = settings.listen;
    const auto fault = [&](const char *path, const SocketAddress &address, const char *expected) {
        const auto value = nlohmann::json(toText(address));
        document.addFault(path, &value, expected);
    };
    if (isUnspecified(listen.peers)) {
        fault("listen.peers", listen.peers, "an address that other VMs can connect to");
    }
    if (listen.peers.port != 0 && listen.peers == listen.callers) {
        fault("listen.peers", listen.peers, "an address other than listen.callers");
    }
    if (listen.admin.port != 0
        && (listen.admin == listen.callers || listen.admin == listen.peers)) {
        fault("listen.admin", listen.admin,
              "an address other than listen.callers and listen.peers");
    }
    const auto timingFault = valueOrElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(checkTiming(settings.timing));
            return std::string();
        },
        [](const Error &error) { return error.detail; });
    if (!timingFault.empty()) {
        document.addFault("timing", nullptr, "a usable combination: " + timingFault);
    }
    if (settings.log.pollWait >= settings.timing.viewLifetime) {
        const auto value = nlohmann::json(settings.log.pollWait.count());
        document.addFault("log.poll_wait_ms", &value, "less than timing.view_lifetime_ms");
    }
}

} // namespace

auto parseDaemonSettings(std::string_view text, std::string_view file) -> SettingsOutcome
{
    auto document = SettingsDocument(text);
    auto settings = DaemonSettings{};
    if (document.root().is_object()) {
        auto root = SettingsReader(document, &document.root(), "");
        readVm(root, settings);
        readListen(root, settings);
        settings.seedPeers = root.addresses("peers");
        readPlatform(root, settings);
        settings.peerSecretHex = root.secret("peer_secret", minSecretDigits);
        readTiming(root, settings);
        readLimits(root, settings);
        readLogging(root, settings);
        settings.drainTimeout =
            root.time("drain_timeout_ms", milliseconds(0), maxDrainTimeout, settings.drainTimeout);
        root.finish();
        checkCombinations(document, settings);
    }
    auto outcome = SettingsOutcome{};
    for (const auto &fault : document.faults()) {
        outcome.faults.push_back(describe(file, fault));
    }
    if (outcome.faults.empty()) {
        outcome.settings = std::move(settings);
    }
    return outcome;
}

auto readTextFile(const std::string &file) -> Result<std::string>
{
    auto stream = std::ifstream(file, std::ios::binary);
    auto text = std::string(std::istreambuf_iterator<char>(stream), {});
    if (!stream) {
        return fail(ErrorCode::IoFailure, file + ": " + std::strerror(errno));
    }
    return text;
}

auto loadDaemonSettings(const std::string &file) -> SettingsOutcome
{
    return valueOrElse(
        [&]() -> Result<SettingsOutcome> {
            BOOST_LEAF_AUTO(text, readTextFile(file));
            return parseDaemonSettings(text, file);
        },
        [](const Error &error) {
            return SettingsOutcome{.settings = {}, .faults = {describe(error)}};
        });
}

} // namespace figlanding
