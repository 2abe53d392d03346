#pragma once

#include "figlanding/clock.h"
#include "figlanding/decaying.h"
#include "figlanding/names.h"
#include "figlanding/random.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// @file
/// Load balancing over the servers of a pool service: round robin, fewest requests in flight, and
/// latency-aware (power of two choices).

namespace figlanding {

/// Eligible servers of one request; never empty.
using PoolCandidates = std::span<const BackendServerId>;

/// Outcome of a request to a pool server, as observed by this VM.
struct PoolRequestResult
{
    TimePoint startedAt;
    bool failed = false; ///< no complete response, or one that reports an overloaded server

    auto operator==(const PoolRequestResult &) const -> bool = default;
};

/// A load balancing algorithm. Each VM has one instance per pool service.
template <typename Balancer>
concept PoolBalancer = requires(Balancer balancer, PoolCandidates candidates, RandomEngine &random,
                                const BackendServerId &server, const PoolRequestResult &end,
                                TimePoint now)
{
    // Returns the index of the selected candidate.
    {
        balancer.choose(candidates, random, now)
        } -> std::same_as<std::size_t>;
    balancer.onStart(server, now);
    balancer.onEnd(server, end, now);
};

/// Selects the candidates in rotation.
class RoundRobinBalancer
{
public:
    [[nodiscard]] auto choose(PoolCandidates candidates, RandomEngine &random, TimePoint now)
        -> std::size_t;
    void onStart(const BackendServerId &server, TimePoint now);
    void onEnd(const BackendServerId &server, const PoolRequestResult &end, TimePoint now);

private:
    std::size_t m_next = 0;
};

/// Selects the candidate with the fewest requests in flight from this VM; ties are broken at
/// random.
class LeastRequestsBalancer
{
public:
    [[nodiscard]] auto choose(PoolCandidates candidates, RandomEngine &random, TimePoint now)
        -> std::size_t;
    void onStart(const BackendServerId &server, TimePoint now);
    void onEnd(const BackendServerId &server, const PoolRequestResult &end, TimePoint now);

private:
    [[nodiscard]] auto inFlight(const BackendServerId &server) const -> std::uint32_t;

    std::unordered_map<BackendServerId, std::uint32_t> m_inFlight;
};

/// Settings of a LatencyAwareBalancer.
struct LatencyAwareOptions
{
    Duration timeConstant = seconds(5); ///< of the decaying latency average
    /// A server whose latency exceeds this multiple of the median is an outlier. Outliers are
    /// selected only if every candidate is one.
    double outlierFactor = 3.0;
    /// A failure is recorded with at least this multiple of the median as its latency.
    double failureFactor = 4.0;

    auto operator==(const LatencyAwareOptions &) const -> bool = default;
};

/// Samples two candidates at random and selects the one with the lower score (power of two
/// choices).
///
/// The score is the server's latency multiplied by its number of requests in flight plus one. The
/// latency is a peak-sensitive decaying average, which rises at once on a slow response, or the age
/// of the oldest request in flight if that is greater. The average decays while no responses
/// arrive, so that an outlier is probed again.
class LatencyAwareBalancer
{
public:
    explicit LatencyAwareBalancer(const LatencyAwareOptions &options = {});

    [[nodiscard]] auto choose(PoolCandidates candidates, RandomEngine &random, TimePoint now)
        -> std::size_t;
    void onStart(const BackendServerId &server, TimePoint now);
    void onEnd(const BackendServerId &server, const PoolRequestResult &end, TimePoint now);

private:
    struct ServerStats
    {
        DecayingAverage latency; ///< seconds
        std::vector<TimePoint> startedAt; ///< start times of the requests in flight
    };
    struct Estimate
    {
        double latency = 0.0; ///< seconds
        double score = 0.0; ///< latency multiplied by the requests in flight plus one
    };

    [[nodiscard]] auto statsOf(const BackendServerId &server) -> ServerStats &;
    [[nodiscard]] auto estimate(const ServerStats &stats, TimePoint now) const -> Estimate;
    // Returns an estimate for each candidate and updates m_median. Servers without samples are
    // assigned at least the median latency.
    [[nodiscard]] auto estimates(PoolCandidates candidates, TimePoint now) -> std::vector<Estimate>;

    LatencyAwareOptions m_options;
    std::unordered_map<BackendServerId, ServerStats> m_stats;
    /// Median latency of the candidates with samples at the last selection, in seconds.
    double m_median = 0.0;
};

static_assert(PoolBalancer<RoundRobinBalancer>);
static_assert(PoolBalancer<LeastRequestsBalancer>);
static_assert(PoolBalancer<LatencyAwareBalancer>);

} // namespace figlanding
