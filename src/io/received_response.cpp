#include "io/received_response.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace figlanding {

namespace {

constexpr int statusSwitchingProtocols = 101;
constexpr int statusFirstFinal = 200;
/// Framing bytes accepted for each byte of a chunked body; chunks of one byte need five.
constexpr std::uint64_t maxFramingRatio = 8;

auto parseLength(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && stop == end ? std::optional(value) : std::nullopt;
}

auto statusHasNoBody(int status) -> bool
{
    return status == 204 || status == 304 || status < 200;
}

auto noMemory() -> Error
{
    return {.code = ErrorCode::LimitExceeded,
            .detail = "no memory left for the body of the answer"};
}

auto tooLarge(const std::string &part, std::size_t limit) -> Error
{
    return {.code = ErrorCode::LimitExceeded,
            .detail = part + " of the answer is larger than " + std::to_string(limit) + " bytes"};
}

} // namespace

ReceivedResponse::ReceivedResponse(ResponseBudget &budget, const HttpClientOptions &options)
    : m_budget(budget)
    , m_share(options.heldBytes, HeldKind::ServerResponse)
    , m_maxHeadBytes(options.maxHeadBytes)
    , m_maxBodyBytes(options.maxBodyBytes)
    , m_acceptsCloseDelimited(options.acceptsCloseDelimited)
{ }

auto ReceivedResponse::begin(std::string_view method, const HttpCallOptions &options) -> void
{
    discard();
    m_options = &options;
    m_answersHead = method == "HEAD";
    m_head = ResponseHead{};
    m_headBytes = 0;
    m_bodyBytesReceived = 0;
    m_error.reset();
}

auto ReceivedResponse::discard() -> void
{
    m_budget.release(m_response.body.size());
    std::string().swap(m_response.body); // an assignment keeps the storage
    m_share.clear();
    m_response = HttpResponse{.status = 0};
}

auto ReceivedResponse::countHeaderBytes(std::size_t size) -> bool
{
    m_headBytes += size;
    if (m_headBytes > m_maxHeadBytes) {
        m_error = tooLarge("header", m_maxHeadBytes);
        return false;
    }
    return true;
}

auto ReceivedResponse::addHeaderLine(std::string_view line) -> bool
{
    const auto wasComplete = m_head.isComplete();
    if (auto fault = m_head.add(line)) {
        m_error = Error{.code = ErrorCode::ProtocolViolation, .detail = std::move(*fault)};
        return false;
    }
    if (wasComplete || !m_head.isComplete()) {
        return true;
    }
    m_response.status = m_head.status();
    m_response.headers = m_head.headers();
    m_error = headError();
    if (!m_error && !makeRoomForStatedLength()) {
        m_error = noMemory();
    }
    return !m_error;
}

// Returns whether the response has an id that is not that of its request, also beside that one.
auto ReceivedResponse::hasOtherId() const -> bool
{
    const auto &expected = m_options->correlationHeader;
    const auto &fields = m_response.headers.fields();
    return expected && std::any_of(fields.begin(), fields.end(), [&](const auto &field) {
               return equalsIgnoringCase(field.first, expected->first)
                   && field.second != expected->second;
           });
}

// Returns why the header shows that the response is not usable, before its body is read.
auto ReceivedResponse::headError() const -> std::optional<Error>
{
    const auto &headers = m_response.headers;
    if (hasOtherId()) {
        return Error{.code = ErrorCode::ProtocolViolation, .detail = "answer to another request"};
    }
    if (m_response.status == statusSwitchingProtocols) {
        return Error{.code = ErrorCode::ProtocolViolation, .detail = "answer changes the protocol"};
    }
    if (m_response.status >= statusFirstFinal && m_options->canAnswer
        && !m_options->canAnswer(m_response)) {
        return Error{.code = ErrorCode::ProtocolViolation, .detail = "answer to another request"};
    }
    if (m_response.status < statusFirstFinal || hasNoBody()) {
        return std::nullopt;
    }
    const auto transferEncoding = headers.find("transfer-encoding");
    if (transferEncoding && !equalsIgnoringCase("chunked", *transferEncoding)) {
        // libcurl reads other codings to the end of the connection.
        return Error{.code = ErrorCode::ProtocolViolation,
                     .detail = "answer has an unknown transfer coding"};
    }
    const auto length = headers.find("content-length");
    if (!length && !transferEncoding && !m_acceptsCloseDelimited) {
        return Error{.code = ErrorCode::ProtocolViolation, .detail = "answer announces no length"};
    }
    if (length && parseLength(*length).value_or(0) > m_maxBodyBytes) {
        return tooLarge("body", m_maxBodyBytes);
    }
    return std::nullopt;
}

