#include "figlanding/http_grammar.h"

#include <algorithm>

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

} // namespace figlanding
