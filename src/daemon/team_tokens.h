#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/refusal.h"
#include "figlanding/timing.h"
#include "figlanding/token_limit.h"
#include "io/event_loop.h"
#include "io/peer_link.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

/// @file
/// Enforces each team's rate limit: obtains tokens for requests from the VM that issues the
/// team's tokens, and grants tokens to other VMs where this VM is the issuer.

namespace figlanding {

/// Request path of token requests on peer connections.
inline constexpr std::string_view tokenRequestPath = "/peer/tokens";
/// Request path of token hand-overs on peer connections.
inline constexpr std::string_view tokenHandOverPath = "/peer/token-hand-over";

/// Settings of TeamTokens.
struct TeamTokensOptions
{
    VmId self;
    std::string incarnation; ///< random value chosen at this VM's start
    Timing timing;
    TokenLimitOptions limits;
};

/// Callbacks of TeamTokens.
struct TeamTokensHandlers
{
    /// Returns the state after the last applied log record.
    std::function<const ClusterState &()> state;
    std::function<bool()> viewIsFresh; ///< returns whether that state may be acted on
    std::function<PeerLink *(const VmId &)> linkTo; ///< returns the ready link to a VM, or nullptr
};

/// Holds this VM's tokens of all teams, and the buckets of the teams whose tokens it issues.
class TeamTokens
{
public:
    using WaitId = std::uint64_t;
    /// Receives std::nullopt if the request is admitted, and the refusal otherwise.
    using Callback = std::function<void(std::optional<Refusal>)>;

    TeamTokens(EventLoop &loop, TeamTokensOptions options, TeamTokensHandlers handlers);

    /// Takes a token for one request, or waits for one.
    /// @param callback receives the decision; runs once, possibly before this function returns
    /// @return an id for cancel()
    auto admit(const TeamId &team, Callback callback) -> WaitId;
    /// Removes a waiting request; its callback does not run.
    auto cancel(WaitId id) -> void;
    /// Handles a peer's token request or token hand-over.
    auto onPeerRequest(PeerExchange exchange) -> void;
    /// Applies a new state: becomes the issuer of the teams whose tokens this VM now issues, hands
    /// over those that it no longer issues, and adopts changed rates.
    auto onState(const ClusterState &before, const ClusterState &after) -> void;

private:
    struct WaitingRequest
    {
        WaitId id = 0;
        TimePoint arrivedAt;
        Callback callback;
    };
    // Tokens and waiting requests of one team.
    struct Account
    {
        std::unique_ptr<TokenClient> client;
        std::list<WaitingRequest> waiting;
        std::unique_ptr<Timer> timer;
    };

    [[nodiscard]] auto isIssuer(const ClusterState &state, const TeamId &team) const -> bool;
    [[nodiscard]] auto rateOf(const TeamId &team) const -> TokenRate;
    auto accountOf(const TeamId &team) -> Account &;
    // Returns the team's bucket if this VM may grant tokens from it now, and nullptr otherwise.
    auto openIssuerOf(const TeamId &team) -> TokenIssuer *;
    auto requestTokens(const TeamId &team) -> void;
    auto sendTokenRequest(const TeamId &team, const TokenRequest &tokenRequest) -> void;
    auto onGrant(const TeamId &team, const TokenGrant &grant) -> void;
    // Decides again on the waiting requests and calls back those that need not wait any longer.
    auto retryWaiting(const TeamId &team) -> void;
    auto armTimer(const TeamId &team) -> void;
    [[nodiscard]] auto rateLimited(const TeamId &team) -> Refusal;
    auto becomeIssuer(const ClusterState &before, const TeamId &team) -> void;
    auto handOverIssuer(const ClusterState &after, const TeamId &team) -> void;

    EventLoop &m_loop;
    TeamTokensOptions m_options;
    TeamTokensHandlers m_handlers;
    std::map<TeamId, Account> m_accounts;
    std::map<TeamId, TokenIssuer> m_issuers;
    WaitId m_nextId = 1;
};

} // namespace figlanding
