#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <string>

namespace figlanding {

namespace {

using nlohmann::json;

auto quotedBy(json::error_handler_t handler, std::string_view text) -> std::string
{
    return json(text).dump(-1, ' ', false, handler);
}

// Replaces the bytes that are no UTF-8 by U+FFFD.
auto withoutInvalidUtf8(std::string_view bytes) -> std::string
{
    return json::parse(quotedBy(json::error_handler_t::replace, bytes)).get<std::string>();
}

} // namespace

auto parseJsonText(std::string_view text) -> json
{
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json::parse(withoutInvalidUtf8(text), nullptr, false) : value;
}

auto isUtf8(std::string_view text) -> bool
{
    return quotedBy(json::error_handler_t::ignore, text)
        == quotedBy(json::error_handler_t::replace, text);
}

} // namespace figlanding
