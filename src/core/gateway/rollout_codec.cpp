#include "core/gateway/rollout_codec.h"

#include "core/gateway/fleet_codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace figlanding::fleet_codec {

namespace {

using nlohmann::json;

// Encodes the classes that have responses as pairs of class and number.
auto toPairs(const ResponseCounts &counts) -> json
{
    auto pairs = json::array();
    for (std::size_t i = 0; i < counts.successes.size(); ++i) {
        if (counts.successes.at(i) > 0) {
            pairs.push_back(json::array({i, counts.successes.at(i)}));
        }
    }
    return pairs;
}

auto decodeCounts(const json &row) -> Result<ResponseCounts>
{
    auto counts = ResponseCounts{.failures = row.at(2).get<std::uint32_t>()};
    for (const auto &pair : row.at(3)) {
        const auto index = pair.at(0).get<std::size_t>();
        if (index >= counts.successes.size()) {
            return fail(ErrorCode::InvalidValue, "unknown class of response times");
        }
        counts.successes.at(index) = pair.at(1).get<std::uint32_t>();
    }
    return counts;
}

} // namespace

auto toJson(const RolloutReport &message) -> json
{
    auto rows = json::array();
    for (const auto &[source, counts] : message.counts) {
        rows.push_back(json::array(
            {source.route.value(), source.server.value(), counts.failures, toPairs(counts)}));
    }
    return json::array({static_cast<int>(Kind::Rollout), message.service.value(), message.order,
                        message.revision, message.pendingAtOld, std::move(rows)});
}

auto decodeRolloutReport(const json &fields) -> Result<RolloutReport>
{
    auto message = RolloutReport{.service = ServiceId(fields.at(1).get<std::string>()),
                                 .order = fields.at(2).get<LogOffset>(),
                                 .revision = fields.at(3).get<std::uint64_t>(),
                                 .pendingAtOld = fields.at(4).get<std::uint32_t>()};
    for (const auto &row : fields.at(5)) {
        BOOST_LEAF_AUTO(counts, decodeCounts(row));
        message.counts[{.route = RouteId(row.at(0).get<std::string>()),
                        .server = BackendServerId(row.at(1).get<std::string>())}] = counts;
    }
    return message;
}

} // namespace figlanding::fleet_codec
