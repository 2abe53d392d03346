#include "figlanding/objects.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

auto isNameCharacter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.';
}

auto invalidValue(std::string detail) -> boost::leaf::error_id
{
    return fail(ErrorCode::InvalidValue, std::move(detail));
}

// Returns InvalidValue unless min <= value <= max.
template <typename Number>
auto checkRange(std::string_view field, Number value, Number min, Number max) -> Result<void>
{
    if (value < min || value > max) {
        return invalidValue(std::string(field) + " is " + std::to_string(value) + ", allowed are "
                            + std::to_string(min) + " to " + std::to_string(max));
    }
    return {};
}

auto checkHex(std::string_view field, std::string_view text, std::size_t minBytes) -> Result<void>
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() < 2 * minBytes || text.size() % 2 != 0
        || !std::all_of(text.begin(), text.end(), isHex)) {
        return invalidValue(std::string(field) + " must be at least " + std::to_string(minBytes)
                            + " bytes in lower-case hex");
    }
    return {};
}

auto checkFields(const AvailabilityZone &zone) -> Result<void>
{
    return checkName("zone", zone.id.value());
}

auto checkFields(const BackendServer &server) -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("server", server.id.value()));
    BOOST_LEAF_CHECK(checkName("zone", server.zone.value()));
    BOOST_LEAF_AUTO(address, parseSocketAddress(toText(server.address)));
    if (address != server.address) {
        return invalidValue("address \"" + toText(server.address) + "\" should be written \""
                            + toText(address) + "\"");
    }
    BOOST_LEAF_CHECK(checkRange("slots", server.slots, 1U, maxSlots));
    BOOST_LEAF_CHECK(checkRange("max_connections", server.maxConnections, 1U, maxConnectionLimit));
    return checkRange("weight", server.weight, 0U, maxWeight);
}

auto checkFields(const Team &team) -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("team", team.id.value()));
    if (!std::isfinite(team.ratePerSecond) || !std::isfinite(team.burst)) {
        return invalidValue("rate_per_second and burst must be finite");
    }
    BOOST_LEAF_CHECK(checkRange("rate_per_second", team.ratePerSecond, 0.0, maxRatePerSecond));
    return checkRange("burst", team.burst, 0.0, maxRatePerSecond);
}

auto checkFields(const TeamKey &key) -> Result<void>
{
    constexpr auto minSaltBytes = std::size_t{8};
    constexpr auto digestBytes = std::size_t{32};
    BOOST_LEAF_CHECK(checkName("team key", key.id.value()));
    BOOST_LEAF_CHECK(checkName("team", key.team.value()));
    BOOST_LEAF_CHECK(checkHex("salt", key.saltHex, minSaltBytes));
    BOOST_LEAF_CHECK(checkHex("digest", key.digestHex, digestBytes));
    return checkRange<std::size_t>("bytes of digest", key.digestHex.size() / 2, digestBytes,
                                   digestBytes);
}

auto checkFields(const Service &service) -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("service", service.id.value()));
    return checkRange("shard_count", service.shardCount, 1U, maxShardCount);
}

auto checkFields(const Route &route) -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("route", route.id.value()));
    BOOST_LEAF_CHECK(checkName("service", route.service.value()));
    const auto isPathCharacter = [](char c) {
        return c > ' ' && c < '\x7f' && c != '?' && c != '#';
    };
    const auto &prefix = route.pathPrefix;
    if (!prefix.starts_with('/') || !std::all_of(prefix.begin(), prefix.end(), isPathCharacter)) {
        return invalidValue("path_prefix \"" + prefix
                            + "\" must start with '/' and hold no space, '?' or '#'");
    }
    return checkRange<std::int64_t>("timeout_ms", route.timeout.count(), 1, maxTimeout.count());
}

auto checkFields(const Policy &policy) -> Result<void>
{
    return checkName("policy", policy.id.value());
}

auto checkFields(const RoutingKey &key) -> Result<void>
{
    BOOST_LEAF_CHECK(checkName("service", key.service.value()));
    return checkRoutingKeyText(key.key);
}

} // namespace

auto checkName(std::string_view subject, std::string_view name) -> Result<void>
{
    if (name.empty() || name.size() > maxNameBytes
        || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return invalidValue("name of " + std::string(subject) + " \"" + std::string(name)
                            + "\" must be 1 to " + std::to_string(maxNameBytes)
                            + " letters, digits, '-', '_' or '.'");
    }
    return {};
}

auto checkRoutingKeyText(std::string_view key) -> Result<void>
{
    const auto isPrintable = [](char c) { return c > ' ' && c < '\x7f'; };
    if (key.empty() || key.size() > maxRoutingKeyBytes
        || !std::all_of(key.begin(), key.end(), isPrintable)) {
        return invalidValue("a routing key must be 1 to " + std::to_string(maxRoutingKeyBytes)
                            + " printable ASCII characters");
    }
    return {};
}

auto checkObject(const DeclaredObject &object) -> Result<void>
{
    BOOST_LEAF_CHECK(checkLabels(labelsOf(object)));
    return std::visit([](const auto &value) { return checkFields(value); }, object);
}

} // namespace figlanding
