#pragma once

#include "figlanding/http_message.h"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Reads the header of an HTTP/1.1 response, one line at a time.
///
/// A server may send bytes that belong to no request, and the next response on the connection
/// follows them without a mark. If they end within a header, that header goes on with the fields of
/// the response, its request id included. Its status line then stands in the middle of the header,
/// so a header with a status line behind its first byte is refused.
///
/// Each line must also keep the grammar of HTTP. libcurl, which finds the end of the body, and the
/// caller may read any other line in another way.

namespace figlanding {

/// The header of a response and of the interim responses before it.
class ResponseHead
{
public:
    /// Adds a line, with its line end if it has one. Lines behind the header are trailers: they
    /// must be fields as well, but are not kept.
    /// @return why the line can't be part of a response; empty if it can
    [[nodiscard]] auto add(std::string_view line) -> std::optional<std::string>;
    /// Returns the status, or 0 before the first line.
    [[nodiscard]] auto status() const -> int
    {
        return m_status;
    }
    /// Returns the fields that were read so far.
    [[nodiscard]] auto headers() const -> const HttpHeaders &
    {
        return m_headers;
    }
    /// Returns whether the empty line at the end of a header was the last line or lies before it.
    [[nodiscard]] auto isComplete() const -> bool
    {
        return m_complete;
    }
    /// Returns whether the status is that of a final response.
    [[nodiscard]] auto isFinal() const -> bool;

private:
    auto begin(std::string_view statusLine) -> std::optional<std::string>;
    auto addField(std::string_view field) -> std::optional<std::string>;

    int m_status = 0;
    HttpHeaders m_headers;
    bool m_complete = false;
};

} // namespace figlanding
