#include "figlanding/labels.h"

#include <algorithm>

namespace figlanding {

namespace {

auto isLetter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

auto isDigit(char c) -> bool
{
    return c >= '0' && c <= '9';
}

auto isLabelCharacter(char c) -> bool
{
    return isLetter(c) || isDigit(c) || c == '-' || c == '_' || c == '.' || c == '/';
}

auto checkLengthAndCharacters(std::string_view subject, std::string_view text) -> Result<void>
{
    if (text.size() > maxLabelBytes) {
        return fail(ErrorCode::InvalidValue,
                    std::string(subject) + " of " + std::to_string(text.size())
                        + " bytes, the limit is " + std::to_string(maxLabelBytes));
    }
    if (!std::all_of(text.begin(), text.end(), isLabelCharacter)) {
        return fail(ErrorCode::InvalidValue,
                    std::string(subject) + " \"" + std::string(text)
                        + "\" may hold only letters, digits, '-', '_', '.' and '/'");
    }
    return {};
}

} // namespace

auto checkLabelName(std::string_view name) -> Result<void>
{
    if (name.empty() || !isLetter(name.front())) {
        return fail(ErrorCode::InvalidValue,
                    "label name \"" + std::string(name) + "\" must start with a letter");
    }
    return checkLengthAndCharacters("label name", name);
}

auto checkLabelValue(std::string_view value) -> Result<void>
{
    if (!value.empty() && !isLetter(value.front()) && !isDigit(value.front())) {
        return fail(ErrorCode::InvalidValue,
                    "label value \"" + std::string(value)
                        + "\" must start with a letter or a digit");
    }
    return checkLengthAndCharacters("label value", value);
}

auto checkLabels(const Labels &labels) -> Result<void>
{
    for (const auto &[name, value] : labels) {
        BOOST_LEAF_CHECK(checkLabelName(name));
        BOOST_LEAF_CHECK(checkLabelValue(value));
    }
    return {};
}

} // namespace figlanding
