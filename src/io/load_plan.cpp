#include "io/load_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figlanding {

namespace {

/// Request shares of the preset teams. They are skewed: two of the eight teams send 55 % of all
/// requests.
constexpr std::array teamShares = {0.30, 0.25, 0.12, 0.10, 0.08, 0.07, 0.05, 0.03};

auto presetTeams() -> std::vector<LoadTeam>
{
    auto teams = std::vector<LoadTeam>{};
    for (std::size_t index = 0; index < teamShares.size(); ++index) {
        const auto name = std::string("team-").append(std::to_string(index + 1));
        teams.push_back({.name = name,
                         .credential = std::string(name).append("-key.load-secret-").append(name),
                         .share = teamShares.at(index)});
    }
    return teams;
}

auto lavallejaProfile() -> LoadProfile
{
    return {.name = "lavalleja",
            .routes = {{.name = "lessons", .pathPrefix = "/lessons", .share = 0.55, .keys = 2000},
                       {.name = "bookings",
                        .method = "POST",
                        .pathPrefix = "/bookings",
                        .share = 0.20,
                        .keys = 1000},
                       {.name = "archive",
                        .pathPrefix = "/archive",
                        .share = 0.25,
                        .keys = 500,
                        .open = true}},
            .teams = presetTeams()};
}

auto reykjavikProfile() -> LoadProfile
{
    return {.name = "reykjavik",
            .routes = {{.name = "rooms", .pathPrefix = "/rooms", .share = 0.65, .keys = 400},
                       {.name = "ledger",
                        .method = "POST",
                        .pathPrefix = "/ledger",
                        .share = 0.15,
                        .keys = 400},
                       {.name = "documents",
                        .pathPrefix = "/documents",
                        .share = 0.20,
                        .keys = 1000,
                        .zipfExponent = 0.8}},
            .teams = presetTeams()};
}

auto zipfWeights(const LoadRoute &route) -> std::vector<double>
{
    auto weights = std::vector<double>{};
    for (std::size_t rank = 1; rank <= route.keys; ++rank) {
        weights.push_back(std::pow(static_cast<double>(rank), -route.zipfExponent));
    }
    return weights;
}

template <typename Item>
auto sharesOf(const std::vector<Item> &items) -> std::vector<double>
{
    auto shares = std::vector<double>{};
    for (const auto &item : items) {
        shares.push_back(item.share);
    }
    return shares;
}

} // namespace

auto loadPreset(std::string_view name) -> Result<LoadProfile>
{
    if (name == "lavalleja") {
        return lavallejaProfile();
    }
    if (name == "reykjavik") {
        return reykjavikProfile();
    }
    return fail(ErrorCode::NotFound,
                "load preset \"" + std::string(name) + "\"; available are lavalleja and reykjavik");
}

WeightedChoice::WeightedChoice(const std::vector<double> &weights)
{
    auto sum = 0.0;
    for (const auto weight : weights) {
        sum += weight;
        m_cumulative.push_back(sum);
    }
}

auto WeightedChoice::choose(double unit) const -> std::size_t
{
    const auto found =
        std::upper_bound(m_cumulative.begin(), m_cumulative.end(), unit * m_cumulative.back());
    const auto index = static_cast<std::size_t>(found - m_cumulative.begin());
    return std::min(index, m_cumulative.size() - 1);
}

LoadPlan::LoadPlan(LoadProfile profile, double ratePerSecond, std::uint64_t seed)
    : m_profile(std::move(profile))
    , m_rate(ratePerSecond)
    , m_random(seed)
    , m_routes(sharesOf(m_profile.routes))
    , m_teams(sharesOf(m_profile.teams))
{
    for (const auto &route : m_profile.routes) {
        m_keys.emplace_back(zipfWeights(route));
    }
}

auto LoadPlan::next() -> PlannedRequest
{
    m_seconds += -std::log1p(-drawUniform()) / m_rate;
    const auto route = m_routes.choose(drawUniform());
    const auto team = m_teams.choose(drawUniform());
    const auto key = m_keys.at(route).choose(drawUniform());
    return {.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_seconds)),
            .number = ++m_number,
            .route = route,
            .team = team,
            .key = std::string("k").append(std::to_string(key))};
}

auto LoadPlan::drawUniform() -> double
{
    // Built from 53 bits of the generator, because the sequence of std::uniform_real_distribution
    // differs between standard libraries.
    constexpr auto bits = 53;
    constexpr auto wordBits = 64;
    return std::ldexp(static_cast<double>(m_random() >> (wordBits - bits)), -bits);
}

} // namespace figlanding
