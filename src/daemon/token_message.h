#pragma once

#include "figlanding/error.h"
#include "figlanding/names.h"
#include "figlanding/token_limit.h"

#include <string>
#include <string_view>

/// @file
/// JSON forms of token asks, grants and hand-overs between VMs.

namespace figlanding {

/// A token ask with the team that it is for.
struct TeamTokenAsk
{
    TeamId team;
    TokenRequest ask;

    auto operator==(const TeamTokenAsk &) const -> bool = default;
};

/// A hand-over with the team that it is for.
struct TeamTokenHandOver
{
    TeamId team;
    TokenHandOver handOver;

    auto operator==(const TeamTokenHandOver &) const -> bool = default;
};

[[nodiscard]] auto encodeTokenAsk(const TeamTokenAsk &message) -> std::string;
[[nodiscard]] auto decodeTokenAsk(std::string_view text) -> Result<TeamTokenAsk>;
[[nodiscard]] auto encodeTokenGrant(const TokenGrant &grant) -> std::string;
[[nodiscard]] auto decodeTokenGrant(std::string_view text) -> Result<TokenGrant>;
[[nodiscard]] auto encodeTokenHandOver(const TeamTokenHandOver &message) -> std::string;
[[nodiscard]] auto decodeTokenHandOver(std::string_view text) -> Result<TeamTokenHandOver>;

} // namespace figlanding
