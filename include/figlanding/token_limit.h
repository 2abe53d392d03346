#pragma once

#include "figlanding/clock.h"
#include "figlanding/decaying.h"

#include <cstdint>
#include <deque>
#include <optional>

/// @file
/// A rate limit per team that all VMs enforce together. One VM, the issuer of the team, keeps the
/// token bucket and grants tokens in batches that expire; an entry VM admits one request per token.
///
/// Bound: in any window of length W, all VMs together admit at most ratePerSecond * W + burst
/// requests. A token may be used up to one batch lifetime after it left the issuer, so the issuer
/// reserves ratePerSecond * lifetime of the burst (tokenBucketParameters()). A token that left the
/// issuer counts as spent, whether or not its grant arrives.

namespace figlanding {

/// Rate limit of a team.
struct TokenRate
{
    double perSecond = 0.0;
    double burst = 0.0;

    auto operator==(const TokenRate &) const -> bool = default;
};

/// Settings of TokenIssuer and TokenClient; the same on all VMs.
struct TokenLimitOptions
{
    milliseconds maxBatchLifetime{200}; ///< maximum age of a token, from when it was requested
    milliseconds minBatchLifetime{20}; ///< must exceed a round trip between two VMs
    milliseconds tokenRequestTimeout{50}; ///< a token request without an answer expires after this
    milliseconds maxWait{30}; ///< maximum wait of a request for a token
    /// Maximum wait of a request while the issuer is unreachable or not yet open. No tokens are
    /// issued during that time, so the longer wait does not affect the bound.
    milliseconds maxIssuerLossWait{2500};
    milliseconds prefetch{20}; ///< tokens are requested ahead for the demand of this time
    milliseconds closedRetryInterval{20}; ///< delay before retrying an issuer that is not open

    auto operator==(const TokenLimitOptions &) const -> bool = default;
};

/// Parameters of a token bucket and lifetime of the batches granted from it.
struct TokenBucketParameters
{
    double refillPerSecond = 0.0;
    double capacity = 0.0;
    Duration batchLifetime{};

    auto operator==(const TokenBucketParameters &) const -> bool = default;
};

/// Derives bucket parameters that guarantee the bound described at the head of this file.
///
/// The batch lifetime is chosen so that it uses up a quarter of the burst, within the limits of
/// @p options. If the burst is below 1 + perSecond * minBatchLifetime, the refill rate is lowered
/// as well. A burst below 1 admits nothing.
[[nodiscard]] auto tokenBucketParameters(const TokenRate &rate, const TokenLimitOptions &options)
    -> TokenBucketParameters;

/// Request of an entry VM for tokens.
struct TokenRequest
{
    std::uint64_t sequence = 0; ///< identifies the request; repeated in the grant
    std::uint32_t needed = 0; ///< tokens for waiting requests
    std::uint32_t wanted = 0; ///< tokens for waiting and expected requests; at least @ref needed

    auto operator==(const TokenRequest &) const -> bool = default;
};

/// Answer of the issuer to a TokenRequest.
struct TokenGrant
{
    std::uint64_t sequence = 0; ///< that of the token request
    std::uint32_t tokens = 0;
    bool open = true; ///< false if the issuer grants nothing yet
    Duration lifetime{}; ///< counted from the time at which the request was sent
    Duration retryAfter{}; ///< delay until the next request if @ref tokens is 0

    auto operator==(const TokenGrant &) const -> bool = default;
};

/// State that an issuer transfers to its successor.
struct TokenHandOver
{
    std::uint64_t epoch = 0; ///< offset of the record that changed the issuer
    double tokens = 0.0;

    auto operator==(const TokenHandOver &) const -> bool = default;
};

/// Token bucket of one team, kept by its issuer.
///
/// A new issuer starts with an empty bucket and grants nothing before a given time at which the
/// predecessor is certain to have stopped: one view lifetime plus the clock drift allowance after
/// this VM applied the change. It need not also wait for the predecessor's batches to expire,
/// because the bucket starts empty.
class TokenIssuer
{
public:
    /// @param rate rate limit of the team
    /// @param options settings shared by all VMs
    /// @param epoch offset of the record that made this VM the issuer
    /// @param opensAt time before which no token is granted
    TokenIssuer(const TokenRate &rate, const TokenLimitOptions &options, std::uint64_t epoch,
                TimePoint opensAt);

