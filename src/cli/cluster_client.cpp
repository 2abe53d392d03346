#include "cli/cluster_client.h"

#include "io/http_client.h"
#include "io/log_service.h"
#include "io/random_bytes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace figlanding::cli {

namespace {

// Must stay below maxAuditEntries: the outcome of a submitted record is looked up in the audit
// entries after a whole page was applied, and they keep only the newest records.
constexpr std::uint32_t recordsPerPage = 500;
constexpr milliseconds pollWait{200}; // long poll of a log read
constexpr milliseconds retryDelay{50};
constexpr milliseconds maxRequestTime{2000}; // of one HTTP request, without the long poll

auto textField(const nlohmann::json &json, const char *name) -> std::string
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto countField(const nlohmann::json &json, const char *name) -> std::uint64_t
{
    const auto found = json.find(name);
    return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

// Returns the admin addresses of the members listed in a VM's response; invalid ones are skipped.
auto parseAdminAddresses(const nlohmann::json &json) -> std::vector<SocketAddress>
{
    auto addresses = std::vector<SocketAddress>();
    const auto members = json.find("members");
    if (members == json.end() || !members->is_array()) {
        return addresses;
    }
    for (const auto &member : *members) {
        const auto text = member.is_object() ? textField(member, "admin_address") : "";
        const auto address = settle([&] { return parseSocketAddress(text); });
        if (address) {
            addresses.push_back(address.value());
        }
    }
    return addresses;
}

// Counts the VMs that did not respond, or whose state is not fresh or is older than the offset.
auto countOutdatedVms(const std::vector<VmStatus> &vmStatuses, LogOffset offset) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(vmStatuses.begin(), vmStatuses.end(), [offset](const VmStatus &vmStatus) {
            return vmStatus.vm.empty() || !vmStatus.fresh || vmStatus.offset < offset;
        }));
}

// Returns the members that none of the queried VMs turned out to be.
auto membersWithoutStatus(const ClusterState &state, const std::vector<VmStatus> &vmStatuses)
    -> std::vector<std::string>
{
    auto missing = std::vector<std::string>();
    for (const auto &entry : state.members) {
        const auto &name = entry.first.value();
        const auto known =
            std::any_of(vmStatuses.begin(), vmStatuses.end(),
                        [&name](const VmStatus &vmStatus) { return vmStatus.vm == name; });
        if (!known) {
            missing.push_back(name);
        }
    }
    return missing;
}

} // namespace

ClusterClient::ClusterClient(ClientOptions options)
    : m_options(std::move(options))
    , m_deadline(MonotonicClock::now() + m_options.timeout)
    , m_cursor(ClusterState{}, LogCursorOptions{.maxRecords = recordsPerPage, .snapshots = {}})
    , m_submittedId{.writer = "figlanding-" + randomHex(8), .sequence = 0}
{ }

auto ClusterClient::remainingTime() const -> milliseconds
{
    const auto left = m_deadline - MonotonicClock::now();
    return std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
}

auto ClusterClient::findSubmittedRecord(const std::vector<LogRecord> &records) -> void
{
    for (const auto &record : records) {
        if (!m_submittedOffset && record.record.id == m_submittedId) {
            m_submittedOffset = record.offset;
        }
    }
}

auto ClusterClient::readPage() -> Result<void>
{
    const auto read = m_cursor.nextRead();
    const auto wait = std::min(read.allowLongPoll ? pollWait : milliseconds(0), remainingTime());
    const auto timeout = std::min(maxRequestTime, remainingTime()) + wait;
    const auto request =
        logReadRequest({.from = read.from, .maxRecords = read.maxRecords, .wait = wait});
    const auto outcome =
        callAndWait(m_options.log, request, {.timeout = std::max(timeout, milliseconds(1))});
    BOOST_LEAF_AUTO(response, parseLogReadResponse(outcome));
    findSubmittedRecord(response.records);
    auto page = LogPage{
        .first = response.first, .tail = response.tail, .records = std::move(response.records)};
    BOOST_LEAF_CHECK(m_cursor.accept(read, page));
    return {};
}

// Reads pages until the state includes the tail; retries failed reads until the deadline.
auto ClusterClient::readToTail() -> Result<void>
{
    while (true) {
        const auto read = settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readPage());
            return true;
        });
        if (read && m_cursor.caughtUp()) {
            return {};
        }
        if (remainingTime() == milliseconds(0)) {
            return fail(
                read ? ErrorCode::LogUnavailable : read.error().code,
                "log " + toText(m_options.log) + ": "
                    + (read ? "the tail was not reached before the timeout" : read.error().detail));
        }
        if (!read) {
            std::this_thread::sleep_for(std::min(retryDelay, remainingTime()));
        }
    }
}

auto ClusterClient::readState() -> Result<ClusterState>
{
    BOOST_LEAF_CHECK(readToTail());
    return m_cursor.state();
}

