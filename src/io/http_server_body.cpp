#include "io/http_server_request.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <string>

namespace figlanding {

namespace {

constexpr int statusUnavailable = 503;
/// A header is kept by libmicrohttpd and in HttpHeaders, whose fields are two strings each.
constexpr std::size_t copiesOfHeader = 2;
constexpr std::size_t bytesPerField = 2 * sizeof(std::string);
constexpr std::size_t firstCapacity = 4096; ///< of a body without a stated length

// Returns the stated length of a body whose framing is valid; 0 if none is stated.
auto statedLength(const HttpHeaders &headers) -> std::size_t
{
    auto length = std::size_t{0};
    if (const auto text = headers.find("content-length")) {
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return length;
}

} // namespace

auto reserve(ReceivedRequest &request) -> bool
{
    request.headerShare = HeldShare(request.heldBytes, HeldKind::RequestHeader);
    request.bodyShare = HeldShare(request.heldBytes, HeldKind::RequestBody);
    const auto header = copiesOfHeader * request.headerBytes
        + bytesPerField * request.message.headers.fields().size();
    const auto length = statedLength(request.message.headers);
    if (!request.headerShare.growTo(header) || !request.bodyShare.growTo(length)) {
        return false;
    }
    request.message.body.reserve(length);
    return true;
}

auto discardBody(ReceivedRequest &request) -> void
{
    std::string().swap(request.message.body); // an assignment keeps the storage
    request.bodyShare.clear();
}

auto appendToBody(ReceivedRequest &request, std::string_view part, std::size_t maxBodyBytes) -> bool
{
    auto &body = request.message.body;
    const auto needed = body.size() + part.size();
    if (needed > body.capacity()) {
        // Powers of two, so that the largest allowed body is held in its own size.
        const auto grown = std::max(needed, std::min(std::bit_ceil(needed), maxBodyBytes));
        const auto capacity = std::max(grown, firstCapacity);
        if (!request.bodyShare.growTo(capacity)) {
            discardBody(request);
            return false;
        }
        body.reserve(capacity);
    }
    body.append(part);
    return true;
}

auto noMemoryResponse(const HttpRequest &request, const HttpServerOptions &options) -> HttpResponse
{
    if (options.noMemoryResponse) {
        return options.noMemoryResponse(request);
    }
    auto response = problemResponse(statusUnavailable, "No memory left",
                                    "the request does not fit beside those of other callers");
    response.headers.set("retry-after", "1");
    return response;
}

} // namespace figlanding
