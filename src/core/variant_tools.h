#pragma once

#include <cstddef>
#include <utility>
#include <variant>

/// @file
/// Helpers for std::variant.

namespace figlanding {

/// Returns a variant that holds a default value of the alternative at @p index.
template <typename Variant, std::size_t... Index>
[[nodiscard]] auto defaultAlternative(std::size_t index, std::index_sequence<Index...>) -> Variant
{
    auto variant = Variant{};
    // Short-circuits at the operand whose position equals index; only that one emplaces.
    static_cast<void>(((index == Index && (variant.template emplace<Index>(), true)) || ...));
    return variant;
}

/// Returns a variant that holds a default value of the alternative at @p index, or of the first
/// alternative if @p index is out of range.
template <typename Variant>
[[nodiscard]] auto defaultAlternative(std::size_t index) -> Variant
{
    return defaultAlternative<Variant>(index,
                                       std::make_index_sequence<std::variant_size_v<Variant>>{});
}

} // namespace figlanding
