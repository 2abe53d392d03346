#include "daemon/admin_api.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using nlohmann::json;

auto membersJson(const AdminView &view) -> json
{
    auto members = json::array();
    for (const auto &[vm, member] : view.state.members) {
        members.push_back({{"vm", vm.value()},
                           {"zone", member.zone.value()},
                           {"peer_address", toText(member.peerAddress)},
                           {"since", member.since}});
        const auto admin = view.adminAddresses.find(vm);
        if (admin != view.adminAddresses.end()) {
            members.back()["admin_address"] = toText(admin->second);
        }
    }
    return members;
}

auto serversJson(const ClusterState &state) -> json
{
    auto servers = json::array();
    for (const auto &[id, entry] : state.servers) {
        const auto status = state.serverStatus.find(id);
        servers.push_back(
            {{"server", id.value()},
             {"up", status == state.serverStatus.end() || status->second.up},
             {"evidence", status == state.serverStatus.end() ? "" : status->second.evidence}});
    }
    return servers;
}

auto assignmentsJson(const ClusterState &state) -> json
{
    auto services = json::object();
    for (const auto &[service, assignments] : state.assignments) {
        std::size_t unowned = 0;
        std::size_t moving = 0;
        for (const auto &assignment : assignments.shards) {
            unowned += assignment.owner.empty() ? 1 : 0;
            moving += assignment.moving() ? 1 : 0;
        }
        services[service.value()] = {{"shards", assignments.shards.size()},
                                     {"unowned", unowned},
                                     {"moving", moving},
                                     {"isolated_keys", assignments.isolatedKeys.size()}};
    }
    return services;
}

auto stateResponse(const AdminView &view) -> HttpResponse
{
    const auto &state = view.state;
    return jsonResponse(200,
                        json{{"vm", view.vm.value()},
                             {"offset", state.offset},
                             {"fresh", view.fresh},
                             {"member", view.member},
                             {"leaving", view.leaving},
                             {"log_reachable", view.logReachable},
                             {"term", state.term},
                             {"controller", state.controller.value()},
                             {"members", membersJson(view)},
                             {"servers", serversJson(state)},
                             {"assignments", assignmentsJson(state)}}
                            .dump());
}

auto readyResponse(const AdminView &view) -> HttpResponse
{
    const auto ready = view.fresh && view.member && !view.leaving;
    return jsonResponse(ready ? 200 : 503,
                        json{{"ready", ready},
                             {"fresh", view.fresh},
                             {"member", view.member},
                             {"leaving", view.leaving}}
                            .dump());
}

} // namespace

auto adminResponse(const HttpRequest &request, const AdminView &view) -> HttpResponse
{
    const auto path = pathOf(request.target);
    if (request.method != "GET") {
        return problemResponse(405, "method not allowed", request.method);
    }
    if (path == "/healthz") {
        return jsonResponse(200, R"({"healthy":true})");
    }
    if (path == "/readyz") {
        return readyResponse(view);
    }
    if (path == "/metrics") {
        return {.status = 200,
                .headers = {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}},
                .body = view.metricsText};
    }
    if (path == "/v1/state") {
        return stateResponse(view);
    }
    return problemResponse(404, "not found", path);
}

} // namespace figlanding
