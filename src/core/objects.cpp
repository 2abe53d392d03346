#include "figlanding/objects.h"

#include "text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace figlanding {

namespace {

constexpr auto kindNames = std::to_array<std::string_view>({
    "AvailabilityZone",
    "BackendServer",
    "Team",
    "TeamKey",
    "Service",
    "Route",
    "Policy",
    "RoutingKey",
});
static_assert(kindNames.size() == std::variant_size_v<DeclaredObject>);

auto invalidAddress(std::string_view text) -> boost::leaf::error_id
{
    return fail(ErrorCode::InvalidSyntax, quoted(text) + " is not \"ip:port\" or \"[ipv6]:port\"");
}

// Returns the canonical text form of an IP address, or an empty text if it is invalid.
auto canonicalIp(int family, const std::string &ip) -> std::string
{
    auto bytes = std::array<unsigned char, sizeof(in6_addr)>{};
    if (inet_pton(family, ip.c_str(), bytes.data()) != 1) {
        return {};
    }
    auto text = std::array<char, INET6_ADDRSTRLEN>{};
    const auto *const written =
        inet_ntop(family, bytes.data(), text.data(), static_cast<socklen_t>(text.size()));
    return written == nullptr ? std::string{} : std::string(written);
}

auto parsePort(std::string_view text) -> std::uint16_t
{
    auto port = std::uint16_t{0};
    const auto *const end = text.data() + text.size();
    const auto [stopped, status] = std::from_chars(text.data(), end, port);
    return status == std::errc{} && stopped == end ? port : std::uint16_t{0};
}

auto nameOf(const RoutingKey &key) -> std::string
{
    return key.service.value() + "/" + key.key;
}

template <typename Object>
auto nameOf(const Object &object) -> std::string
{
    return object.id.value();
}

} // namespace

auto parseSocketAddress(std::string_view text) -> Result<SocketAddress>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return invalidAddress(text);
    }
    auto host = text.substr(0, colon);
    const auto bracketed = host.front() == '[' && host.back() == ']' && host.size() > 2;
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    auto address =
        SocketAddress{.ip = canonicalIp(bracketed ? AF_INET6 : AF_INET, std::string(host)),
                      .port = parsePort(text.substr(colon + 1))};
    if (address.ip.empty() || address.port == 0) {
        return invalidAddress(text);
    }
    return address;
}

auto toText(const SocketAddress &address) -> std::string
{
    const auto isIpv6 = address.ip.find(':') != std::string::npos;
    auto text = std::string(isIpv6 ? "[" : "");
    text += address.ip;
    text += isIpv6 ? "]:" : ":";
    return text + std::to_string(address.port);
}

auto toText(ObjectKind kind) -> std::string_view
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

auto parseObjectKind(std::string_view text) -> Result<ObjectKind>
{
    const auto *const found = std::find(kindNames.begin(), kindNames.end(), text);
    if (found == kindNames.end()) {
        return fail(ErrorCode::InvalidValue, "unknown kind " + quoted(text));
    }
    return static_cast<ObjectKind>(found - kindNames.begin());
}

auto refOf(const DeclaredObject &object) -> ObjectRef
{
    return {.kind = static_cast<ObjectKind>(object.index()),
            .name = std::visit([](const auto &value) { return nameOf(value); }, object)};
}

auto toText(const ObjectRef &ref) -> std::string
{
    return std::string(toText(ref.kind)) + " " + quoted(ref.name);
}

auto labelsOf(const DeclaredObject &object) -> const Labels &
{
    return std::visit([](const auto &value) -> const Labels & { return value.labels; }, object);
}

auto withLabels(DeclaredObject object, Labels labels) -> DeclaredObject
{
    std::visit([&](auto &value) { value.labels = std::move(labels); }, object);
    return object;
}

} // namespace figlanding
