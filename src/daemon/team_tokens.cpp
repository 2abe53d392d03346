#include "daemon/team_tokens.h"

#include "daemon/token_message.h"
#include "figlanding/sharding.h"

#include <algorithm>

namespace figlanding {

TeamTokens::TeamTokens(EventLoop &loop, TeamTokensOptions options, TeamTokensHandlers handlers)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
{ }

auto TeamTokens::isIssuer(const ClusterState &state, const TeamId &team) const -> bool
{
    const auto self = state.members.find(m_options.self);
    return self != state.members.end() && self->second.incarnation == m_options.incarnation
        && tokenIssuerOf(state, team) == m_options.self;
}

auto TeamTokens::rateOf(const TeamId &team) const -> TokenRate
{
    const auto &teams = m_handlers.state().teams;
    const auto found = teams.find(team);
    return found == teams.end() ? TokenRate{}
                                : TokenRate{.perSecond = found->second.object.ratePerSecond,
                                            .burst = found->second.object.burst};
}

auto TeamTokens::accountOf(const TeamId &team) -> Account &
{
    auto &account = m_accounts[team];
    if (!account.client) {
        account.client = std::make_unique<TokenClient>(m_options.limits);
        account.timer = std::make_unique<Timer>(m_loop, [this, team] { retryWaiting(team); });
    }
    return account;
}

auto TeamTokens::admit(const TeamId &team, Callback callback) -> WaitId
{
    auto &account = accountOf(team);
    const auto now = m_loop.now();
    const auto id = m_nextId++;
    switch (account.client->arrive(now)) {
    case TokenDecision::Admit:
        requestTokens(team);
        callback(std::nullopt);
        break;
    case TokenDecision::Refuse:
        requestTokens(team);
        callback(rateLimited(team));
        break;
    case TokenDecision::Wait:
        account.waiting.push_back({.id = id, .arrivedAt = now, .callback = std::move(callback)});
        requestTokens(team);
        armTimer(team);
        break;
    }
    return id;
}

auto TeamTokens::rateLimited(const TeamId &team) -> Refusal
{
    return {.reason = RefusalReason::RateLimited,
            .detail = "team \"" + team.value() + "\" is at its rate of "
                + std::to_string(rateOf(team).perSecond) + " requests per second",
            .retryAfter = accountOf(team).client->retryAfter(m_loop.now())};
}

auto TeamTokens::cancel(WaitId id) -> void
{
    for (auto &[team, account] : m_accounts) {
        const auto found =
            std::find_if(account.waiting.begin(), account.waiting.end(),
                         [id](const WaitingRequest &entry) { return entry.id == id; });
        if (found != account.waiting.end()) {
            account.waiting.erase(found);
            account.client->abandon();
            return;
        }
    }
}

auto TeamTokens::requestTokens(const TeamId &team) -> void
{
    if (const auto next = accountOf(team).client->takeTokenRequest(m_loop.now())) {
        sendTokenRequest(team, *next);
    }
}

auto TeamTokens::sendTokenRequest(const TeamId &team, const TokenRequest &tokenRequest) -> void
{
    const auto issuer = tokenIssuerOf(m_handlers.state(), team);
    if (!issuer) {
        return;
    }
    if (*issuer == m_options.self) {
        if (auto *bucket = openIssuerOf(team)) {
            const auto grant = bucket->grant(tokenRequest, m_loop.now());
            post(m_loop, [this, team, grant] { onGrant(team, grant); });
        }
        return;
    }
    auto *link = m_handlers.linkTo(*issuer);
    if (link == nullptr) {
        return;
    }
    link->request({.method = "POST",
                   .target = std::string(tokenRequestPath),
                   .body = encodeTokenRequest({.team = team, .tokenRequest = tokenRequest})},
                  m_options.limits.tokenRequestTimeout, [this, team](const PeerOutcome &outcome) {
                      if (outcome.verdict != Verdict::Ran || outcome.response.status != 200) {
                          return;
                      }
                      const auto grant =
                          settle([&] { return decodeTokenGrant(outcome.response.body); });
                      if (grant) {
                          onGrant(team, grant.value());
                      }
                  });
}

auto TeamTokens::openIssuerOf(const TeamId &team) -> TokenIssuer *
{
    const auto found = m_issuers.find(team);
    const auto usable =
        found != m_issuers.end() && m_handlers.viewIsFresh() && isIssuer(m_handlers.state(), team);
    return usable ? &found->second : nullptr;
}

auto TeamTokens::onGrant(const TeamId &team, const TokenGrant &grant) -> void
{
    accountOf(team).client->onGrant(grant, m_loop.now());
    retryWaiting(team);
}

auto TeamTokens::retryWaiting(const TeamId &team) -> void
{
    auto &account = accountOf(team);
    const auto now = m_loop.now();
    std::list<WaitingRequest> admitted;
    std::list<WaitingRequest> refused;
    for (auto entry = account.waiting.begin(); entry != account.waiting.end();) {
        const auto current = entry++;
        const auto decision = account.client->retry(current->arrivedAt, now);
        if (decision != TokenDecision::Wait) {
            auto &target = decision == TokenDecision::Admit ? admitted : refused;
            target.splice(target.end(), account.waiting, current);
        }
    }
    requestTokens(team);
    armTimer(team);
    for (const auto &entry : admitted) {
        entry.callback(std::nullopt);
    }
    for (const auto &entry : refused) {
        entry.callback(rateLimited(team));
    }
}

auto TeamTokens::armTimer(const TeamId &team) -> void
{
    auto &account = accountOf(team);
    const auto now = m_loop.now();
    const auto wakeUp = account.client->wakeUpAt(now);
    if (!wakeUp) {
        account.timer->stop();
        return;
    }
    account.timer->startOnce(std::max<Duration>(*wakeUp - now, milliseconds(1)));
}

auto TeamTokens::onPeerRequest(PeerExchange exchange) -> void
{
    const auto &request = exchange.request();
    if (request.target == tokenHandOverPath) {
        const auto message = settle([&] { return decodeTokenHandOver(request.body); });
        if (message) {
            const auto found = m_issuers.find(message.value().team);
            if (found != m_issuers.end()) {
                found->second.accept(message.value().handOver, m_loop.now());
            }
        }
        exchange.respond({.status = message ? 204 : 400});
        return;
    }
    const auto message = settle([&] { return decodeTokenRequest(request.body); });
    auto *issuer = message ? openIssuerOf(message.value().team) : nullptr;
    if (issuer == nullptr) {
        exchange.respond(problemResponse(message ? 409 : 400, "no tokens",
                                         message ? "this VM is not the team's home"
                                                 : describe(message.error())));
        return;
    }
    const auto grant = issuer->grant(message.value().tokenRequest, m_loop.now());
    exchange.respond(jsonResponse(200, encodeTokenGrant(grant)));
}

auto TeamTokens::onState(const ClusterState &before, const ClusterState &after) -> void
{
    std::vector<TeamId> lost;
    for (const auto &[team, issuer] : m_issuers) {
        if (!after.teams.contains(team) || !isIssuer(after, team)) {
            lost.push_back(team);
        }
    }
    for (const auto &team : lost) {
        handOverIssuer(after, team);
    }
    for (const auto &[team, entry] : after.teams) {
        if (!isIssuer(after, team)) {
            continue;
        }
        const auto found = m_issuers.find(team);
        if (found == m_issuers.end()) {
            becomeIssuer(before, team);
        } else {
            found->second.setRate(rateOf(team), m_loop.now());
        }
    }
}

auto TeamTokens::becomeIssuer(const ClusterState &before, const TeamId &team) -> void
{
    const auto &after = m_handlers.state();
    const auto hadIssuer = before.teams.contains(team) && tokenIssuerOf(before, team).has_value();
    const auto &timing = m_options.timing;
    const auto wait =
        hadIssuer ? timing.viewLifetime + timing.clockDriftAllowance : milliseconds::zero();
    m_issuers.emplace(
        team, TokenIssuer(rateOf(team), m_options.limits, after.membersSince, m_loop.now() + wait));
}

auto TeamTokens::handOverIssuer(const ClusterState &after, const TeamId &team) -> void
{
    auto issuer = m_issuers.extract(team);
    const auto successor = tokenIssuerOf(after, team);
    const auto summary = issuer.mapped().release(after.membersSince, m_loop.now());
    auto *link = successor ? m_handlers.linkTo(*successor) : nullptr;
    if (!summary || link == nullptr) {
        return;
    }
    link->request({.method = "POST",
                   .target = std::string(tokenHandOverPath),
                   .body = encodeTokenHandOver({.team = team, .handOver = *summary})},
                  m_options.timing.viewLifetime, [](const PeerOutcome &) {});
}

} // namespace figlanding
