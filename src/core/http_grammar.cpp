#include "figlanding/http_grammar.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace figlanding {

namespace {

// Unlike std::isalnum(), knows ASCII only.
auto isAlphanumeric(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9');
}

auto isTokenCharacter(char character) -> bool
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isAlphanumeric(character) || marks.find(character) != std::string_view::npos;
}

auto isControl(char character) -> bool
{
    constexpr auto firstPrintable = 0x20;
    constexpr auto deleteCharacter = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < firstPrintable || code == deleteCharacter;
}

} // namespace

auto isFieldName(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

auto isHeaderText(std::string_view text) -> bool
{
    return std::none_of(text.begin(), text.end(),
                        [](char character) { return character != '\t' && isControl(character); });
}

auto parseStatus(std::string_view text) -> std::optional<int>
{
    constexpr auto digits = std::size_t{3};
    constexpr auto first = 100;
    constexpr auto last = 599;
    auto status = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, status);
    const auto isNumber = text.size() == digits && error == std::errc{} && stop == end;
    return isNumber && status >= first && status <= last ? std::optional(status) : std::nullopt;
}

} // namespace figlanding
