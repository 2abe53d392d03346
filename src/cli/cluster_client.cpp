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

// Below maxAuditEntries, so that the outcome of a record is still in the state after its page.
constexpr std::uint32_t recordsPerPage = 500;
constexpr milliseconds readWait{200};
constexpr milliseconds retryDelay{50};
constexpr milliseconds maxAnswerTime{2000};

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

auto adminAddressesOf(const nlohmann::json &json) -> std::vector<SocketAddress>
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

// Returns the VMs that have not folded the record on a fresh view.
auto laggards(const std::vector<VmView> &views, LogOffset offset) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(views.begin(), views.end(), [offset](const VmView &view) {
            return view.vm.empty() || !view.fresh || view.offset < offset;
        }));
}

auto membersWithout(const ClusterState &state, const std::vector<VmView> &views)
    -> std::vector<std::string>
{
    auto missing = std::vector<std::string>();
    for (const auto &entry : state.members) {
        const auto &name = entry.first.value();
        const auto known = std::any_of(views.begin(), views.end(),
                                       [&name](const VmView &view) { return view.vm == name; });
        if (!known) {
            missing.push_back(name);
        }
    }
    return missing;
}

} // namespace

ClusterClient::ClusterClient(ConnectionOptions options)
    : m_options(std::move(options))
    , m_deadline(MonotonicClock::now() + m_options.timeout)
    , m_cursor(ClusterState{}, LogCursorOptions{.maxRecords = recordsPerPage, .snapshots = {}})
    , m_lastId{.writer = "figlanding-" + randomHex(8), .sequence = 0}
{ }

auto ClusterClient::timeLeft() const -> milliseconds
{
    const auto left = m_deadline - MonotonicClock::now();
    return std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
}

auto ClusterClient::noteRecord(const std::vector<LogRecord> &records) -> void
{
    for (const auto &record : records) {
        if (!m_found && record.record.id == m_lastId) {
            m_found = record.offset;
        }
    }
}

auto ClusterClient::readPage() -> Result<void>
{
    const auto read = m_cursor.nextRead();
    const auto wait = std::min(read.allowLongPoll ? readWait : milliseconds(0), timeLeft());
    const auto timeout = std::min(maxAnswerTime, timeLeft()) + wait;
    const auto request =
        logReadRequest({.from = read.from, .maxRecords = read.maxRecords, .wait = wait});
    const auto outcome =
        callAndWait(m_options.log, request, {.timeout = std::max(timeout, milliseconds(1))});
    BOOST_LEAF_AUTO(answer, parseLogReadResponse(outcome));
    noteRecord(answer.records);
    auto page =
        LogPage{.first = answer.first, .tail = answer.tail, .records = std::move(answer.records)};
    BOOST_LEAF_CHECK(m_cursor.accept(read, page));
    return {};
}

// Reads up to the tail; tries again while there is time.
auto ClusterClient::catchUp() -> Result<void>
{
    while (true) {
        const auto read = settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readPage());
            return true;
        });
        if (read && m_cursor.caughtUp()) {
            return {};
        }
        if (timeLeft() == milliseconds(0)) {
            return fail(read ? ErrorCode::LogUnavailable : read.error().code,
                        "log " + toText(m_options.log) + ": "
                            + (read ? "the tail was not reached" : read.error().detail));
        }
        if (!read) {
            std::this_thread::sleep_for(std::min(retryDelay, timeLeft()));
        }
    }
}

auto ClusterClient::readState() -> Result<ClusterState>
{
    BOOST_LEAF_CHECK(catchUp());
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
    ++m_lastId.sequence;
    m_found.reset();
    const auto record = Record{.id = m_lastId, .payload = std::move(payload)};
    auto failure = std::string("no attempt was made");
    while (timeLeft() > milliseconds(0)) {
        const auto timeout = std::max(std::min(maxAnswerTime, timeLeft()), milliseconds(1));
        const auto answer = settle([&] {
            return parseLogAppendResponse(
                callAndWait(m_options.log, logAppendRequest(record), {.timeout = timeout}));
        });
        failure = answer ? "the appended record was not read back" : describe(answer.error());
        const auto caughtUp = settle([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(catchUp());
            return true;
        });
        // A record that the log acknowledged may still be beyond the tail that a read shows.
        while (answer && caughtUp && !m_found && timeLeft() > milliseconds(0)) {
            (void)settle([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(readPage());
                return true;
            });
        }
        if (m_found) {
            return outcomeAt(*m_found);
        }
        std::this_thread::sleep_for(std::min(retryDelay, timeLeft()));
    }
    return fail(ErrorCode::LogUnavailable,
                "log " + toText(m_options.log) + ": " + failure
                    + "; the change may still take effect, check it with audit");
}

auto ClusterClient::askVm(const SocketAddress &address) const -> VmView
{
    auto view = VmView{.address = address};
    const auto timeout = std::max(std::min(maxAnswerTime, timeLeft()), milliseconds(1));
    const auto outcome = callAndWait(address, {.target = "/v1/state"}, {.timeout = timeout});
    if (outcome.verdict != Verdict::Ran) {
        view.error = describe(outcome.error);
        return view;
    }
    const auto json = nlohmann::json::parse(outcome.response.body, nullptr, false);
    if (outcome.response.status != 200 || !json.is_object()) {
        view.error = "status " + std::to_string(outcome.response.status);
        return view;
    }
    view.vm = textField(json, "vm");
    view.offset = countField(json, "offset");
    const auto fresh = json.find("fresh");
    view.fresh = fresh != json.end() && fresh->is_boolean() && fresh->get<bool>();
    view.term = countField(json, "term");
    view.controller = textField(json, "controller");
    view.adminAddresses = adminAddressesOf(json);
    if (view.vm.empty()) {
        view.error = "the answer names no VM";
    }
    return view;
}

auto ClusterClient::askAll() const -> std::vector<VmView>
{
    auto addresses = m_options.admin;
    auto views = std::vector<VmView>();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto asked = std::any_of(views.begin(), views.end(), [&](const VmView &view) {
            return view.address == addresses[i];
        });
        if (asked) {
            continue;
        }
        auto view = askVm(addresses[i]);
        const auto &more = view.adminAddresses;
        addresses.insert(addresses.end(), more.begin(), more.end());
        views.push_back(std::move(view));
    }
    return views;
}

auto ClusterClient::waitUntilInForce(LogOffset offset) -> Result<InForce>
{
    if (m_options.admin.empty()) {
        return fail(ErrorCode::MissingField, "waiting needs --admin IP:PORT of at least one VM");
    }
    while (true) {
        BOOST_LEAF_AUTO(state, readState());
        auto result = InForce{.views = askAll()};
        result.missing = membersWithout(state, result.views);
        result.unreachable = std::any_of(result.views.begin(), result.views.end(),
                                         [](const VmView &view) { return view.vm.empty(); });
        result.everywhere = laggards(result.views, offset) == 0 && result.missing.empty();
        if (result.everywhere || timeLeft() <= readWait) {
            return result;
        }
        std::this_thread::sleep_for(retryDelay);
    }
}

} // namespace figlanding::cli
