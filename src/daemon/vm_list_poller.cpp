#include "daemon/vm_list_poller.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace figlanding {

namespace {

using nlohmann::json;

// Returns a text field of an entry; empty if it cannot be read.
auto textOf(const json &entry, const char *name) -> std::string
{
    const auto found = entry.find(name);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto addressOf(const json &entry) -> SocketAddress
{
    return valueOrElse([&] { return parseSocketAddress(textOf(entry, "peer_address")); },
                       [](const Error &) { return SocketAddress{}; });
}

auto parseEntry(const json &entry) -> VmListEntry
{
    return VmListEntry{.vm = VmId(textOf(entry, "vm")),
                       .zone = AvailabilityZoneId(textOf(entry, "zone")),
                       .peerAddress = addressOf(entry),
                       .leaving = textOf(entry, "state") == "leaving"};
}

} // namespace

auto parseVmList(std::string_view text) -> Result<VmList>
{
    const auto body = parseJsonText(text);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
        return fail(ErrorCode::ProtocolViolation,
                    "the VM list is not a JSON object with an array \"vms\"");
    }
    auto list = VmList{};
    for (const auto &item : body["vms"]) {
        auto entry = parseEntry(item);
        if (entry.vm.empty()) {
            list.complete = false;
        } else {
            list.entries.push_back(std::move(entry));
        }
    }
    return list;
}

VmListPoller::VmListPoller(EventLoop &loop, HttpClient &client, SocketAddress address,
                           milliseconds interval, std::function<void(const VmList &)> onList)
    : m_client(client)
    , m_address(std::move(address))
    , m_interval(interval)
    , m_onList(std::move(onList))
    , m_timer(loop, [this] { poll(); })
{
    m_timer.startRepeating(interval);
    poll();
}

auto VmListPoller::poll() -> void
{
    if (m_polling) {
        return;
    }
    m_polling = true;
    m_client.call(m_address, {.method = "GET", .target = "/v1/vms"},
                  {.timeout = m_interval, .connectTimeout = m_interval},
                  [this](const HttpOutcome &outcome) {
                      m_polling = false;
                      if (outcome.verdict != Verdict::Ran || outcome.response.status != 200) {
                          return;
                      }
                      const auto list = settle([&] { return parseVmList(outcome.response.body); });
                      if (list) {
                          m_onList(list.value());
                      }
                  });
}

} // namespace figlanding
