#include "daemon/token_message.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace figlanding {

namespace {

using nlohmann::json;

auto parseObject(std::string_view text) -> Result<json>
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return fail(ErrorCode::ProtocolViolation, "a token message is not a JSON object");
    }
    return body;
}

auto teamOf(const json &body) -> Result<TeamId>
{
    const auto found = body.find("team");
    if (found == body.end() || !found->is_string()) {
        return fail(ErrorCode::ProtocolViolation,
                    "field \"team\" of a token message is not a string");
    }
    return TeamId(found->get<std::string>());
}

auto countOf(const json &body, const char *name, std::uint64_t limit) -> Result<std::uint64_t>
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned()
        || found->get<std::uint64_t>() > limit) {
        return fail(ErrorCode::ProtocolViolation,
                    std::string("field \"") + name + "\" of a token message is not a count");
    }
    return found->get<std::uint64_t>();
}

constexpr std::uint64_t maxTokens = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maxDurationUs = 3'600'000'000; // one hour

auto toMicroseconds(Duration duration) -> std::int64_t
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<microseconds>(duration).count());
}

} // namespace

auto encodeTokenRequest(const TeamTokenRequest &message) -> std::string
{
    return json{{"team", message.team.value()},
                {"sequence", message.tokenRequest.sequence},
                {"needed", message.tokenRequest.needed},
                {"wanted", message.tokenRequest.wanted}}
        .dump();
}

auto decodeTokenRequest(std::string_view text) -> Result<TeamTokenRequest>
{
    BOOST_LEAF_AUTO(body, parseObject(text));
    TeamTokenRequest message;
    BOOST_LEAF_ASSIGN(message.team, teamOf(body));
    BOOST_LEAF_ASSIGN(message.tokenRequest.sequence,
                      countOf(body, "sequence", std::numeric_limits<std::uint64_t>::max()));
    BOOST_LEAF_AUTO(needed, countOf(body, "needed", maxTokens));
    BOOST_LEAF_AUTO(wanted, countOf(body, "wanted", maxTokens));
    message.tokenRequest.needed = static_cast<std::uint32_t>(needed);
    message.tokenRequest.wanted = static_cast<std::uint32_t>(wanted);
    return message;
}

auto encodeTokenGrant(const TokenGrant &grant) -> std::string
{
    return json{{"sequence", grant.sequence},
                {"tokens", grant.tokens},
                {"open", grant.open},
                {"lifetime_us", toMicroseconds(grant.lifetime)},
                {"retry_after_us", toMicroseconds(grant.retryAfter)}}
        .dump();
}

auto decodeTokenGrant(std::string_view text) -> Result<TokenGrant>
{
    BOOST_LEAF_AUTO(body, parseObject(text));
    TokenGrant grant;
    BOOST_LEAF_ASSIGN(grant.sequence,
                      countOf(body, "sequence", std::numeric_limits<std::uint64_t>::max()));
    BOOST_LEAF_AUTO(tokens, countOf(body, "tokens", maxTokens));
    BOOST_LEAF_AUTO(lifetime, countOf(body, "lifetime_us", maxDurationUs));
    BOOST_LEAF_AUTO(retryAfter, countOf(body, "retry_after_us", maxDurationUs));
    const auto open = body.find("open");
    if (open == body.end() || !open->is_boolean()) {
        return fail(ErrorCode::ProtocolViolation,
                    "field \"open\" of a token message is missing or not a boolean");
    }
    grant.open = open->get<bool>();
    grant.tokens = static_cast<std::uint32_t>(tokens);
    grant.lifetime = microseconds(lifetime);
    grant.retryAfter = microseconds(retryAfter);
    return grant;
}

auto encodeTokenHandOver(const TeamTokenHandOver &message) -> std::string
{
    return json{{"team", message.team.value()},
                {"epoch", message.handOver.epoch},
                {"tokens", message.handOver.tokens}}
        .dump();
}

auto decodeTokenHandOver(std::string_view text) -> Result<TeamTokenHandOver>
{
    BOOST_LEAF_AUTO(body, parseObject(text));
    TeamTokenHandOver message;
    BOOST_LEAF_ASSIGN(message.team, teamOf(body));
    BOOST_LEAF_ASSIGN(message.handOver.epoch,
                      countOf(body, "epoch", std::numeric_limits<std::uint64_t>::max()));
    const auto tokens = body.find("tokens");
    if (tokens == body.end() || !tokens->is_number() || tokens->get<double>() < 0.0) {
        return fail(ErrorCode::ProtocolViolation,
                    "field \"tokens\" of a token hand-over is missing, not a number or negative");
    }
    message.handOver.tokens = tokens->get<double>();
    return message;
}

} // namespace figlanding
