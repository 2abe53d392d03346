#pragma once

#include "figlanding/clock.h"
#include "figlanding/gateway/slot_types.h"
#include "figlanding/names.h"
#include "figlanding/random.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Chooses the server group in which a request without a key asks for a slot.
///
/// What a VM knows of a group is a little old, and many VMs choose at the same moment. Each VM
/// therefore compares only a few groups that it draws at random, so that no group is the choice of
/// all, and relies the less on a report the older it is.

namespace figlanding {

/// Settings of GroupChoice.
struct GroupChoiceOptions
{
    std::size_t candidates = 2; ///< groups that are compared for a request
    /// A report of this age counts half, a mean of all groups for the rest: queues change within
    /// the time that a few requests take.
    milliseconds halfWeightAge{200};
    milliseconds roomLifetime{5000}; ///< a report older than this is forgotten
    milliseconds waitWithoutServers{2000}; ///< expected wait in a group without usable servers
    /// A request leaves a queue only if it is expected to wait at most this part of the time
    /// elsewhere.
    double maxWaitRatio = 0.5;
    milliseconds minGain{40}; ///< and only if that saves at least this much

    auto operator==(const GroupChoiceOptions &) const -> bool = default;
};

/// What a VM knows of a group.
struct GroupReport
{
    GroupRoom room;
    TimePoint receivedAt;
    std::uint32_t sentSince = 0; ///< requests that this VM sent to the group since then

    auto operator==(const GroupReport &) const -> bool = default;
};

/// The groups of all services as one VM knows them.
class GroupChoice
{
public:
    explicit GroupChoice(const GroupChoiceOptions &options);

    /// Takes over what a group's broker tells.
    auto onRoom(const ServiceId &group, const GroupRoom &room, TimePoint now) -> void;
    /// Counts a request that this VM sends to a group. It counts as waiting there until the group's
    /// next report.
    auto onSent(const ServiceId &group) -> void;
    /// Forgets old reports.
    auto expire(TimePoint now) -> void;

    /// Returns the group for a new request. Without any knowledge, each is equally likely.
    /// @param groups all groups of a service; at least one
    [[nodiscard]] auto choose(const std::vector<ServiceId> &groups, TimePoint now,
                              RandomEngine &random) const -> ServiceId;
    /// Returns the group to which a request should move that waits in @p present, or nothing if it
    /// should stay. Of the requests in a queue that is longer than the others, only as many move as
    /// exceed the mean.
    [[nodiscard]] auto chooseForWaiting(const ServiceId &present,
                                        const std::vector<ServiceId> &groups, TimePoint now,
                                        RandomEngine &random) const -> std::optional<ServiceId>;
    /// Returns the group that may serve a request that @p present refused, or nothing if none is
    /// known to have more room.
    [[nodiscard]] auto chooseForRefused(const ServiceId &present,
                                        const std::vector<ServiceId> &groups, TimePoint now,
                                        RandomEngine &random) const -> std::optional<ServiceId>;

    /// Returns the latest report of each group.
    [[nodiscard]] auto reports() const -> const std::map<ServiceId, GroupReport> &
    {
        return m_reports;
    }

private:
    // A group at the moment of a choice. A wait below zero is the time for which its free slots
    // last.
    struct Candidate
    {
        ServiceId group;
        double rate = 1.0; ///< requests completed per millisecond; probability of being drawn
        double waitMs = 0.0;
    };
    struct Candidates
    {
        std::vector<Candidate> all;
        double meanWaitMs = 0.0;
    };

    [[nodiscard]] auto candidates(const std::vector<ServiceId> &groups, TimePoint now) const
        -> Candidates;
    [[nodiscard]] auto findRecent(const ServiceId &group, TimePoint now) const
        -> const GroupReport *;
    [[nodiscard]] auto reportedWaitMs(const GroupReport &report) const -> double;
    [[nodiscard]] auto earlierThan(double waitMs, const ServiceId &present,
                                   const Candidates &known) const -> std::vector<Candidate>;
    // Returns the one with the shortest wait among a few candidates drawn in proportion to their
    // rates.
    [[nodiscard]] auto draw(const std::vector<Candidate> &from, RandomEngine &random) const
        -> ServiceId;

    GroupChoiceOptions m_options;
    std::map<ServiceId, GroupReport> m_reports;
};

} // namespace figlanding