auto ClusterClient::outcomeAt(LogOffset offset) const -> Result<SubmitOutcome>
{
    const auto &audit = m_cursor.state().audit;
    const auto entry = std::find_if(audit.begin(), audit.end(), [offset](const AuditEntry &item) {
        return item.offset == offset;
    });
    if (entry == audit.end()) {
        return fail(ErrorCode::LogUnavailable,
                    "the record at offset " + std::to_string(offset)
                        + " is in the log, but its outcome is no longer in the audit trail");
    }
    return SubmitOutcome{.offset = offset, .accepted = entry->accepted, .refusal = entry->refusal};
}

auto ClusterClient::submit(RecordPayload payload) -> Result<SubmitOutcome>
{
    ++m_submittedId.sequence;
    m_submittedOffset.reset();
    const auto record = Record{.id = m_submittedId, .payload = std::move(payload)};
    auto failure = std::string("no append was attempted before the timeout");
    while (remainingTime() > milliseconds(0)) {
        const auto timeout = std::max(std::min(maxRequestTime, remainingTime()), milliseconds(1));
        const auto response = settle([&] {
            return parseLogAppendResponse(
                callAndWait(m_options.log, logAppendRequest(record), {.timeout = timeout}));
        });
        failure = response ? "the appended record was not read back before the timeout"
                           : describe(response.error());
        const auto caughtUp = settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readToTail());
            return true;
        });
        // Reads may lag behind appends: an acknowledged record can be missing from the tail that
        // was read, so keep reading instead of appending again.
        while (response && caughtUp && !m_submittedOffset && remainingTime() > milliseconds(0)) {
            (void)settle([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(readPage());
                return true;
            });
        }
        if (m_submittedOffset) {
            return outcomeAt(*m_submittedOffset);
        }
        std::this_thread::sleep_for(std::min(retryDelay, remainingTime()));
    }
    return fail(ErrorCode::LogUnavailable,
                "log " + toText(m_options.log) + ": " + failure
                    + "; the change may still take effect, check with \"figlanding audit\"");
}

auto ClusterClient::queryVm(const SocketAddress &address) const -> VmStatus
{
    auto vmStatus = VmStatus{.address = address};
    const auto timeout = std::max(std::min(maxRequestTime, remainingTime()), milliseconds(1));
    const auto outcome = callAndWait(address, {.target = "/v1/state"}, {.timeout = timeout});
    if (outcome.verdict != Verdict::Ran) {
        vmStatus.error = describe(outcome.error);
        return vmStatus;
    }
    const auto json = nlohmann::json::parse(outcome.response.body, nullptr, false);
    if (outcome.response.status != 200 || !json.is_object()) {
        vmStatus.error =
            "unexpected response, HTTP status " + std::to_string(outcome.response.status);
        return vmStatus;
    }
    vmStatus.vm = textField(json, "vm");
    vmStatus.offset = countField(json, "offset");
    const auto fresh = json.find("fresh");
    vmStatus.fresh = fresh != json.end() && fresh->is_boolean() && fresh->get<bool>();
    vmStatus.term = countField(json, "term");
    vmStatus.controller = textField(json, "controller");
    vmStatus.adminAddresses = parseAdminAddresses(json);
    if (vmStatus.vm.empty()) {
        vmStatus.error = "the answer names no VM";
    }
    return vmStatus;
}

auto ClusterClient::queryAllVms() const -> std::vector<VmStatus>
{
    auto addresses = m_options.admin;
    auto vmStatuses = std::vector<VmStatus>();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto queried =
            std::any_of(vmStatuses.begin(), vmStatuses.end(),
                        [&](const VmStatus &vmStatus) { return vmStatus.address == addresses[i]; });
        if (queried) {
            continue;
        }
        auto vmStatus = queryVm(addresses[i]);
        const auto &more = vmStatus.adminAddresses;
        addresses.insert(addresses.end(), more.begin(), more.end());
        vmStatuses.push_back(std::move(vmStatus));
    }
    return vmStatuses;
}

auto ClusterClient::waitUntilInForce(LogOffset offset) -> Result<InForceReport>
{
    if (m_options.admin.empty()) {
        return fail(ErrorCode::MissingField,
                    "waiting requires the admin address of at least one VM: --admin IP:PORT");
    }
    auto complete = std::optional<InForceReport>();
    while (true) {
        const auto state = settle([this] { return readState(); });
        if (!state && complete) {
            return *std::move(complete);
        }
        if (!state) {
            return fail(state.error().code, state.error().detail);
        }
        auto result = InForceReport{.vmStatuses = queryAllVms()};
        result.missing = membersWithoutStatus(state.value(), result.vmStatuses);
        result.unreachable =
            std::any_of(result.vmStatuses.begin(), result.vmStatuses.end(),
                        [](const VmStatus &vmStatus) { return vmStatus.vm.empty(); });
        result.everywhere =
            countOutdatedVms(result.vmStatuses, offset) == 0 && result.missing.empty();
        const auto left = remainingTime();
        if (!result.everywhere && left == milliseconds(0) && complete) {
            return *std::move(complete); // the deadline may have cut off the last queries
        }
        if (result.everywhere || left <= pollWait) {
            return result;
        }
        complete = std::move(result);
        std::this_thread::sleep_for(retryDelay);
    }
}

} // namespace figlanding::cli
