#pragma once

#include "figlanding/gateway/key_ownership.h"
#include "figlanding/gateway/response_model.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

/// @file
/// Loads and expected response times of the servers that may own keys, while moves are planned.

namespace figlanding {

/// A candidate, and the load that it has after the moves planned so far.
struct CandidateRow
{
    const OwnerCandidate *candidate = nullptr;
    double load = 0.0;
    double variance = 0.0; ///< of the load as an estimate
    double keys = 0.0; ///< number of owned keys
    double target = 0.0; ///< load in the best placement
    bool cannotShedLoad = false; ///< no move away from this server would help
    bool isSettled = false; ///< its load is not clearly above its target
};

/// The rows of all candidates.
///
/// The best placement is the one in which a further request would add equally much to the response
/// times of all requests, whichever server gets it: a fast server then has more load than in
/// proportion to its capacity.
class CandidateLoads
{
public:
    /// Keeps references to all arguments.
    CandidateLoads(const OwnershipTable &table, std::span<const OwnerCandidate> candidates,
                   std::span<const float> loads, const KeyPlanOptions &options);

    [[nodiscard]] auto loadOf(ShardKey key) const -> double
    {
        return m_options.baseLoadPerKey + (m_loads.empty() ? 0.0 : m_loads[key]);
    }
    [[nodiscard]] auto loadOf(const KeyRange &keys) const -> double;
    /// Returns the row of a server, or null if it is no candidate.
    [[nodiscard]] auto find(const ServerIncarnation &incarnation) -> CandidateRow *;
    [[nodiscard]] auto rows() const -> const std::vector<CandidateRow> &
    {
        return m_rows;
    }
    /// Sets the targets of all rows. Rows that cannot shed load, and theirs, are left out.
    /// @param additional load that has no owner yet
    auto setTargets(double additional = 0.0) -> void;
    /// Moves the load of @p keys between two rows.
    auto move(const KeyRange &keys, CandidateRow &from, CandidateRow &to) -> void;

    /// Returns the candidate at which a further request would cost least; warm ones precede cold
    /// ones.
    [[nodiscard]] auto cheapest() -> CandidateRow &;
    /// Returns the row at which a further request costs most, among those that can still shed load
    /// and are not settled, or null.
    [[nodiscard]] auto dearest() -> CandidateRow *;
    /// Returns how many keys per capacity the warm servers have if all keys are spread evenly.
    [[nodiscard]] auto fairKeys() const -> double;
    /// Returns by how many milliseconds a further request at @p row would extend the response times
    /// of all requests, if the row had the load @p load.
    [[nodiscard]] auto marginalMs(const CandidateRow &row, double load) const -> double;
    /// Returns the mean time in milliseconds for which a request waits for a slot of @p row.
    [[nodiscard]] auto waitMs(const CandidateRow &row) const -> double;
    /// Returns the mean response time in milliseconds that each request of a load of @p load saves
    /// if it moves; negative if it loses time. Counts the other requests of both servers, too.
    [[nodiscard]] auto savedMs(const CandidateRow &from, const CandidateRow &to, double load) const
        -> double;

private:
    [[nodiscard]] auto varianceOf(const KeyRange &keys) const -> double;
    [[nodiscard]] auto fullLoad(const CandidateRow &row) const -> double;
    [[nodiscard]] static auto serviceMs(const CandidateRow &row) -> double;
    [[nodiscard]] auto modelOf(const CandidateRow &row) const -> const ResponseModel &;
    [[nodiscard]] auto queuedAt(const CandidateRow &row, double load) const -> double;
    [[nodiscard]] auto loadAt(const CandidateRow &row, double marginalMs, double utilisation) const
        -> double;

    std::span<const float> m_loads;
    const KeyPlanOptions &m_options;
    std::vector<double> m_sums; ///< total load of all keys before each key
    std::vector<double> m_variances; ///< the same for the variances of the loads
    std::vector<CandidateRow> m_rows;
    std::map<std::uint32_t, ResponseModel> m_models; ///< by number of slots
};

} // namespace figlanding
