#pragma once

#include "figlanding/error.h"
#include "figlanding/names.h"
#include "figlanding/token_limit.h"

#include <string>
#include <string_view>

/// @file
/// JSON encoding of the token requests, grants and hand-overs that VMs exchange. Each decoder
/// returns ProtocolViolation if a field is missing or invalid.

namespace figlanding {

/// A request for tokens, with its team.
struct TeamTokenRequest
{
    TeamId team;
    TokenRequest tokenRequest;

    auto operator==(const TeamTokenRequest &) const -> bool = default;
};

/// The tokens that an issuer hands over to its successor, with their team.
struct TeamTokenHandOver
{
    TeamId team;
    TokenHandOver handOver;

    auto operator==(const TeamTokenHandOver &) const -> bool = default;
};

[[nodiscard]] auto encodeTokenRequest(const TeamTokenRequest &message) -> std::string;
[[nodiscard]] auto decodeTokenRequest(std::string_view text) -> Result<TeamTokenRequest>;
[[nodiscard]] auto encodeTokenGrant(const TokenGrant &grant) -> std::string;
[[nodiscard]] auto decodeTokenGrant(std::string_view text) -> Result<TokenGrant>;
[[nodiscard]] auto encodeTokenHandOver(const TeamTokenHandOver &message) -> std::string;
[[nodiscard]] auto decodeTokenHandOver(std::string_view text) -> Result<TeamTokenHandOver>;

} // namespace figlanding
