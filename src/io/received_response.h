#pragma once

#include "figlanding/error.h"
#include "figlanding/held_bytes.h"
#include "figlanding/http_message.h"
#include "figlanding/response_head.h"
#include "io/http_client.h"
#include "io/response_budget.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// The response of a call while it arrives, and whether it can be used.

namespace figlanding {

/// Collects one response after another and decides whether each is usable.
///
/// The functions that add a part return false once the response is not usable; error() then says
/// why, and the call must end. libcurl accepts responses whose length is ambiguous or wrong, but a
/// router must not forward them as complete: framingError() finds them once the response has ended.
class ReceivedResponse
{
public:
    /// @param budget memory for the responses of the client; must outlive the object
    /// @param options options of the client
    ReceivedResponse(ResponseBudget &budget, const HttpClientOptions &options);

    /// Discards what was received and awaits the response to a new request.
    /// @param method of the request
    /// @param options of the call; must stay valid until the next call begins
    auto begin(std::string_view method, const HttpCallOptions &options) -> void;
    /// Frees what was received and not taken.
    auto discard() -> void;

    /// Counts the bytes of a line of a header or trailer towards their limit. Must precede
    /// addHeaderLine().
    /// @return false if the limit is exceeded
    [[nodiscard]] auto countHeaderBytes(std::size_t size) -> bool;
    /// Adds a line of a header or trailer, with its line end.
    /// @return false if the response is not usable
    [[nodiscard]] auto addHeaderLine(std::string_view line) -> bool;
    /// Adds a part of the body, after chunked decoding.
    /// @return false if the response is not usable
    [[nodiscard]] auto addBody(std::string_view data) -> bool;
    /// Counts bytes of the body as they were received, before chunked decoding.
    auto countBodyBytes(std::size_t size) -> void;
    /// Checks whether the bytes received so far are mostly chunk framing.
    /// @return false if the response is not usable, for this reason or an earlier one
    [[nodiscard]] auto checkChunkFraming() -> bool;

    /// Returns why reading was stopped; empty if it was not.
    [[nodiscard]] auto error() const -> const std::optional<Error> &
    {
        return m_error;
    }
    /// Returns why the length of a response that has ended is ambiguous or wrong, or an empty text.
    [[nodiscard]] auto framingError() const -> std::string;
    /// Returns whether the response has the id of its request; false if the request has none.
    [[nodiscard]] auto isCorrelated() const -> bool;
    /// Moves the response out and gives its memory back to the budget.
    [[nodiscard]] auto take() -> HttpResponse;

private:
    [[nodiscard]] auto makeRoom(std::size_t size) -> bool;
    [[nodiscard]] auto makeRoomForStatedLength() -> bool;
    [[nodiscard]] auto hasOtherId() const -> bool;
    [[nodiscard]] auto headError() const -> std::optional<Error>;
    [[nodiscard]] auto hasNoBody() const -> bool;
    [[nodiscard]] auto bodyEnd() const -> BodyEnd;

    ResponseBudget &m_budget;
    HeldShare m_share; ///< storage of the body
    std::size_t m_maxHeadBytes;
    std::size_t m_maxBodyBytes;
    bool m_acceptsCloseDelimited;

    const HttpCallOptions *m_options = nullptr; ///< of the call; null before the first one
    bool m_answersHead = false; ///< the method of the request is HEAD
    ResponseHead m_head;
    HttpResponse m_response; ///< with status and fields once the header is complete
    std::size_t m_headBytes = 0; ///< of all responses of the call, with their trailers
    std::uint64_t m_bodyBytesReceived = 0; ///< before chunked decoding
    std::optional<Error> m_error;
};

} // namespace figlanding
