#pragma once

#include "gateway/gateway.h"
#include "platform_traits.h"
#include "standins/platform_server.h"
#include "standins/platform_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A store, backend servers and router VMs that run on one event loop, for tests of Gateway.

namespace figlanding::standins {

/// The configuration at the start.
inline constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"keyed","Hostname":"x.example","PathPrefix":"/keyed/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"rooms","Attempts":2},
 {"Name":"book","Hostname":"x.example","PathPrefix":"/book/","RouteType":"unsafe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2},
 {"Name":"read","Hostname":"x.example","PathPrefix":"/read/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2},
 {"Name":"report","Hostname":"x.example","PathPrefix":"/report/","RouteType":"safe",
  "Timeout":"9000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2}],
 "Services":[{"Name":"rooms","Sharded":true},{"Name":"ledger"}],
 "Tenants":[{"Name":"band","ApiKeys":["key"],"RatePerS":1000,"Burst":1000},
            {"Name":"small","ApiKeys":["low"],"RatePerS":1,"Burst":2}]})";

/// Four servers, "rooms-1" and "rooms-2" with keys, "ledger-1" and "ledger-2" without, and VMs that
/// route requests to them. Servers are numbered in this order, VMs in the order of their start.
class GatewayDeployment
{
public:
    using Vm = Gateway<platform::PlatformTraits>;

    /// @param vmPrefix beginning of the VMs' names, which decide what each is responsible for
    /// @param trialShare as in GatewaySettings; roll-outs are off without it
    explicit GatewayDeployment(int vms, milliseconds gracePeriod = milliseconds(6000),
                               std::string vmPrefix = "vm-", double trialShare = 0.0);

    /// Runs the loop until a condition holds. Returns whether it held within the limit.
    auto runUntil(const std::function<bool()> &condition, milliseconds limit = milliseconds(8000))
        -> bool;

    /// Sends a request and waits for the response.
    auto send(std::size_t vm, HttpRequest request) -> HttpOutcome;
    /// Sends a request without waiting for the response.
    auto start(std::size_t vm, HttpRequest request, HttpClient::Callback callback) -> void;
    /// Starts long requests. The outcomes are filled in as they are answered.
    auto startReports(std::size_t vm, std::size_t count)
        -> std::shared_ptr<std::vector<std::optional<HttpOutcome>>>;
    /// Returns a request of a team that may use all routes.
    [[nodiscard]] auto request(const std::string &method, const std::string &target,
                               const std::string &id, const std::string &key = "key") const
        -> HttpRequest;
    /// Returns whether a VM serves a GET of a target before long.
    auto serves(std::size_t vm, const std::string &target) -> bool;
    /// Repeats an attempt until it succeeds. The attempt may run the loop.
    auto eventually(const std::function<bool()> &attempt, milliseconds limit = milliseconds(8000))
        -> bool;
    auto runFor(milliseconds span) -> void;

    /// Returns the loop on which everything runs.
    auto loop() -> EventLoop &
    {
        return m_loop;
    }
    [[nodiscard]] auto callers(std::size_t vm) const -> const SocketAddress &;
    auto store() -> PlatformStore &;
    auto server(std::size_t index) -> PlatformServer &;
    /// Returns a VM; a test may destroy it, as a crash would.
    auto vm(std::size_t index) -> std::unique_ptr<Vm> &;
    /// Starts a further VM.
    auto startVm() -> void;
    /// Lets a server announce that it is draining, now and from now on.
    auto drain(std::size_t index) -> void;

private:
    struct AnnouncedServer
    {
        std::unique_ptr<PlatformServer> server;
        std::string id;
        std::string service;
        bool draining = false;
    };

    static auto succeeds(const std::function<Result<void>()> &attempt) -> bool;

    auto freeAddress() -> SocketAddress;

    auto addServer(const std::string &id, const std::string &service, bool keyed) -> void;

    auto announce() -> void;

    EventLoop m_loop;
    PlatformStore m_store{m_loop};
    std::vector<AnnouncedServer> m_servers;
    milliseconds m_gracePeriod;
    std::string m_vmPrefix;
    double m_trialShare = 0.0;
    Timer m_announceTimer;
    HttpClient m_client;
    std::vector<SocketAddress> m_callers;
    std::vector<std::unique_ptr<Vm>> m_vms;
    int m_sequence = 0;
    int m_number = 1;
};

/// Returns the status of a response; 0 if the connection ended without one.
[[nodiscard]] auto statusOf(const std::optional<HttpOutcome> &outcome) -> int;

} // namespace figlanding::standins
