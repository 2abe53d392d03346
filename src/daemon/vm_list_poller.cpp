#include "daemon/vm_list_poller.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using nlohmann::json;

auto stringField(const json &entry, const char *name) -> Result<std::string>
{
    const auto found = entry.find(name);
    if (found == entry.end() || !found->is_string()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name
                        + "\" of a VM list entry is missing or not a string");
    }
    return found->get<std::string>();
}

auto parseEntry(const json &entry) -> Result<VmListEntry>
{
    if (!entry.is_object()) {
        return fail(ErrorCode::ProtocolViolation, "an entry of the VM list is not a JSON object");
    }
    BOOST_LEAF_AUTO(vm, stringField(entry, "vm"));
    BOOST_LEAF_AUTO(zone, stringField(entry, "zone"));
    BOOST_LEAF_AUTO(address, stringField(entry, "peer_address"));
    BOOST_LEAF_AUTO(state, stringField(entry, "state"));
    BOOST_LEAF_AUTO(peerAddress, parseSocketAddress(address));
    return VmListEntry{.vm = VmId(std::move(vm)),
                       .zone = AvailabilityZoneId(std::move(zone)),
                       .peerAddress = std::move(peerAddress),
                       .leaving = state == "leaving"};
}

} // namespace

auto parseVmList(std::string_view text) -> Result<std::vector<VmListEntry>>
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array()) {
        return fail(ErrorCode::ProtocolViolation,
                    "the VM list is not a JSON object with an array \"vms\"");
    }
    std::vector<VmListEntry> entries;
    for (const auto &item : body["vms"]) {
        BOOST_LEAF_AUTO(entry, parseEntry(item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

VmListPoller::VmListPoller(EventLoop &loop, HttpClient &client, SocketAddress address,
                           milliseconds interval,
                           std::function<void(std::vector<VmListEntry>)> onList)
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
