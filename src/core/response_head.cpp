#include "figlanding/response_head.h"

#include "figlanding/http_grammar.h"

#include <cctype>
#include <cstddef>

namespace figlanding {

namespace {

constexpr std::string_view protocolName = "HTTP/";
constexpr std::size_t statusDigits = 3;
constexpr int statusFirstFinal = 200;

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
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
    const auto text = withoutLineEnd(line);
    if (m_status == 0 || (m_complete && !isFinal())) {
        return begin(text);
    }
    if (containsStatusLine(text)) {
        return m_complete ? "answer within the trailers" : "answer within the header of another";
    }
    if (text.empty()) {
        m_complete = true;
        return std::nullopt;
    }
    return addField(text);
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
    if (!isHeaderText(statusLine)) {
        return "answer has a control character in its status line";
    }
    const auto status = parseStatus(statusLine.substr(statusLine.find(' ') + 1, statusDigits));
    if (!status) {
        return "answer has an invalid status";
    }
    m_status = *status;
    m_headers = HttpHeaders{};
    m_complete = false;
    return std::nullopt;
}

auto ResponseHead::addField(std::string_view field) -> std::optional<std::string>
{
    const auto colon = field.find(':');
    if (colon == std::string_view::npos) {
        return "answer has a field without a colon";
    }
    const auto name = field.substr(0, colon);
    if (!isFieldName(name)) {
        return "answer has a malformed field name";
    }
    if (!isHeaderText(field)) {
        return "answer has a control character in a field value";
    }
    if (!m_complete) {
        m_headers.add(name, trimmed(field.substr(colon + 1)));
    }
    return std::nullopt;
}

} // namespace figlanding
