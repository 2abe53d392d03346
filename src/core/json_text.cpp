#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <string>

namespace figlanding {

namespace {

using nlohmann::json;

// Replaces the bytes that are no UTF-8 by U+FFFD.
auto withoutInvalidUtf8(std::string_view bytes) -> std::string
{
    const auto quoted = json(bytes).dump(-1, ' ', false, json::error_handler_t::replace);
    return json::parse(quoted).get<std::string>();
}

} // namespace

auto parseJsonText(std::string_view text) -> json
{
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json::parse(withoutInvalidUtf8(text), nullptr, false) : value;
}

} // namespace figlanding
