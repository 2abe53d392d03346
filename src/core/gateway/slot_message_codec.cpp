#include "core/gateway/slot_message_codec.h"

#include "core/gateway/fleet_codec.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace figlanding::fleet_codec {

using nlohmann::json;

auto toJson(const SlotAcquire &message) -> json
{
    auto excluded = json::array();
    for (const auto &server : message.excluded) {
        excluded.push_back(server.value());
    }
    return {static_cast<int>(Kind::Acquire),
            message.ticket,
            message.service.value(),
            message.owner.value(),
            std::move(excluded),
            message.priority,
            message.zone.value(),
            message.waited.count(),
            message.objectiveIn.count(),
            message.deadlineIn.count(),
            message.route.value()};
}

auto toJson(const SlotResponse &message) -> json
{
    auto result = json{static_cast<int>(Kind::Response),
                       message.ticket,
                       static_cast<int>(message.state),
                       message.server.server.value(),
                       message.server.startedUnixMs,
                       message.retryAfter.count(),
                       message.process};
    if (message.room) {
        result.push_back(toJson(*message.room));
    }
    return result;
}

auto toJson(const GroupRoom &room) -> json
{
    return {room.freeSlots, room.waiting, toFloatPrecision(room.requestsPerSecond)};
}

// Earlier releases expect a load in front of what follows it. A server has at least one slot, so a
// load without slots stands for none.
auto toJson(const SlotRelease &message) -> json
{
    auto result = json{static_cast<int>(Kind::Release), message.ticket,
                       static_cast<int>(message.end), message.elapsed.count()};
    if (message.load || message.terms) {
        const auto load = message.load.value_or(LoadReport{.slots = 0});
        result.push_back({load.running, load.waiting, load.slots, load.slowness});
    }
    if (message.terms) {
        auto terms = json::array();
        if (const auto limit = message.terms->requestsPerSecond) {
            terms.push_back(toFloatPrecision(*limit));
        }
        result.push_back(std::move(terms));
        if (message.terms->leaving) {
            result.push_back(true);
        }
    }
    return result;
}

auto decodeAcquire(const json &fields) -> Result<SlotAcquire>
{
    BOOST_LEAF_AUTO(waited, decodeDuration(fields.at(7), "waited", requestTimeBounds));
    BOOST_LEAF_AUTO(objectiveIn,
                    decodeDuration(fields.at(8), "time to objective", requestTimeLeftBounds));
    BOOST_LEAF_AUTO(deadlineIn,
                    decodeDuration(fields.at(9), "time to deadline", requestTimeLeftBounds));
    auto message = SlotAcquire{.ticket = fields.at(1).get<std::uint64_t>(),
                               .service = ServiceId(fields.at(2).get<std::string>()),
                               .owner = BackendServerId(fields.at(3).get<std::string>()),
                               .priority = fields.at(5).get<std::uint32_t>(),
                               .zone = AvailabilityZoneId(fields.at(6).get<std::string>()),
                               .waited = waited,
                               .objectiveIn = objectiveIn,
                               .deadlineIn = deadlineIn};
    for (const auto &server : fields.at(4)) {
        message.excluded.emplace_back(server.get<std::string>());
    }
    constexpr auto routeField = std::size_t{10}; // VMs of earlier releases omit it
    if (fields.size() > routeField) {
        message.route = RouteId(fields.at(routeField).get<std::string>());
    }
    return message;
}

auto decodeGroupRoom(const json &fields) -> Result<GroupRoom>
{
    const auto rate = fields.at(2).get<double>();
    if (!std::isfinite(rate) || rate < 0.0) {
        return fail(ErrorCode::InvalidValue,
                    "rate of a group out of range: " + fields.at(2).dump());
    }
    return GroupRoom{.freeSlots = fields.at(0).get<std::uint32_t>(),
                     .waiting = fields.at(1).get<std::uint32_t>(),
                     .requestsPerSecond = rate};
}

auto decodeResponse(const json &fields) -> Result<SlotResponse>
{
    BOOST_LEAF_AUTO(retryAfter, decodeDuration(fields.at(5), "retry after", requestTimeBounds));
    auto message =
        SlotResponse{.ticket = fields.at(1).get<std::uint64_t>(),
                     // VMs of earlier releases omit it.
                     .process = fields.size() > 6 ? fields.at(6).get<std::string>() : std::string{},
                     .state = static_cast<SlotState>(fields.at(2).get<int>()),
                     .server = {.server = BackendServerId(fields.at(3).get<std::string>()),
                                .startedUnixMs = fields.at(4).get<std::int64_t>()},
                     .retryAfter = retryAfter};
    constexpr auto roomField = std::size_t{7}; // only where a service has several groups
    if (fields.size() > roomField) {
        BOOST_LEAF_AUTO(room, decodeGroupRoom(fields.at(roomField)));
        message.room = room;
    }
    return message;
}

auto decodeRelease(const json &fields) -> Result<SlotRelease>
{
    BOOST_LEAF_AUTO(elapsed, decodeDuration(fields.at(3), "elapsed", requestTimeBounds));
    auto message = SlotRelease{.ticket = fields.at(1).get<std::uint64_t>(),
                               .end = static_cast<SlotEnd>(fields.at(2).get<int>()),
                               .elapsed = elapsed};
    if (fields.size() > 4 && fields.at(4).at(2).get<std::uint32_t>() > 0) {
        const auto &load = fields.at(4);
        message.load = LoadReport{.running = load.at(0).get<std::uint32_t>(),
                                  .waiting = load.at(1).get<std::uint32_t>(),
                                  .slots = load.at(2).get<std::uint32_t>(),
                                  .slowness = load.at(3).get<double>()};
    }
    if (fields.size() > 5) {
        const auto &terms = fields.at(5);
        message.terms = ServerTerms{};
        if (!terms.empty()) {
            message.terms->requestsPerSecond = terms.at(0).get<double>();
        }
        constexpr auto leavingField = std::size_t{6}; // VMs of earlier releases omit it
        message.terms->leaving =
            fields.size() > leavingField && fields.at(leavingField).get<bool>();
    }
    return message;
}

} // namespace figlanding::fleet_codec
