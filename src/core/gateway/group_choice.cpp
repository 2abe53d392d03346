#include "figlanding/gateway/group_choice.h"

#include "core/duration_conversions.h"

#include <algorithm>
#include <random>

namespace figlanding {

namespace {

// Requests that must end before the group accepts one more; below zero if slots are free.
auto backlog(const GroupReport &report) -> double
{
    return static_cast<double>(report.room.waiting) + report.sentSince - report.room.freeSlots;
}

auto requestsPerMs(const GroupReport &report) -> double
{
    constexpr auto msPerSecond = 1000.0;
    return report.room.requestsPerSecond / msPerSecond;
}

} // namespace

GroupChoice::GroupChoice(const GroupChoiceOptions &options)
    : m_options(options)
{ }

auto GroupChoice::onRoom(const ServiceId &group, const GroupRoom &room, TimePoint now) -> void
{
    m_reports[group] = {.room = room, .receivedAt = now};
}

auto GroupChoice::onSent(const ServiceId &group) -> void
{
    if (const auto found = m_reports.find(group); found != m_reports.end()) {
        found->second.sentSince += 1;
    }
}

auto GroupChoice::expire(TimePoint now) -> void
{
    std::erase_if(m_reports, [&](const auto &item) {
        return now - item.second.receivedAt > m_options.roomLifetime;
    });
}

auto GroupChoice::choose(const std::vector<ServiceId> &groups, TimePoint now,
                         RandomEngine &random) const -> ServiceId
{
    return draw(candidates(groups, now).all, random);
}

auto GroupChoice::chooseForWaiting(const ServiceId &present, const std::vector<ServiceId> &groups,
                                   TimePoint now, RandomEngine &random) const
    -> std::optional<ServiceId>
{
    const auto *report = findRecent(present, now);
    const auto waitMs = report == nullptr ? 0.0 : reportedWaitMs(*report);
    if (waitMs <= 0.0) {
        return std::nullopt;
    }
    const auto known = candidates(groups, now);
    const auto earlier = earlierThan(waitMs, present, known);
    // All requests of the queue come to the same conclusion.
    const auto excess = 1.0 - std::max(0.0, known.meanWaitMs) / waitMs;
    if (earlier.empty() || std::uniform_real_distribution<double>()(random) >= excess) {
        return std::nullopt;
    }
    return draw(earlier, random);
}

auto GroupChoice::chooseForRefused(const ServiceId &present, const std::vector<ServiceId> &groups,
                                   TimePoint now, RandomEngine &random) const
    -> std::optional<ServiceId>
{
    const auto *report = findRecent(present, now);
    if (report == nullptr) {
        return std::nullopt;
    }
    const auto earlier = earlierThan(reportedWaitMs(*report), present, candidates(groups, now));
    return earlier.empty() ? std::nullopt : std::optional(draw(earlier, random));
}

auto GroupChoice::draw(const std::vector<Candidate> &from, RandomEngine &random) const -> ServiceId
{
    auto rates = std::vector<double>{};
    for (const auto &candidate : from) {
        rates.push_back(candidate.rate);
    }
    auto index = std::discrete_distribution<std::size_t>(rates.begin(), rates.end());
    const auto *best = &from.at(index(random));
    for (std::size_t drawn = 1; drawn < m_options.candidates; ++drawn) {
        const auto &other = from.at(index(random));
        best = other.waitMs < best->waitMs ? &other : best;
    }
    return best->group;
}

auto GroupChoice::findRecent(const ServiceId &group, TimePoint now) const -> const GroupReport *
{
    const auto found = m_reports.find(group);
    return found == m_reports.end() || now - found->second.receivedAt > m_options.roomLifetime
        ? nullptr
        : &found->second;
}

auto GroupChoice::reportedWaitMs(const GroupReport &report) const -> double
{
    const auto rate = requestsPerMs(report);
    return rate > 0.0 ? backlog(report) / rate : toMilliseconds(m_options.waitWithoutServers);
}

// Groups without a recent report count as the mean of the others.
auto GroupChoice::candidates(const std::vector<ServiceId> &groups, TimePoint now) const
    -> Candidates
{
    auto result = Candidates{};
    auto totalRate = 0.0;
    auto totalBacklog = 0.0;
    auto recent = std::size_t{0};
    for (const auto &group : groups) {
        result.all.push_back({.group = group});
        const auto *report = findRecent(group, now);
        if (report == nullptr) {
            continue;
        }
        ++recent;
        totalRate += requestsPerMs(*report);
        totalBacklog += report->room.requestsPerSecond > 0.0 ? backlog(*report) : 0.0;
    }
    if (totalRate <= 0.0) {
        return result;
    }
    result.meanWaitMs = totalBacklog / totalRate;
    const auto halfWeightMs = toMilliseconds(m_options.halfWeightAge);
    for (auto &candidate : result.all) {
        candidate.rate = totalRate / static_cast<double>(recent);
        candidate.waitMs = result.meanWaitMs;
        if (const auto *report = findRecent(candidate.group, now)) {
            const auto ageMs = toMilliseconds(now - report->receivedAt);
            const auto weight = halfWeightMs / (halfWeightMs + ageMs);
            const auto difference = reportedWaitMs(*report) - result.meanWaitMs;
            candidate.rate = requestsPerMs(*report);
            candidate.waitMs += difference * weight;
        }
    }
    return result;
}

// Returns the groups in which a request is served clearly earlier than after @p waitMs.
auto GroupChoice::earlierThan(double waitMs, const ServiceId &present,
                              const Candidates &known) const -> std::vector<Candidate>
{
    auto result = std::vector<Candidate>{};
    for (const auto &candidate : known.all) {
        const auto there = std::max(0.0, candidate.waitMs);
        const auto earlier = there <= waitMs * m_options.maxWaitRatio
            && waitMs - there >= toMilliseconds(m_options.minGain);
        if (earlier && candidate.rate > 0.0 && candidate.group != present) {
            result.push_back(candidate);
        }
    }
    return result;
}

} // namespace figlanding
