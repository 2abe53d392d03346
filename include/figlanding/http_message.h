#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Value types for HTTP requests and responses.

namespace figlanding {

/// Header fields in the order in which they were added. Names are stored in lower case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields);

    /// Appends a field; its name is converted to lower case.
    auto add(std::string_view name, std::string_view value) -> void;
    /// Replaces all fields of that name by one field at the end.
    auto set(std::string_view name, std::string_view value) -> void;
    /// Removes all fields of that name.
    auto remove(std::string_view name) -> void;
    /// Returns the value of the first field called @p name, compared case-insensitively.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string_view>;
    /// Returns all fields in order.
    [[nodiscard]] auto fields() const -> const std::vector<std::pair<std::string, std::string>> &
    {
        return m_fields;
    }

    auto operator==(const HttpHeaders &) const -> bool = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// An HTTP request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< path and query, not decoded
    HttpHeaders headers;
    std::string body;

    auto operator==(const HttpRequest &) const -> bool = default;
};

/// How the recipient of a response finds the end of its body.
enum class BodyEnd {
    Length, ///< stated in advance; also for responses without a body
    LastChunk, ///< marked by the sender
    ConnectionEnd, ///< the end of the connection, which looks the same if the sender was cut off
};

/// Returns "length", "last-chunk" or "connection-end".
[[nodiscard]] auto toText(BodyEnd end) -> std::string_view;

/// An HTTP response.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    BodyEnd bodyEnd = BodyEnd::Length;

    auto operator==(const HttpResponse &) const -> bool = default;
};

/// Returns whether two texts are equal, ignoring the case of the ASCII letters of @p text.
[[nodiscard]] auto equalsIgnoringCase(std::string_view lowerCase, std::string_view text) -> bool;
/// Returns the path of a request target, without the query.
[[nodiscard]] auto pathOf(std::string_view target) -> std::string_view;
/// Returns the value of the first query parameter called @p name, not decoded; empty if it has no
/// value, nothing if it is absent.
[[nodiscard]] auto queryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string_view>;
/// Returns whether a header field is hop-by-hop and must not be forwarded.
[[nodiscard]] auto isHopByHop(std::string_view lowerCaseName) -> bool;
/// Creates an application/json response.
[[nodiscard]] auto jsonResponse(int status, std::string json) -> HttpResponse;
/// Creates an application/problem+json response.
[[nodiscard]] auto problemResponse(int status, std::string_view title, std::string_view detail)
    -> HttpResponse;

} // namespace figlanding
