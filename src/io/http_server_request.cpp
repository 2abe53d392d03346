#include "io/http_server_request.h"

#include "io/close_delimited_response.h"

#include <charconv>
#include <memory>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t headerSeparators = 4; ///< bytes of ": " and CRLF per header field

constexpr int statusBadRequest = 400;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
constexpr int statusInternal = 500;
constexpr int statusNotImplemented = 501;

auto collectHeader(void *context, MHD_ValueKind, const char *name, std::size_t nameSize,
                   const char *value, std::size_t valueSize) -> MHD_Result
{
    auto *request = static_cast<ReceivedRequest *>(context);
    request->message.headers.add(std::string_view(name, nameSize),
                                 std::string_view(value, valueSize));
    request->headerBytes += nameSize + valueSize + headerSeparators;
    return MHD_YES;
}

auto countFields(const HttpHeaders &headers, std::string_view name) -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto &field : headers.fields()) {
        count += field.first == name ? 1U : 0U;
    }
    return count;
}

/// Validates content-length and transfer-encoding. Ambiguous framing enables request smuggling.
auto validateFraming(const HttpRequest &request, std::size_t maxBodyBytes)
    -> std::optional<HttpResponse>
{
    const auto lengths = countFields(request.headers, "content-length");
    const auto encodings = countFields(request.headers, "transfer-encoding");
    if (lengths + encodings > 1) {
        return problemResponse(statusBadRequest, "Ambiguous body length",
                               "more than one content-length or transfer-encoding");
    }
    if (encodings == 1 && request.headers.find("transfer-encoding") != "chunked") {
        return problemResponse(statusNotImplemented, "Unknown transfer encoding",
                               "only chunked is known");
    }
    if (lengths == 0) {
        return std::nullopt;
    }
    const auto text = *request.headers.find("content-length");
    auto length = std::uint64_t{0};
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (status != std::errc{} || end != text.data() + text.size()) {
        return problemResponse(statusBadRequest, "Invalid content-length", text);
    }
    if (length > maxBodyBytes) {
        return bodyTooLargeResponse(maxBodyBytes);
    }
    return std::nullopt;
}

/// Returns whether libmicrohttpd generates the header field itself.
auto isSetByServer(const std::string &name, const std::string &value) -> bool
{
    if (name == "connection") {
        return value != "close";
    }
    return name == "content-length" || isHopByHop(name);
}

/// The body of a response while libmicrohttpd writes it.
struct WrittenBody
{
    std::string text;
    HeldShare share;
};

auto freeWrittenBody(void *body) -> void
{
    const auto owned = std::unique_ptr<WrittenBody>(static_cast<WrittenBody *>(body));
}

// A body whose end nobody stated gets none here either: the length of a part would make it look
// whole.
auto makeNativeResponse(MHD_Connection *handle, HttpResponse &response, HeldShare share)
    -> MHD_Response *
{
    if (response.bodyEnd == BodyEnd::ConnectionEnd) {
        return makeCloseDelimitedResponse(handle, std::move(response.body), std::move(share));
    }
    auto body = std::make_unique<WrittenBody>(
        WrittenBody{.text = std::move(response.body), .share = std::move(share)});
    auto *native = MHD_create_response_from_buffer_with_free_callback_cls(
        body->text.size(), body->text.data(), &freeWrittenBody, body.get());
    if (native != nullptr) {
        static_cast<void>(body.release()); // libmicrohttpd frees it
    }
    return native;
}

} // namespace

HttpExchange::Impl::Impl(ReceivedRequest &received)
    : request(std::move(received.message))
    , headerShare(std::move(received.headerShare))
    , bodyShare(std::move(received.bodyShare))
    , pending(&received)
{ }

HttpExchange::Impl::~Impl()
{
    respond(problemResponse(statusInternal, "No answer", "the request was dropped"));
    if (pending != nullptr) {
        pending->exchange = nullptr;
    }
}

auto HttpExchange::Impl::respond(HttpResponse response) -> void
{
    if (pending == nullptr || pending->response || pending->abandoned) {
        return;
    }
    onAbandoned = nullptr;
    // Other responses may arrive before this one is queued.
    pending->responseShare = holdBody(response, pending->heldBytes);
    pending->response = std::move(response);
    if (pending->suspended) {
        resume(*pending);
    }
}

auto HttpExchange::Impl::abort() -> void
{
    if (pending == nullptr || pending->response || pending->abandoned) {
        return;
    }
    onAbandoned = nullptr;
    pending->abandoned = true;
    if (pending->suspended) {
        resume(*pending);
    }
}

HttpExchange::HttpExchange(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

auto HttpExchange::request() const -> const HttpRequest &
{
    return m_impl->request;
}

auto HttpExchange::takeBody() -> std::string
{
    return std::exchange(m_impl->request.body, {});
}

auto HttpExchange::respond(HttpResponse response) -> void
{
    m_impl->respond(std::move(response));
}

auto HttpExchange::abort() -> void
{
    m_impl->abort();
}

auto HttpExchange::onAbandoned(std::function<void()> callback) -> void
{
    if (m_impl->pending != nullptr && !m_impl->pending->response) {
        m_impl->onAbandoned = std::move(callback);
    }
}

auto collectHeaders(ReceivedRequest &request) -> void
{
    request.headerBytes = request.message.method.size() + request.message.target.size();
    MHD_get_connection_values_n(request.handle, MHD_HEADER_KIND, &collectHeader, &request);
}

auto validateHeader(const ReceivedRequest &request, const HttpServerOptions &options)
    -> std::optional<HttpResponse>
{
    if (request.headerBytes > options.maxHeaderBytes) {
        return problemResponse(statusHeaderTooLarge, "Header too large",
                               "limit is " + std::to_string(options.maxHeaderBytes) + " bytes");
    }
    return validateFraming(request.message, options.maxBodyBytes);
}

auto bodyTooLargeResponse(std::size_t maxBodyBytes) -> HttpResponse
{
    auto response = problemResponse(statusBodyTooLarge, "Body too large",
                                    "limit is " + std::to_string(maxBodyBytes) + " bytes");
    response.headers.set("connection", "close");
    return response;
}

auto endsConnection(const HttpResponse &response) -> bool
{
    return response.bodyEnd == BodyEnd::ConnectionEnd
        || response.headers.find("connection") == "close";
}

auto resume(ReceivedRequest &request) -> void
{
    MHD_resume_connection(request.handle);
    request.onResumed();
}

auto holdBody(const HttpResponse &response, HeldBytes *heldBytes) -> HeldShare
{
    auto share = HeldShare(heldBytes, HeldKind::CallerResponse);
    share.hold(response.body.capacity());
    return share;
}

auto sendResponse(MHD_Connection *handle, HttpResponse &response, HeldShare share) -> MHD_Result
{
    auto *native = makeNativeResponse(handle, response, std::move(share));
    if (native == nullptr) {
        return MHD_NO;
    }
    for (const auto &[name, value] : response.headers.fields()) {
        if (!isSetByServer(name, value)) {
            MHD_add_response_header(native, name.c_str(), value.c_str());
        }
    }
    const auto queued = MHD_queue_response(handle, static_cast<unsigned>(response.status), native);
    MHD_destroy_response(native);
    return queued;
}

} // namespace figlanding
