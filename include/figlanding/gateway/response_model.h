#pragma once

#include <cstdint>
#include <vector>

/// @file
/// Expected response times of a server, by its utilisation.

namespace figlanding {

/// Mean waits of requests that arrive at random at a server with some slots and one queue.
///
/// Uses the approximation of Sakasegawa for M/G/c queues. Times are in mean service times of the
/// server, and a utilisation is its load divided by the load at which its slots are always busy.
/// Above a utilisation of 0.9, the length of the queue is continued as a parabola: within seconds a
/// queue does not become as long as it would in the end, and planning needs finite values there.
class ResponseModel
{
public:
    /// @param slots number of requests that the server runs concurrently, at least 1
    /// @param variation squared coefficient of variation of its service times
    ResponseModel(std::uint32_t slots, double variation);

    /// Returns the mean number of requests at the server, divided by its slots.
    [[nodiscard]] auto requestsPerSlot(double utilisation) const -> double;
    /// Returns the mean time for which a request waits for a slot.
    [[nodiscard]] auto wait(double utilisation) const -> double;
    /// Returns by how much the response times of all requests together grow with one request more.
    /// It increases with the utilisation, from 1.
    [[nodiscard]] auto marginalResponse(double utilisation) const -> double;
    /// Returns the utilisation, from 0 to 2, at which marginalResponse() is @p marginal.
    [[nodiscard]] auto utilisationAt(double marginal) const -> double;

private:
    double m_exponent; ///< of the utilisation
    double m_waitFactor;
    std::vector<double> m_marginals; ///< by utilisation, in constant steps
};

} // namespace figlanding
