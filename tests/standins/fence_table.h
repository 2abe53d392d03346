#pragma once

#include "figlanding/clock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

/// @file
/// Lease and shard grants of a backend server that checks fencing tokens.

namespace figlanding::standins {

/// Decides for which shards and isolated keys a server may execute requests.
class FenceTable
{
public:
    /// Renews the lease until a point in time.
    /// @param offset log offset up to which the sender of the lease has applied records
    /// @return false, with nothing changed, if @p offset is lower than one seen before
    auto renewLease(std::uint64_t offset, TimePoint until) -> bool;
    /// Grants shards and isolated keys.
    /// @param command object with the fields "service", "fence", "shards" and "keys"
    /// @return false, with nothing changed, if the fence is lower than one seen for any of them
    auto grant(const nlohmann::json &command) -> bool;
    /// Revokes shards and isolated keys; parameter and result are those of grant().
    auto revoke(const nlohmann::json &command) -> bool;
    /// Returns whether a request may run: the lease is valid and the shard is granted under exactly
    /// this fence.
    /// @param shard index, or "key:" and the isolated key
    [[nodiscard]] auto allows(const std::string &service, const std::string &shard,
                              std::uint64_t fence, TimePoint now) const -> bool;

private:
    struct Entry
    {
        std::uint64_t fence = 0;
        bool granted = false;
    };

    auto change(const nlohmann::json &command, bool granted) -> bool;

    std::uint64_t m_leaseOffset = 0;
    TimePoint m_leaseUntil;
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

} // namespace figlanding::standins
