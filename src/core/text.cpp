#include "text.h"

namespace figlanding {

auto quoted(std::string_view text) -> std::string
{
    auto result = std::string{};
    result.reserve(text.size() + 2);
    result += '"';
    result += text;
    result += '"';
    return result;
}

} // namespace figlanding
