#include "gateway/key_controller_runner.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

const auto service = ServiceId("rooms");

// Appends everything, and elects the member that joins while it is told to.
class ElectingStore
{
public:
    explicit ElectingStore(EventLoop &loop)
        : m_timer(loop, [this] { runCallbacks(); })
    {
        m_timer.startRepeating(milliseconds(2));
    }
    auto append(const AppendRequest &request, std::function<void(Settled<LogOffset>)> callback)
        -> void
    {
        m_callbacks.push_back([request, callback = std::move(callback)] {
            callback(
                settle([&]() -> Result<LogOffset> { return request.expectedEnd.value_or(0); }));
        });
    }
    auto joinGroup(const GroupRequest & /*request*/, std::function<void(Settled<bool>)> callback)
        -> void
    {
        m_callbacks.push_back([this, callback = std::move(callback)] {
            callback(settle([&]() -> Result<bool> { return elects; }));
        });
    }
    auto leaveGroup(const GroupRequest & /*request*/) -> void
    { }
    auto read(const ReadRequest & /*request*/,
              const std::function<void(Settled<KeyedPage>)> & /*callback*/) -> void
    { }
    auto readNewest(const NewestRequest & /*request*/,
                    const std::function<void(Settled<KeyedSnapshot>)> & /*callback*/) -> void
    { }

    bool elects = true;

private:
    auto runCallbacks() -> void
    {
        for (const auto &callback : std::exchange(m_callbacks, {})) {
            callback();
        }
    }

    Timer m_timer;
    std::vector<std::function<void()>> m_callbacks;
};

struct AcceptingSender
{
    auto grant(const GrantCommand & /*command*/, milliseconds /*lease*/, milliseconds /*timeout*/,
               const std::function<void(CommandOutcome)> &callback) -> void
    {
        ++grants;
        callback(CommandOutcome::Accepted);
    }
    auto release(const ReleaseCommand & /*command*/, milliseconds /*timeout*/,
                 const std::function<void(CommandOutcome, std::string)> &callback) -> void
    {
        callback(CommandOutcome::Accepted, "token");
    }

    int grants = 0;
};

} // namespace

TEST_CASE("a controller that is elected no more stops to renew unless it reads the ownership topic")
{
    auto loop = EventLoop();
    auto store = ElectingStore(loop);
    auto sender = AcceptingSender();
    auto registry = ServerRegistry();
    registry.announce({.id = BackendServerId("s"), .startedUnixMs = 1, .service = service},
                      loop.now());
    const auto options = withMaxLease({.self = VmId("vm"), .incarnation = "1"}, milliseconds(600));
    auto runner = KeyControllerRunner<ElectingStore, AcceptingSender>(
        loop, store, sender,
        {.controller = options, .topic = "t", .joinInterval = milliseconds(50)},
        {.isCandidate = [] { return true; },
         .onProgress = [] {},
         .onAppended = [](const KeyedRecord &) {}});
    runner.start();
    runner.onView({});
    const auto loads = std::map<ServiceId, std::vector<float>>{};
    const auto serviceTimes = std::map<BackendServerId, milliseconds>{};
    auto ticker = Timer(loop, [&] {
        runner.tick({.registry = registry,
                     .keyedServices = {service},
                     .loads = loads,
                     .serviceTimes = serviceTimes});
    });
    ticker.startRepeating(milliseconds(10));
    const auto grantsWithin = [&](milliseconds span) {
        const auto before = sender.grants;
        auto timer = Timer(loop, [&] { loop.stop(); });
        timer.startOnce(span);
        loop.run();
        return sender.grants - before;
    };
    CHECK(grantsWithin(milliseconds(2000)) > 2);
    store.elects = false;
    auto reader = Timer(loop, [&] { runner.onOwnershipRead(loop.now()); });
    reader.startRepeating(milliseconds(50));
    CHECK(grantsWithin(milliseconds(1500)) > 2);
    reader.stop();
    grantsWithin(options.controllerLease + milliseconds(200));
    CHECK(grantsWithin(milliseconds(600)) == 0);
}
