#include "daemon/hand_over_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlanding {

namespace {

using nlohmann::json;

constexpr std::uint64_t maxCount = 1'000'000;
constexpr std::uint64_t maxRemainingUs = 3'600'000'000; // one hour

auto invalidField(const char *field) -> boost::leaf::error_id
{
    return fail(ErrorCode::ProtocolViolation,
                std::string("field \"") + field + "\" of a hand-over is missing or invalid");
}

auto countField(const json &body, const char *name, std::uint64_t limit) -> Result<std::uint64_t>
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned()
        || found->get<std::uint64_t>() > limit) {
        return invalidField(name);
    }
    return found->get<std::uint64_t>();
}

auto textField(const json &body, const char *name) -> Result<std::string>
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string()) {
        return invalidField(name);
    }
    return found->get<std::string>();
}

} // namespace

auto encodeHandOver(const ServerHandOver &message, TimePoint now) -> std::string
{
    const auto &handOver = message.handOver;
    const auto remaining =
        std::chrono::duration_cast<microseconds>(handOver.latestEnd - now).count();
    return json{{"server", message.server.value()},
                {"running", handOver.running},
                {"remaining_us", std::max<std::int64_t>(0, remaining)},
                {"limit", handOver.limit},
                {"boot_id", handOver.bootId}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decodeHandOver(std::string_view text, TimePoint now) -> Result<ServerHandOver>
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return fail(ErrorCode::ProtocolViolation, "a hand-over is not a JSON object");
    }
    BOOST_LEAF_AUTO(server, textField(body, "server"));
    BOOST_LEAF_AUTO(running, countField(body, "running", maxCount));
    BOOST_LEAF_AUTO(remaining, countField(body, "remaining_us", maxRemainingUs));
    BOOST_LEAF_AUTO(limit, countField(body, "limit", maxCount));
    BOOST_LEAF_AUTO(bootId, textField(body, "boot_id"));
    return ServerHandOver{.server = BackendServerId(std::move(server)),
                          .handOver = {.running = static_cast<std::uint32_t>(running),
                                       .latestEnd = now + microseconds(remaining),
                                       .limit = static_cast<std::uint32_t>(limit),
                                       .bootId = std::move(bootId)}};
}

} // namespace figlanding
