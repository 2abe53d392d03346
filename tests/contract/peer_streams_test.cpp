#include "io/peer_streams.h"

#include <doctest/doctest.h>

#include <nghttp2/nghttp2.h>

#include <optional>
#include <string_view>
#include <utility>

using namespace figlanding;

namespace {

// Returns the outcome of a request whose response has a status.
auto outcomeOf(std::string_view status) -> std::optional<PeerOutcome>
{
    constexpr auto stream = PeerStreams::StreamId{1};
    const auto handlers = PeerConnection::Handlers{};
    auto streams = PeerStreams(PeerStreams::Role::Client, handlers);
    auto outcome = std::optional<PeerOutcome>();
    streams.beginResponse(stream, "", [&](PeerOutcome ended) { outcome = std::move(ended); });
    streams.addField(stream, ":status", status);
    streams.addField(stream, "x-field", "value");
    streams.endMessage(stream);
    streams.close(stream, NGHTTP2_NO_ERROR);
    return outcome;
}

} // namespace

TEST_CASE("a response of another VM with a status outside 100 to 599 is not passed on")
{
    for (const auto *status : {"000", "099", "600", "999", "20", "2x0", ""}) {
        CAPTURE(status);
        const auto outcome = outcomeOf(status);
        REQUIRE(outcome);
        CHECK(outcome->verdict == Verdict::MayHaveRun);
        CHECK(outcome->error.code == ErrorCode::ProtocolViolation);
    }
    const auto outcome = outcomeOf("404");
    REQUIRE(outcome);
    CHECK(outcome->verdict == Verdict::Ran);
    CHECK(outcome->response.status == 404);
}