    /// Answers a token request. Tokens for expected requests are taken only from the upper half of
    /// the bucket. Call it only while this VM's view of the cluster is fresh and names this VM as
    /// the issuer.
    [[nodiscard]] auto grant(const TokenRequest &request, TimePoint now) -> TokenGrant;

    /// Changes the rate limit. The new bound holds for every window that begins at least one old
    /// batch lifetime later.
    void setRate(const TokenRate &rate, TimePoint now);

    /// Stops permanently and returns the remaining tokens for the successor.
    /// @param epoch offset of the record that changed the issuer
    /// @return nothing if this issuer was not open; the successor then waits until it opens
    [[nodiscard]] auto release(std::uint64_t epoch, TimePoint now) -> std::optional<TokenHandOver>;

    /// Opens immediately with the tokens of the predecessor. Ignored if this issuer is already open
    /// or released, or if the hand-over belongs to another change of the issuer.
    void accept(const TokenHandOver &handOver, TimePoint now);

    /// Returns the number of tokens in the bucket at @p now.
    [[nodiscard]] auto level(TimePoint now) const -> double;

private:
    void refill(TimePoint now);
    [[nodiscard]] auto timeUntilToken(TimePoint now) const -> Duration;

    TokenLimitOptions m_options;
    TokenBucketParameters m_bucketParameters;
    std::uint64_t m_epoch;
    TimePoint m_opensAt;
    TimePoint m_updatedAt;
    double m_level = 0.0;
    bool m_released = false;
};

/// Decision of an entry VM on a request of a team.
enum class TokenDecision {
    Admit,
    Wait, ///< call retry() after each grant and at wakeUpAt()
    Refuse,
};

/// Tokens of one team at one entry VM. At most one token request is in flight at a time.
class TokenClient
{
public:
    explicit TokenClient(const TokenLimitOptions &options);

    /// Decides on a newly arrived request.
    [[nodiscard]] auto arrive(TimePoint now) -> TokenDecision;
    /// Decides again on a waiting request.
    /// @param arrivedAt time at which arrive() was called for it
    [[nodiscard]] auto retry(TimePoint arrivedAt, TimePoint now) -> TokenDecision;
    /// Drops a waiting request whose caller has disconnected.
    void abandon();

    /// Returns the token request to send now, if any. Call it after arrive(), retry() and
    /// onGrant().
    [[nodiscard]] auto takeTokenRequest(TimePoint now) -> std::optional<TokenRequest>;
    /// Processes the answer to the token request in flight; any other answer is ignored.
    void onGrant(const TokenGrant &grant, TimePoint now);

    /// Returns when to call takeTokenRequest() and retry() again if no grant arrives before. Use
    /// one timer per client for it.
    /// @return nothing if no request is waiting
    [[nodiscard]] auto wakeUpAt(TimePoint now) const -> std::optional<TimePoint>;
    /// Returns the delay to send to a refused caller as Retry-After.
    [[nodiscard]] auto retryAfter(TimePoint now) const -> Duration;
    /// Returns the number of tokens that have not expired at @p now.
    [[nodiscard]] auto availableTokens(TimePoint now) const -> std::uint32_t;

private:
    struct Batch
    {
        std::uint32_t tokens = 0;
        TimePoint expiresAt;
    };
    struct PendingRequest
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };

    [[nodiscard]] auto takeToken(TimePoint now) -> bool;
    [[nodiscard]] auto longestWait(TimePoint now) const -> Duration;
    void markIssuerUnavailable(TimePoint now);

    TokenLimitOptions m_options;
    DecayingRate m_demand;
    std::deque<Batch> m_batches; ///< sorted by expiry
    std::optional<PendingRequest> m_pending;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_waiting = 0;
    TimePoint m_issuerUnavailableUntil; ///< until then, maxIssuerLossWait applies
    TimePoint m_emptyUntil; ///< the issuer reported that it has no token before this
};

} // namespace figlanding
