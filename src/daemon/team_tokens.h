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
/// Enforces each team's rate: borrows tokens for requests, and hands them out as a team's home.

namespace figlanding {

/// Path of token asks on peer streams.
inline constexpr std::string_view tokenAskPath = "/peer/tokens";
/// Path of token hand-overs on peer streams.
inline constexpr std::string_view tokenHandOverPath = "/peer/token-hand-over";

/// Settings of TeamTokens.
struct TeamTokensOptions
{
    VmId self;
    std::string incarnation;
    Timing timing;
    TokenLimitOptions limits;
};

/// Questions of TeamTokens.
struct TeamTokensHandlers
{
    std::function<const ClusterState &()> state;
    std::function<bool()> viewIsFresh;
    std::function<PeerLink *(const VmId &)> linkTo;
};

/// Tokens of all teams at one VM.
class TeamTokens
{
public:
    using WaitId = std::uint64_t;
    /// Receives nothing if the request is admitted.
    using Callback = std::function<void(std::optional<Refusal>)>;

    TeamTokens(EventLoop &loop, TeamTokensOptions options, TeamTokensHandlers handlers);

    /// Takes a token for one request; @p callback runs once, possibly before this returns.
    auto admit(const TeamId &team, Callback callback) -> WaitId;
    /// Forgets a request that waits; its callback does not run.
    auto cancel(WaitId id) -> void;
    /// Answers a token ask or a hand-over of a peer.
    auto onPeerRequest(PeerExchange exchange) -> void;
    /// Follows a new state: takes up and hands over teams, and changed rates.
    auto onState(const ClusterState &before, const ClusterState &after) -> void;

private:
    struct Waiting
    {
        WaitId id = 0;
        TimePoint arrivedAt;
        Callback callback;
    };
    struct Account
    {
        std::unique_ptr<TokenClient> borrower;
        std::list<Waiting> waiting;
        std::unique_ptr<Timer> timer;
    };

    [[nodiscard]] auto isHome(const ClusterState &state, const TeamId &team) const -> bool;
    [[nodiscard]] auto rateOf(const TeamId &team) const -> TokenRate;
    auto accountOf(const TeamId &team) -> Account &;
    auto homeOf(const TeamId &team) -> TokenIssuer *;
    auto ask(const TeamId &team) -> void;
    auto sendAsk(const TeamId &team, const TokenRequest &ask) -> void;
    auto onGrant(const TeamId &team, const TokenGrant &grant) -> void;
    auto retryWaiting(const TeamId &team) -> void;
    auto armTimer(const TeamId &team) -> void;
    [[nodiscard]] auto rateLimited(const TeamId &team) -> Refusal;
    auto takeUpHome(const ClusterState &before, const TeamId &team) -> void;
    auto handOverHome(const ClusterState &after, const TeamId &team) -> void;

    EventLoop &m_loop;
    TeamTokensOptions m_options;
    TeamTokensHandlers m_handlers;
    std::map<TeamId, Account> m_accounts;
    std::map<TeamId, TokenIssuer> m_homes;
    WaitId m_nextId = 1;
};

} // namespace figlanding
