#pragma once

#include "figlanding/http_message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Reads the header of an HTTP/1.1 response, one line at a time.

namespace figlanding {

/// The header of a response and of the interim responses before it.
class ResponseHead
{
public:
    /// Adds a line, with its line end if it has one. Lines behind the header are trailers, of which
    /// nothing is kept.
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
    /// Returns the number of status lines in the header, also of those that begin within a line.
    /// More than one shows that its bytes are of more than one response.
    [[nodiscard]] auto statusLines() const -> std::size_t
    {
        return m_statusLines;
    }

private:
    auto begin(std::string_view statusLine) -> void;
    auto addField(std::string_view line) -> std::optional<std::string>;

    int m_status = 0;
    HttpHeaders m_headers;
    bool m_complete = false;
    std::size_t m_statusLines = 0;
};

} // namespace figlanding
