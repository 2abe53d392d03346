#include "figlanding/response_head.h"

#include "figlanding/http_grammar.h"

#include <cctype>
#include <charconv>

namespace figlanding {

namespace {

constexpr std::string_view protocolName = "HTTP/";
constexpr int statusFirstFinal = 200;

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

auto withoutLineEnd(std::string_view line) -> std::string_view
{
    for (const auto character : {'\n', '\r'}) {
        if (line.ends_with(character)) {
            line.remove_suffix(1);
        }
    }
    return line;
}

auto isDigit(char character) -> bool
{
    return character >= '0' && character <= '9';
}

auto parseStatusCode(std::string_view statusLine) -> int
{
    const auto space = statusLine.find(' ');
    auto status = 0;
    if (space != std::string_view::npos) {
        const auto digits = statusLine.substr(space + 1, 3);
        std::from_chars(digits.data(), digits.data() + digits.size(), status);
    }
    return status;
}

// Returns whether a text begins as a status line: "HTTP/1.1 200" and then a space or the line end.
auto beginsWithStatusLine(std::string_view text) -> bool
{
    constexpr std::string_view shape = "HTTP/1.1 200";
    if (text.size() < shape.size()) {
        return false;
    }
    for (auto i = std::size_t{0}; i < shape.size(); ++i) {
        if (isDigit(shape[i]) ? !isDigit(text[i]) : text[i] != shape[i]) {
            return false;
        }
    }
    return text.size() == shape.size()
        || std::isspace(static_cast<unsigned char>(text[shape.size()]));
}

// Returns whether a status line begins anywhere in a text.
auto containsStatusLine(std::string_view text) -> bool
{
    for (auto at = text.find(protocolName); at != std::string_view::npos;
         at = text.find(protocolName, at + 1)) {
        if (beginsWithStatusLine(text.substr(at))) {
            return true;
        }
    }
    return false;
}

} // namespace

auto ResponseHead::add(std::string_view line) -> std::optional<std::string>
{
    if (m_status == 0 || (m_complete && !isFinal())) {
        return begin(line);
    }
    if (containsStatusLine(line)) {
        return m_complete ? "answer within the trailers" : "answer within the header of another";
    }
    if (withoutLineEnd(line).empty()) {
        m_complete = true;
        return std::nullopt;
    }
    return addField(line);
}

auto ResponseHead::isFinal() const -> bool
{
    return m_status >= statusFirstFinal;
}

auto ResponseHead::begin(std::string_view statusLine) -> std::optional<std::string>
{
    if (!beginsWithStatusLine(statusLine)) {
        return "answer begins without a status";
    }
    if (containsStatusLine(statusLine.substr(1))) {
        return "answer within the header of another";
    }
    m_status = parseStatusCode(statusLine);
    m_headers = HttpHeaders{};
    m_complete = false;
    return std::nullopt;
}

auto ResponseHead::addField(std::string_view line) -> std::optional<std::string>
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return "answer has a field without a colon";
    }
    const auto name = line.substr(0, colon);
    if (!isFieldName(name)) {
        return "answer has a malformed field name";
    }
    if (!m_complete) {
        m_headers.add(name, trimmed(line.substr(colon + 1)));
    }
    return std::nullopt;
}

} // namespace figlanding