auto ReceivedResponse::addBody(std::string_view data) -> bool
{
    if (data.size() > m_maxBodyBytes - m_response.body.size()) {
        m_error = tooLarge("body", m_maxBodyBytes);
        return false;
    }
    if (!makeRoom(data.size()) || !m_budget.take(m_response.body.size(), data.size())) {
        m_error = noMemory();
        return false;
    }
    m_response.body.append(data);
    return true;
}

// Makes room for the whole body if its length is stated. Otherwise many bodies that arrive at the
// same time would each get a part of the memory that is too small for any of them.
auto ReceivedResponse::makeRoomForStatedLength() -> bool
{
    const auto length = m_response.headers.find("content-length");
    if (!length || hasNoBody()) {
        return true;
    }
    const auto size = static_cast<std::size_t>(parseLength(*length).value_or(0));
    if (!m_share.growTo(size)) {
        return false;
    }
    m_response.body.reserve(size);
    return true;
}

// Makes room in the body, as far as the account allows.
auto ReceivedResponse::makeRoom(std::size_t size) -> bool
{
    auto &body = m_response.body;
    const auto needed = body.size() + size;
    if (needed <= body.capacity()) {
        return true;
    }
    const auto grown = std::max(needed, 2 * body.capacity());
    if (!m_share.growTo(grown)) {
        return false;
    }
    body.reserve(grown);
    return true;
}

auto ReceivedResponse::countBodyBytes(std::size_t size) -> void
{
    m_bodyBytesReceived += size;
}

auto ReceivedResponse::checkChunkFraming() -> bool
{
    // The bytes received include the trailers, which are limited as headers.
    const auto size = m_response.body.size();
    if (m_bodyBytesReceived > m_maxHeadBytes + size * (1 + maxFramingRatio)) {
        m_error = tooLarge("chunk framing", m_maxHeadBytes);
    }
    return !m_error;
}

auto ReceivedResponse::isCorrelated() const -> bool
{
    const auto &expected = m_options->correlationHeader;
    return expected && !expected->second.empty()
        && m_response.headers.find(expected->first) == std::string_view(expected->second);
}

// Returns whether the response has no body, whatever its header announces.
auto ReceivedResponse::hasNoBody() const -> bool
{
    return m_answersHead || statusHasNoBody(m_response.status);
}

auto ReceivedResponse::bodyEnd() const -> BodyEnd
{
    if (hasNoBody() || m_response.headers.find("content-length")) {
        return BodyEnd::Length;
    }
    return m_response.headers.find("transfer-encoding") ? BodyEnd::LastChunk
                                                        : BodyEnd::ConnectionEnd;
}

auto ReceivedResponse::framingError() const -> std::string
{
    if (!m_head.isComplete()) {
        return "answer ends within its header";
    }
    const auto &headers = m_response.headers;
    auto lengths = std::vector<std::string_view>{};
    auto codings = std::size_t{0};
    for (const auto &[name, value] : headers.fields()) {
        if (name == "content-length") {
            lengths.emplace_back(value);
        }
        codings += name == "transfer-encoding" ? 1U : 0U;
    }
    if (lengths.size() + codings > 1) {
        return "answer announces its length more than once";
    }
    if (hasNoBody()) {
        return m_bodyBytesReceived == 0 ? "" : "answer without a body has one";
    }
    if (codings > 0) {
        return {};
    }
    if (lengths.empty()) {
        return m_acceptsCloseDelimited ? "" : "answer announces no length";
    }
    const auto contentLength = parseLength(lengths.front());
    if (contentLength != m_response.body.size() || contentLength != m_bodyBytesReceived) {
        return "answer announces " + std::string(lengths.front()) + " bytes, has "
            + std::to_string(m_bodyBytesReceived);
    }
    return {};
}

auto ReceivedResponse::take() -> HttpResponse
{
    m_response.bodyEnd = bodyEnd();
    m_budget.release(m_response.body.size());
    m_share.clear();
    return std::exchange(m_response, {});
}

} // namespace figlanding
