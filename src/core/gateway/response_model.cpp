#include "figlanding/gateway/response_model.h"

#include <algorithm>
#include <cmath>

namespace figlanding {

namespace {

constexpr double longestQueueUtilisation = 0.9; ///< above it the queue is a parabola
constexpr double minUtilisation = 1e-6; ///< below it nothing waits
constexpr double largestUtilisation = 2.0; ///< of the table
constexpr double tableStep = 0.01;

} // namespace

ResponseModel::ResponseModel(std::uint32_t slots, double variation)
    : m_exponent(std::sqrt(2.0 * (slots + 1.0)))
    , m_waitFactor((1.0 + variation) / (2.0 * slots))
{
    const auto steps = static_cast<int>(std::lround(largestUtilisation / tableStep));
    for (auto i = 0; i <= steps; ++i) {
        m_marginals.push_back(marginalResponse(i * tableStep));
    }
}

auto ResponseModel::requestsPerSlot(double utilisation) const -> double
{
    const auto known = std::clamp(utilisation, 0.0, longestQueueUtilisation);
    const auto idle = 1.0 - known;
    const auto waiting = m_waitFactor * std::pow(known, m_exponent) / idle;
    const auto beyond = std::max(0.0, utilisation - known);
    const auto slope = (marginalResponse(known + beyond) + marginalResponse(known)) / 2.0;
    return known + waiting + slope * beyond;
}

auto ResponseModel::wait(double utilisation) const -> double
{
    return utilisation < minUtilisation
        ? 0.0
        : std::max(0.0, requestsPerSlot(utilisation) / utilisation - 1.0);
}

auto ResponseModel::marginalResponse(double utilisation) const -> double
{
    const auto known = std::clamp(utilisation, 0.0, longestQueueUtilisation);
    const auto idle = 1.0 - known;
    const auto power = std::pow(known, m_exponent);
    const auto firstDerivative = m_exponent * std::pow(known, m_exponent - 1.0);
    const auto marginal = 1.0 + m_waitFactor * (firstDerivative / idle + power / (idle * idle));
    if (utilisation <= longestQueueUtilisation) {
        return marginal;
    }
    const auto secondDerivative =
        m_exponent * (m_exponent - 1.0) * std::pow(known, m_exponent - 2.0);
    const auto slope = m_waitFactor
        * (secondDerivative / idle + 2.0 * firstDerivative / (idle * idle)
           + 2.0 * power / (idle * idle * idle));
    return marginal + slope * (utilisation - known);
}

auto ResponseModel::utilisationAt(double marginal) const -> double
{
    const auto above = std::lower_bound(m_marginals.begin(), m_marginals.end(), marginal);
    if (above == m_marginals.begin()) {
        return 0.0;
    }
    if (above == m_marginals.end()) {
        return largestUtilisation;
    }
    const auto below = above - 1;
    const auto step = static_cast<double>(below - m_marginals.begin());
    return tableStep * (step + (marginal - *below) / (*above - *below));
}

} // namespace figlanding
