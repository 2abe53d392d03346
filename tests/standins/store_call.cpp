#include "standins/store_call.h"

#include "figlanding/selection.h"

#include <algorithm>
#include <utility>

namespace figlanding::standins {

namespace {

auto isVisible(char character) -> bool
{
    return character > ' ' && character < '\x7f';
}

// Returns the text before the first @p separator and the text behind it.
auto splitAt(std::string_view text, char separator) -> std::pair<std::string_view, std::string_view>
{
    const auto at = text.find(separator);
    if (at == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

auto decode(std::string_view text, PlusSign plusSign) -> std::optional<std::string>
{
    auto encoded = std::string(text);
    if (plusSign == PlusSign::Blank) {
        std::replace(encoded.begin(), encoded.end(), '+', ' ');
    }
    const auto decoded = settle([&] { return decodePercent(encoded); });
    return decoded ? std::optional(decoded.value()) : std::nullopt;
}

} // namespace

auto StoreCall::find(std::string_view name) const -> std::optional<std::string>
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::nullopt : std::optional(found->second);
}

auto StoreCall::text(std::string_view name) const -> std::string
{
    return find(name).value_or("");
}

auto StoreCall::number(std::string_view name) const -> std::uint64_t
{
    const auto value = find(name);
    return value ? std::stoull(*value) : 0;
}

auto parseStoreCall(std::string_view target, PlusSign plusSign) -> std::optional<StoreCall>
{
    if (!std::all_of(target.begin(), target.end(), isVisible)) {
        return std::nullopt;
    }
    auto [path, query] = splitAt(splitAt(target, '#').first, '?');
    auto call = StoreCall{.path = std::string(path)};
    while (!query.empty()) {
        const auto [parameter, rest] = splitAt(query, '&');
        const auto [encodedName, encodedValue] = splitAt(parameter, '=');
        auto name = decode(encodedName, plusSign);
        auto value = decode(encodedValue, plusSign);
        if (!name || !value) {
            return std::nullopt;
        }
        call.parameters.try_emplace(std::move(*name), std::move(*value));
        query = rest;
    }
    return call;
}

} // namespace figlanding::standins
