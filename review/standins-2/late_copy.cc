#include "stage.h"

/// @file
/// Case: an upstream answers a renewal twice, the second time late, and takes the next renewal
/// late. The copy passes for the acceptance of that renewal, and two upstreams hold the key.

using namespace stage;

namespace {

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"lookup","Hostname":"x.example","PathPrefix":"/lookup/","RouteType":"safe",
  "Timeout":"2000ms","TargetLatency":"300ms","Service":"agenda","Attempts":2,"Priority":2}],
 "Services":[{"Name":"agenda","Sharded":true,"HealthCheckPath":"/healthz","MaxConnections":120,
  "WarmupPerS":4.8,"Warmup":"3000ms"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
  "IdleTimeout":"15000ms"},
 "Tenants":[{"Name":"band","ApiKeys":["key-of-band"],"RatePerS":1000,"Burst":1000}]})";

constexpr auto key = 40'000;
constexpr auto upstreamCount = 8; ///< scale_in takes a share of 0.13 at most: one of these
constexpr auto answersOfCopier = 34; ///< garble: one answer of these is 0.03
constexpr std::int64_t lateMs = 2500; ///< applied_late: 2 to 12 s later

/// What is to be done with the grants of the watched key at its owner.
enum class Step {
    None,
    Copy, ///< the next renewal is answered, and its answer is kept for a second time
    Late, ///< the renewal after it gets the copy, and is carried out late
    Done,
};

std::mutex stepMutex;
std::string owner;
auto step = Step::None;
int copiedConnection = -1;
std::uint64_t lateFence = 0;
std::int64_t lateTakenAt = -1;
std::atomic<bool> lateStarted{false};

auto handleGrant(Upstream &upstream, int fd, const Message &request) -> bool
{
    if (request.target() != "/api/grant" || upstream.options().id != owner) {
        return false;
    }
    const auto arrivedAt = nowMs();
    const auto body = json::parse(request.body);
    const std::lock_guard lock(stepMutex);
    if (body.at("From").get<int>() > key || body.at("To").get<int>() < key) {
        return false;
    }
    if (step == Step::Copy) {
        step = Step::Late;
        copiedConnection = fd;
        return false; // answered as usual
    }
    if (step != Step::Late || fd != copiedConnection) {
        return false;
    }
    step = Step::Done;
    lateFence = body.at("fence").get<std::uint64_t>();
    note(owner + " gets grant " + request.body
         + ", sends the answer to the grant before once more, and takes this one late");
    sendAll(fd, response(200, "", ""));
    std::thread([&upstream, body, arrivedAt] {
        sleepMs(lateMs);
        const auto status = upstream.take(body, arrivedAt);
        note(owner + " takes the late grant " + body.dump() + " -> " + std::to_string(status));
        if (status == 200) {
            lateTakenAt = nowMs();
        }
    }).detach();
    lateStarted = true;
    return true;
}

} // namespace

auto main(int, char **argv) -> int
{
    const auto run = CaseRun(argv[1]);
    auto store = Store();
    store.put("keyed.op", "config", configuration);
    auto upstreams = std::vector<std::unique_ptr<Upstream>>{};
    auto pointers = std::vector<Upstream *>{};
    for (auto i = 0; i < upstreamCount; ++i) {
        upstreams.push_back(std::make_unique<Upstream>(
            UpstreamOptions{.id = "i-" + std::to_string(i), .service = "agenda", .sharded = true},
            handleGrant));
        pointers.push_back(upstreams.back().get());
        pointers.back()->watch(key);
    }
    auto zones = std::vector<std::string>{};
    for (auto i = 0; i < upstreamCount; ++i) {
        zones.emplace_back(i % 2 == 0 ? "sierra-a" : "sierra-b");
    }
    auto registrar = Registrar(store, pointers, zones);
    auto router = Router(run.folder(), "edge-sierra-a-1", "sierra-a", store.port());
    if (!router.awaitReady()) {
        run.finish(2, "the process did not become ready");
    }
    auto stop = std::atomic<bool>{false};
    auto consumer = std::thread([&] {
        for (auto number = 0; !stop; ++number) {
            const auto text = requestHead("GET", "/lookup/1", "r" + std::to_string(number), 2000,
                                          "X-Shard-Key: " + std::to_string(key) + "\r\n\r\n");
            note("request r" + std::to_string(number) + " is answered "
                 + std::to_string(ask(router.callers, text, 2500).status()));
        }
    });
    sleepMs(8000); // some renewals
    auto *first = static_cast<Upstream *>(nullptr);
    for (auto *upstream : pointers) {
        first = upstream->holds(key) ? upstream : first;
    }
    if (first == nullptr) {
        run.finish(2, "no upstream holds the key");
    }
    note("the owner of the key is " + first->options().id);
    if (isTroubled()) {
        const std::lock_guard lock(stepMutex);
        owner = first->options().id;
        step = Step::Copy;
    }
    for (const auto due = nowMs() + 12'000; isTroubled() && !lateStarted && nowMs() < due;) {
        sleepMs(20);
    }
    if (isTroubled() && !lateStarted) {
        run.finish(2, "no renewal came on the connection with the copy");
    }
    const auto copiedAt = nowMs();
    sleepMs(200);
    note(first->options().id + " says that it is draining");
    registrar.drain(*first);
    sleepMs(6000);
    stop = true;
    consumer.join();
    const auto runs = first->runs();
    const auto answers = std::count_if(runs.begin(), runs.end(), [&](const auto &item) {
        return item.beganAt > copiedAt - 4000 && item.beganAt < copiedAt + 1000;
    });
    note(first->options().id + " gave " + std::to_string(answers)
         + " answers in the 5 s around it");
    if (isTroubled() && answers < answersOfCopier) {
        run.finish(2, "the upstream gave too few answers for one copy");
    }
    auto text = std::string("no late grant was taken");
    auto broken = false;
    if (lateTakenAt >= 0) {
        for (auto *upstream : pointers) {
            for (const auto &hold : upstream->holdsOfWatched()) {
                if (upstream != first && hold.fence > lateFence && hold.from < lateTakenAt) {
                    broken = true;
                    text = first->options().id + " took key 40000 at " + std::to_string(lateTakenAt)
                        + " ms with fence " + std::to_string(lateFence) + ", "
                        + upstream->options().id + " had it from " + std::to_string(hold.from)
                        + " ms with fence " + std::to_string(hold.fence);
                }
            }
        }
    }
    router.kill();
    run.finish(broken ? 1 : 0, text);
}
