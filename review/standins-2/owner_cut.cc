#include "stage.h"

/// @file
/// Case: an upstream in a zone that is partitioned from the others, by a cut that
/// refuses connections, still holds its keys when they are given to another upstream.

using namespace stage;

namespace {

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"lookup","Hostname":"x.example","PathPrefix":"/lookup/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"300ms","Service":"agenda","Attempts":2,"Priority":2}],
 "Services":[{"Name":"agenda","Sharded":true,"HealthCheckPath":"/healthz","MaxConnections":120,
  "WarmupPerS":4.8,"Warmup":"3000ms"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"5s","IdleTimeout":"30s"},
 "Tenants":[{"Name":"band","ApiKeys":["key-of-band"],"RatePerS":1000,"Burst":1000}]})";

constexpr auto upstreamCount = 5;
constexpr auto inZoneC = 3; ///< the one upstream of the zone that is cut; no machine is in it
constexpr std::int64_t cutMs = 5000; ///< default of for_s in `fleetbench kinds`
constexpr std::int64_t boundMs = 500; ///< OWNER: over half a second

} // namespace

auto main(int, char **argv) -> int
{
    const auto run = CaseRun(argv[1]);
    auto store = Store();
    store.put("keyed.op", "config", configuration);
    auto upstreams = std::vector<std::unique_ptr<Upstream>>{};
    auto pointers = std::vector<Upstream *>{};
    auto zones = std::vector<std::string>{};
    for (auto i = 0; i < upstreamCount; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(
            UpstreamOptions{.id = "i-" + std::to_string(i), .service = "agenda", .sharded = true}));
        pointers.push_back(upstreams.back().get());
        zones.emplace_back(i == inZoneC ? "sierra-c" : i % 2 == 0 ? "sierra-a" : "sierra-b");
    }
    auto registrar = Registrar(store, pointers, zones);
    auto first = Router(run.folder(), "edge-sierra-a-1", "sierra-a", store.port());
    auto second = Router(run.folder(), "edge-sierra-b-1", "sierra-b", store.port());
    const auto isServed = [&](int key) {
        const auto text = requestHead("GET", "/lookup/1", "probe" + std::to_string(nowMs()), 2000,
                                      "X-Shard-Key: " + std::to_string(key) + "\r\n\r\n");
        return ask(second.callers, text, 2500).status() == 200;
    };
    if (!first.awaitReady() || !second.awaitReady()) {
        run.finish(2, "the processes did not become ready");
    }
    constexpr auto key = 40'000;
    for (const auto due = nowMs() + 15'000; !isServed(key); sleepMs(100)) {
        if (nowMs() > due) {
            run.finish(2, "the key is not served");
        }
    }
    for (auto &upstream : upstreams) {
        upstream->watch(key);
    }
    sleepMs(6000); // several renewals, so that the holds of the watched key are known
    auto *owner = static_cast<Upstream *>(nullptr);
    for (auto *upstream : pointers) {
        owner = upstream->holds(key) ? upstream : owner;
    }
    if (owner != pointers.at(inZoneC) || owner->holdsOfWatched().empty()) {
        run.finish(2, "the upstream of zone sierra-c does not hold the key");
    }
    note("the owner of key 40000 is " + owner->options().id);
    // The cut begins shortly before a renewal is due, which comes each 1.9 s.
    while (nowMs() - owner->holdsOfWatched().back().from < 1600
           || nowMs() - owner->holdsOfWatched().back().from > 1700) {
        sleepMs(2);
    }
    if (isTroubled()) {
        note("zone sierra-c, with " + owner->options().id
             + ", is cut off from the others: connections are reset and refused");
        registrar.setCut(*owner, true);
        owner->cut();
    }
    const auto cutEnd = nowMs() + cutMs;
    auto served = 0;
    for (auto number = 0; nowMs() < cutEnd; ++number, sleepMs(100)) {
        const auto id = "r" + std::to_string(number);
        const auto text = requestHead("GET", "/lookup/1", id, 2000,
                                      "X-Shard-Key: " + std::to_string(key) + "\r\n\r\n");
        const auto status = ask(second.callers, text, 2500).status();
        served += status == 200 ? 1 : 0;
        note("request " + id + " is answered " + std::to_string(status));
    }
    if (isTroubled()) {
        owner->heal();
        registrar.setCut(*owner, false);
        note("end of the cut");
    }
    // A hold ends where the next grant of the same upstream begins, or when its time is over.
    auto longest = std::int64_t{0};
    auto text = std::string{};
    for (auto *a : pointers) {
        for (auto *b : pointers) {
            if (a == b) {
                continue;
            }
            for (const auto &x : a->holdsOfWatched()) {
                for (const auto &y : b->holdsOfWatched()) {
                    const auto both =
                        std::min({x.until, y.until, nowMs()}) - std::max(x.from, y.from);
                    if (both > longest) {
                        longest = both;
                        text = a->options().id + " holds it by fence " + std::to_string(x.fence)
                            + " from " + std::to_string(x.from) + " to " + std::to_string(x.until)
                            + " ms, " + b->options().id + " by fence " + std::to_string(y.fence)
                            + " from " + std::to_string(y.from) + " ms";
                    }
                }
            }
        }
    }
    if (first.ended() || second.ended()) {
        run.finish(2, "a process has ended");
    }
    const auto summary = "key 40000 was held by two upstreams for " + std::to_string(longest)
        + " ms; " + text + "; " + std::to_string(served) + " requests served";
    first.kill();
    second.kill();
    run.finish(longest > boundMs ? 1 : 0, summary);
}
