#include "figlanding/peer_messages.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using nlohmann::json;

auto stringField(const json &object, const char *name) -> Result<std::string>
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name + "\" of a peer message is not a string");
    }
    return found->get<std::string>();
}

auto offsetField(const json &object, const char *name) -> Result<LogOffset>
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name + "\" of a peer message is not an offset");
    }
    return found->get<LogOffset>();
}

auto boolField(const json &object, const char *name) -> Result<bool>
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_boolean()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name + "\" of a peer message is not a flag");
    }
    return found->get<bool>();
}

// Reads an array of identifiers.
template <typename Id>
auto namesField(const json &object, const char *name) -> Result<std::vector<Id>>
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_array()) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name + "\" of a peer message is not an array");
    }
    std::vector<Id> names;
    for (const auto &entry : *found) {
        if (!entry.is_string()) {
            return fail(ErrorCode::ProtocolViolation,
                        std::string("an entry of field \"") + name
                            + "\" of a peer message is not a string");
        }
        names.emplace_back(entry.get<std::string>());
    }
    return names;
}

template <typename Id>
auto namesToJson(const std::vector<Id> &names) -> json
{
    auto array = json::array();
    for (const auto &name : names) {
        array.push_back(name.value());
    }
    return array;
}

} // namespace

auto encodePeerReport(const PeerReport &report) -> std::string
{
    return json{{"vm", report.vm.value()},
                {"zone", report.zone.value()},
                {"peer_address", toText(report.peerAddress)},
                {"admin_address", toText(report.adminAddress)},
                {"incarnation", report.incarnation},
                {"folded", report.appliedOffset},
                {"drained", report.drainedOffset},
                {"can_confirm", report.canConfirm},
                {"leaving", report.leaving},
                {"log_reachable", report.logReachable},
                {"suspects", namesToJson(report.suspects)},
                {"suspected_vms", namesToJson(report.suspectedVms)}}
        .dump();
}

auto decodePeerReport(std::string_view text) -> Result<PeerReport>
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return fail(ErrorCode::ProtocolViolation, "a peer message is not a JSON object");
    }
    PeerReport report;
    BOOST_LEAF_AUTO(vm, stringField(body, "vm"));
    BOOST_LEAF_AUTO(zone, stringField(body, "zone"));
    BOOST_LEAF_AUTO(peerAddress, stringField(body, "peer_address"));
    BOOST_LEAF_AUTO(adminAddress, stringField(body, "admin_address"));
    report.vm = VmId(std::move(vm));
    report.zone = AvailabilityZoneId(std::move(zone));
    BOOST_LEAF_ASSIGN(report.peerAddress, parseSocketAddress(peerAddress));
    BOOST_LEAF_ASSIGN(report.adminAddress, parseSocketAddress(adminAddress));
    BOOST_LEAF_ASSIGN(report.incarnation, stringField(body, "incarnation"));
    BOOST_LEAF_ASSIGN(report.appliedOffset, offsetField(body, "folded"));
    BOOST_LEAF_ASSIGN(report.drainedOffset, offsetField(body, "drained"));
    BOOST_LEAF_ASSIGN(report.canConfirm, boolField(body, "can_confirm"));
    BOOST_LEAF_ASSIGN(report.leaving, boolField(body, "leaving"));
    BOOST_LEAF_ASSIGN(report.logReachable, boolField(body, "log_reachable"));
    BOOST_LEAF_ASSIGN(report.suspects, namesField<BackendServerId>(body, "suspects"));
    BOOST_LEAF_ASSIGN(report.suspectedVms, namesField<VmId>(body, "suspected_vms"));
    return report;
}

} // namespace figlanding
