#include "figlanding/codec.h"

#include "json_fields.h"
#include "variant_tools.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using Json = nlohmann::json;

constexpr auto adminStates = std::to_array<EnumText<AdminState>>({
    {AdminState::Active, "active"},
    {AdminState::Leaving, "leaving"},
});
constexpr auto serviceModes = std::to_array<EnumText<ServiceMode>>({
    {ServiceMode::Exclusive, "exclusive"},
    {ServiceMode::Pool, "pool"},
});
constexpr auto keySources = std::to_array<EnumText<KeySource>>({
    {KeySource::PathSegment, "path"},
    {KeySource::Header, "header"},
});

} // namespace

// The templates of FieldReader find these overloads by argument-dependent lookup, which searches
// the namespace of the enumeration, hence they are not in the unnamed namespace.
static auto readValue(const Json &json, AdminState &value) -> ReadFailure
{
    return readEnum(json, adminStates, value);
}

static auto readValue(const Json &json, ServiceMode &value) -> ReadFailure
{
    return readEnum(json, serviceModes, value);
}

static auto readValue(const Json &json, KeySource &value) -> ReadFailure
{
    return readEnum(json, keySources, value);
}

namespace {

auto specOf(const AvailabilityZone &zone) -> Json
{
    return {{"state", enumText(adminStates, zone.state)}};
}

auto specOf(const BackendServer &server) -> Json
{
    return {{"zone", server.zone.value()},
            {"address", toText(server.address)},
            {"state", enumText(adminStates, server.state)},
            {"slots", server.slots},
            {"max_connections", server.maxConnections},
            {"weight", server.weight},
            {"checks_fence", server.checksFence}};
}

auto specOf(const Team &team) -> Json
{
    return {{"rate_per_second", team.ratePerSecond}, {"burst", team.burst}};
}

auto specOf(const TeamKey &key) -> Json
{
    return {{"team", key.team.value()}, {"salt", key.saltHex}, {"digest", key.digestHex}};
}

auto specOf(const Service &service) -> Json
{
    return {{"mode", enumText(serviceModes, service.mode)},
            {"servers", service.servers.toText()},
            {"shard_count", service.shardCount}};
}

auto specOf(const Route &route) -> Json
{
    return {{"path_prefix", route.pathPrefix},
            {"service", route.service.value()},
            {"key_source", enumText(keySources, route.keySource)},
            {"open", route.open},
            {"timeout_ms", route.timeout.count()}};
}

auto specOf(const Policy &policy) -> Json
{
    return {{"routes", policy.routes.toText()},      {"teams", policy.teams.toText()},
            {"team_keys", policy.teamKeys.toText()}, {"servers", policy.servers.toText()},
            {"zones", policy.zones.toText()},        {"deny", policy.deny}};
}

auto specOf(const RoutingKey &key) -> Json
{
    return {{"servers", key.servers.toText()}};
}

auto readSpec(FieldReader &spec, AvailabilityZone &zone) -> void
{
    spec.optional("state", zone.state);
}

auto readSpec(FieldReader &spec, BackendServer &server) -> void
{
    spec.required("zone", server.zone)
        .required("address", server.address)
        .optional("state", server.state)
        .optional("slots", server.slots)
        .optional("max_connections", server.maxConnections)
        .optional("weight", server.weight)
        .optional("checks_fence", server.checksFence);
}

auto readSpec(FieldReader &spec, Team &team) -> void
{
    spec.required("rate_per_second", team.ratePerSecond).required("burst", team.burst);
}

auto readSpec(FieldReader &spec, TeamKey &key) -> void
{
    spec.required("team", key.team).required("salt", key.saltHex).required("digest", key.digestHex);
}

auto readSpec(FieldReader &spec, Service &service) -> void
{
    spec.required("mode", service.mode)
        .optional("servers", service.servers)
        .optional("shard_count", service.shardCount);
}

auto readSpec(FieldReader &spec, Route &route) -> void
{
    spec.required("path_prefix", route.pathPrefix)
        .required("service", route.service)
        .optional("key_source", route.keySource)
        .optional("open", route.open)
        .optional("timeout_ms", route.timeout);
}

auto readSpec(FieldReader &spec, Policy &policy) -> void
{
    spec.optional("routes", policy.routes)
        .optional("teams", policy.teams)
        .optional("team_keys", policy.teamKeys)
        .optional("servers", policy.servers)
        .optional("zones", policy.zones)
        .optional("deny", policy.deny);
}

auto readSpec(FieldReader &spec, RoutingKey &key) -> void
{
    spec.optional("servers", key.servers);
}

template <typename Object>
auto setName(Object &object, const std::string &name) -> void
{
    object.id = decltype(object.id)(name);
}

auto setName(RoutingKey &key, const std::string &name) -> void
{
    const auto slash = name.find('/');
    key.service = ServiceId(name.substr(0, slash));
    key.key = slash == std::string::npos ? std::string{} : name.substr(slash + 1);
}

auto readKind(const Json &json, ObjectKind &kind) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = figlanding::readValue(json, text)) {
        return failure;
    }
    return failureOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(kind, parseObjectKind(text));
        return {};
    });
}

auto readSpecOf(const Json &json, DeclaredObject &object) -> Result<void>
{
    auto reader = FieldReader(json, "spec");
    std::visit([&](auto &value) { readSpec(reader, value); }, object);
    return reader.finish();
}

} // namespace

auto toJson(const DeclaredObject &object) -> Json
{
    const auto ref = refOf(object);
    return {{"kind", toText(ref.kind)},
            {"name", ref.name},
            {"labels", labelsOf(object)},
            {"spec", std::visit([](const auto &value) { return specOf(value); }, object)}};
}

auto objectFromJson(const Json &json) -> Result<DeclaredObject>
{
    auto ref = ObjectRef{};
    auto labels = Labels{};
    auto reader = FieldReader(json, "");
    reader.read("kind", true, [&](const Json &field) { return readKind(field, ref.kind); })
        .required("name", ref.name)
        .optional("labels", labels)
        .read("spec", false, [](const Json &) { return ReadFailure{}; });
    BOOST_LEAF_CHECK(reader.finish());
    auto object = defaultAlternative<DeclaredObject>(static_cast<std::size_t>(ref.kind));
    BOOST_LEAF_CHECK(readSpecOf(json.value("spec", Json::object()), object));
    std::visit([&](auto &value) { setName(value, ref.name); }, object);
    object = withLabels(std::move(object), std::move(labels));
    BOOST_LEAF_CHECK(checkObject(object));
    return object;
}

} // namespace figlanding
