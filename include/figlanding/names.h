#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// @file
/// Strongly typed names and counters. Names of different kinds neither compare nor convert.

namespace figlanding {

/// The name of an object of one kind.
/// @tparam Tag distinguishes the kinds; never defined
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    { }

    /// Returns the text of the name.
    [[nodiscard]] auto value() const -> const std::string &
    {
        return m_value;
    }
    /// Returns whether the name is unset, that is, empty.
    [[nodiscard]] auto empty() const -> bool
    {
        return m_value.empty();
    }

    auto operator<=>(const Name &) const = default;

private:
    std::string m_value;
};

using VmId = Name<struct VmTag>;
using BackendServerId = Name<struct BackendServerTag>;
using AvailabilityZoneId = Name<struct AvailabilityZoneTag>;
using TeamId = Name<struct TeamTag>;
using TeamKeyId = Name<struct TeamKeyTag>;
using ServiceId = Name<struct ServiceTag>;
using RouteId = Name<struct RouteTag>;
using PolicyId = Name<struct PolicyTag>;
/// Version of the software that a backend server runs.
using ServerVersion = Name<struct ServerVersionTag>;

/// Position of a record in the platform's log. The first record has offset 1; 0 means none.
using LogOffset = std::uint64_t;
/// Number of a controller's leadership term. 0 means that there was none yet.
using Term = std::uint64_t;
/// Fencing token of a shard: the offset of the record that granted the shard to its owner.
using FencingToken = LogOffset;
/// Index of a shard within its service.
using ShardIndex = std::uint32_t;

} // namespace figlanding

template <typename Tag>
struct std::hash<figlanding::Name<Tag>>
{
    auto operator()(const figlanding::Name<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(name.value());
    }
};
