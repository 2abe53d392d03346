#include "stage.h"

/// @file
/// Case: a machine is stopped with SIGTERM while consumers await a download. A further safe request
/// that they send behind it makes the machine reset the connection within the answer.

using namespace stage;

namespace {

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"pull","Hostname":"x.example","PathPrefix":"/pull/","RouteType":"download",
  "Timeout":"6000ms","TargetLatency":"1500ms","Service":"media","Attempts":2,"Priority":2},
 {"Name":"read","Hostname":"x.example","PathPrefix":"/read/","RouteType":"safe",
  "Timeout":"4000ms","TargetLatency":"1000ms","Service":"media","Attempts":2,"Priority":2}],
 "Services":[{"Name":"media","HealthCheckPath":"/healthz","MaxConnections":550,
  "WarmupPerS":4.8,"Warmup":"3000ms"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
  "IdleTimeout":"15000ms"},
 "Tenants":[{"Name":"band","ApiKeys":["key-of-band"],"RatePerS":1000,"Burst":1000}]})";

constexpr auto consumers = 12;
constexpr std::size_t downloadBytes = 540'000; ///< the largest downloads of the sites
constexpr std::int64_t workMs = 700;
/// DEPLOY.md: "Links have a delay, a bandwidth ... and small windows". 16 KiB in 3 ms are 44
/// Mbit/s, and a download takes about 0.1 s.
constexpr int windowBytes = 65'536;
constexpr std::int64_t pauseMs = 3;

// Runs a download and answers with a long body of known length.
auto answerDownload(Upstream &upstream, int fd, const Message &request) -> bool
{
    if (!request.target().starts_with("/pull/")
        || request.header("x-expect-instance") != upstream.options().id) {
        return false;
    }
    const auto id = request.header("x-request-id");
    note(upstream.options().id + " runs " + id);
    sleepMs(workMs);
    const auto sent = sendAll(
        fd,
        response(200, "X-Request-Id: " + id + "\r\nX-Upstream-Signature: sig." + id + "\r\n",
                 std::string(downloadBytes, 'p')));
    note(upstream.options().id + " has answered " + id + (sent ? "" : ", but was cut off"));
    return true;
}

/// What a consumer saw of its download.
struct Seen
{
    int status = 0;
    std::size_t bytes = 0;
    bool whole = false;
    bool reset = false;
};

} // namespace

auto main(int, char **argv) -> int
{
    const auto run = CaseRun(argv[1]);
    auto store = Store();
    store.put("keyed.op", "config", configuration);
    auto upstreams = std::vector<std::unique_ptr<Upstream>>{};
    auto pointers = std::vector<Upstream *>{};
    for (auto i = 0; i < 8; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(
            UpstreamOptions{.id = "i-" + std::to_string(i), .service = "media"}, answerDownload));
        pointers.push_back(upstreams.back().get());
    }
    auto zones = std::vector<std::string>{};
    for (auto i = 0; i < 8; ++i) {
        zones.emplace_back(i % 2 == 0 ? "kochi-a" : "kochi-b");
    }
    auto registrar = Registrar(store, pointers, zones);
    auto router = Router(run.folder(), "edge-kochi-a-1", "kochi-a", store.port());
    if (!router.awaitReady()) {
        run.finish(2, "the process did not become ready");
    }
    sleepMs(1000);
    auto seen = std::array<Seen, consumers>{};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < consumers; ++i) {
        threads.emplace_back([&, i] {
            auto connection = connectTo(router.callers, windowBytes);
            auto reader = Reader(connection.fd());
            reader.setPause(pauseMs);
            const auto number = std::to_string(i);
            // A first request, so that the connection is a kept one.
            sendAll(connection.fd(), requestHead("GET", "/read/1", "a" + number, 4000, "\r\n"));
            auto first = reader.readHead(4000);
            if (!first || !reader.readBody(*first, true, 4000) || first->status() != 200) {
                return;
            }
            sendAll(connection.fd(), requestHead("GET", "/pull/1", "d" + number, 6000, "\r\n"));
            note("download d" + number + " is sent");
            sleepMs(400);
            sendAll(connection.fd(), requestHead("GET", "/read/1", "b" + number, 4000, "\r\n"));
            note("request b" + number + " is sent behind it");
            auto head = reader.readHead(6000);
            if (head) {
                auto &result = seen.at(static_cast<std::size_t>(i));
                result.whole = reader.readBody(*head, true, 6000);
                result = {.status = head->status(),
                          .bytes = head->body.size(),
                          .whole = result.whole,
                          .reset = reader.wasReset()};
            }
        });
    }
    sleepMs(300);
    if (isTroubled()) {
        note("SIGTERM");
        router.signal(SIGTERM);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    auto whole = 0;
    auto cut = 0;
    for (auto i = 0; i < consumers; ++i) {
        const auto &result = seen.at(static_cast<std::size_t>(i));
        note("download d" + std::to_string(i) + " got status " + std::to_string(result.status)
             + " and " + std::to_string(result.bytes) + " bytes of " + std::to_string(downloadBytes)
             + (result.reset ? ", then a reset" : ""));
        whole += result.whole && result.status == 200 && result.bytes == downloadBytes ? 1 : 0;
        cut += result.status == 200 && !result.whole ? 1 : 0;
    }
    if (whole + cut < consumers) {
        run.finish(2, "not all downloads were answered");
    }
    router.kill();
    run.finish(cut > 0 ? 1 : 0,
               "of " + std::to_string(consumers) + " downloads " + std::to_string(whole)
                   + " arrived whole, " + std::to_string(cut)
                   + " ended with their connection before their end");
}
