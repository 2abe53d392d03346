#include "figlanding/sharding.h"
#include "ownership_model.h"

#include <utility>

namespace figlanding::explorer {

namespace {

// Appends a record and the state after it.
auto appendRecord(History &history, RecordPayload payload) -> void
{
    const auto offset = history.tail() + 1;
    const auto record = LogRecord{
        .offset = offset,
        .record = {.id = {.writer = "test", .sequence = offset}, .payload = std::move(payload)}};
    history.states.push_back(
        std::make_shared<const ClusterState>(apply(*history.states.back(), record)));
}

auto initialObjects() -> ConfigChange
{
    auto change = ConfigChange{.author = "ann"};
    const auto declare = [&](DeclaredObject object) {
        auto ref = refOf(object);
        change.changes.push_back({.ref = std::move(ref), .object = std::move(object)});
    };
    const auto zone = AvailabilityZoneId("a");
    declare(AvailabilityZone{.id = zone});
    std::uint16_t port = 1;
    for (const auto *name : {"old", "new"}) {
        declare(BackendServer{.id = BackendServerId(name),
                              .zone = zone,
                              .address = {.ip = "127.0.0.1", .port = port++}});
    }
    declare(Service{.id = serviceName(), .mode = ServiceMode::Exclusive, .shardCount = 1});
    return change;
}

} // namespace

auto vmName(std::size_t index) -> VmId
{
    return VmId(std::string("vm-").append(std::to_string(index)));
}

auto incarnationName(int number) -> std::string
{
    return std::string("i").append(std::to_string(number));
}

auto serviceName() -> ServiceId
{
    return ServiceId("rooms");
}

auto startHistory(std::size_t members) -> std::shared_ptr<const History>
{
    auto history = std::make_shared<History>();
    history->states.push_back(std::make_shared<const ClusterState>());
    appendRecord(*history, initialObjects());
    appendRecord(*history, TermClaim{.term = 1, .vm = vmName(0)});
    for (std::size_t vm = 0; vm < members; ++vm) {
        auto join = MemberChange{.term = 1, .join = true, .zone = AvailabilityZoneId("a")};
        join.vm = vmName(vm);
        join.incarnation = incarnationName(0);
        appendRecord(*history, std::move(join));
    }
    const auto move = Move{.shard = 0, .to = BackendServerId("old")};
    appendRecord(*history, BeginMoves{.term = 1, .service = serviceName(), .moves = {move}});
    appendRecord(*history,
                 CommitMoves{.term = 1, .service = serviceName(), .begin = history->tail()});
    return history;
}

auto extend(const std::shared_ptr<const History> &history, const std::string &name,
            RecordPayload payload) -> std::shared_ptr<const History>
{
    auto &next = history->next[name];
    if (!next) {
        auto longer = std::make_shared<History>();
        longer->states = history->states;
        longer->text = history->text + ' ' + name;
        appendRecord(*longer, std::move(payload));
        next = std::move(longer);
    }
    return next;
}

} // namespace figlanding::explorer
