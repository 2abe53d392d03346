#include "figlanding/codec.h"
#include "figlanding/declarations.h"
#include "figlanding/selection.h"
#include "figlanding/snapshot.h"
#include "figlanding/team_key.h"
#include "random_records.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace figlanding;

namespace {

constexpr std::uint32_t mutationsPerSample = 2000;

// Applies one to four edits, each of which replaces, inserts, erases or duplicates bytes.
auto mutate(std::string text, RandomRecords &random) -> std::string
{
    for (auto edits = 1 + random.below(4); edits > 0; --edits) {
        const auto size = static_cast<std::uint32_t>(text.size());
        const auto at = random.below(size + 1);
        switch (random.below(4)) {
        case 0:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 1:
            text.erase(at, random.below(8));
            break;
        case 2:
            text.insert(at, text.substr(random.below(size + 1), random.below(32)));
            break;
        default:
            if (at < size) {
                text[at] = static_cast<char>(random.below(256));
            }
        }
    }
    return text;
}

// Calls @p decode with mutations of the samples. It must return a value or an error, and for every
// value @p roundTrips must hold: encoding and decoding it again yields an equal value.
template <typename Decode, typename Again>
auto fuzz(const std::vector<std::string> &samples, const Decode &decode, const Again &roundTrips)
    -> void
{
    auto random = RandomRecords(7);
    auto decoded = std::size_t{0};
    auto refused = std::size_t{0};
    for (const auto &sample : samples) {
        for (std::uint32_t round = 0; round < mutationsPerSample; ++round) {
            const auto result = settle([&] { return decode(mutate(sample, random)); });
            ++(result ? decoded : refused);
            if (result) {
                REQUIRE(roundTrips(result.value()));
            }
        }
    }
    MESSAGE(decoded << " decoded, " << refused << " rejected");
    CHECK(refused > 0);
}

auto recordFromText(const std::string &text) -> Result<Record>
{
    return recordFromJson(nlohmann::json::parse(text, nullptr, false));
}

auto sampleRecords() -> std::vector<std::string>
{
    auto random = RandomRecords(3);
    const auto state = smallClusterLog().state();
    auto samples = std::vector<std::string>{};
    for (std::uint32_t index = 0; index < 30; ++index) {
        auto record = Record{};
        record.id = {.writer = "vm-1", .sequence = index};
        record.payload = random.payload(state);
        samples.push_back(toJson(record).dump());
    }
    for (const auto &chunk : makeSnapshot(state, {.term = 1, .snapshotId = "s"})) {
        auto record = Record{};
        record.payload = chunk;
        samples.push_back(toJson(record).dump());
    }
    return samples;
}

} // namespace

TEST_CASE("decoding mutated selectors returns a selector or an error")
{
    fuzz({"zone in (a, b), tier=gold, !draining, x notin (y), z != 1"}, Selector::parse,
         [](const Selector &selector) {
             return Selector::parse(selector.toText()).value() == selector;
         });
}

TEST_CASE("decoding mutated records returns a record or an error")
{
    fuzz(sampleRecords(), recordFromText,
         [](const Record &record) { return recordFromJson(toJson(record)).value() == record; });
}

TEST_CASE("decoding mutated states returns a state or an error")
{
    auto random = RandomRecords(5);
    auto log = smallClusterLog();
    for (std::uint32_t step = 0; step < 40; ++step) {
        random.appendTo(log);
    }
    fuzz({encodeState(log.state())}, decodeState, [](const ClusterState &state) {
        return decodeState(encodeState(state)).value() == state;
    });
}

TEST_CASE("decoding mutated declarations returns objects or an error")
{
    auto samples = std::vector<std::string>{};
    for (const auto &object : smallCluster()) {
        samples.push_back("[" + toJson(object).dump() + "]");
    }
    fuzz(samples, parseDeclarations, [](const std::vector<DeclaredObject> &objects) {
        return objects.empty()
            || objectFromJson(toJson(objects.front())).value() == objects.front();
    });
}

TEST_CASE("decoding mutated paths and credentials returns a value or an error")
{
    const auto path = [](const std::string &text) -> Result<std::string> {
        BOOST_LEAF_CHECK(checkPath(text));
        return routingKeyOf({.pathPrefix = "/rooms"}, text, std::nullopt);
    };
    fuzz({"/rooms/a%20b/c?d"}, path, [](const std::string &key) { return !key.empty(); });
    fuzz({"Bearer key.0123456789abcdef"}, parseAuthorization,
         [](const Credential &credential) { return !credential.secret.empty(); });
}
