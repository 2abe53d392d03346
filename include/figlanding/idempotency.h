#pragma once

#include "figlanding/clock.h"
#include "figlanding/names.h"
#include "figlanding/verdict.h"

#include <compare>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Deduplicates requests by their Idempotency-Key. The store is kept by the VM that dispatches to
/// the server that owns the request's routing key, so that all duplicates of a request reach the
/// same store.
///
/// The store is in memory and is lost when its VM fails. A successor has only the entries that
/// were replicated to it. If the entry of a request is replicated to the member that would dispatch
/// next before the request is sent, a duplicate after the failure is not run again. Without a
/// replicated entry the successor cannot distinguish a duplicate from a new request and runs it;
/// completeSince() returns the time from which the store has an entry for every request.

namespace figlanding {

/// An Idempotency-Key qualified by the team and the service within which it is unique.
struct IdempotencyScope
{
    TeamId team; ///< empty on open routes
    ServiceId service;
    std::string key; ///< value of the Idempotency-Key header

    auto operator<=>(const IdempotencyScope &) const = default;
};

/// A response kept for replay to duplicates.
struct StoredAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto operator==(const StoredAnswer &) const -> bool = default;
};

/// How to handle a request that carries an Idempotency-Key.
enum class IdempotencyOutcome {
    Run, ///< the first request with this key; finish() must follow
    InFlight, ///< an equal request is in flight; wait for its response, or refuse with MayHaveRun
    Replay, ///< an equal request ran; replay its stored response
    AnswerLost, ///< an equal request ran and its response is not stored; refuse with Ran
    OutcomeUnknown, ///< an equal request may have run; refuse with MayHaveRun
    KeyReused, ///< a different request has this key; refuse with NotRun
    StoreFull, ///< every entry is in flight, so none can be evicted; refuse with NotRun
};

/// Result of IdempotencyStore::begin().
struct IdempotencyDecision
{
    IdempotencyOutcome outcome = IdempotencyOutcome::Run;
    std::shared_ptr<const StoredAnswer> answer; ///< set for Replay only
};

/// Execution state of a stored request.
enum class IdempotencyPhase { InFlight, Ran, MayHaveRun };

/// An entry without its response, for replication to another VM.
struct IdempotencyReplicaEntry
{
    IdempotencyScope scope;
    std::string digest;
    IdempotencyPhase phase = IdempotencyPhase::InFlight;

    auto operator==(const IdempotencyReplicaEntry &) const -> bool = default;
};

/// Limits of an IdempotencyStore.
struct IdempotencyOptions
{
    seconds retention{600}; ///< of an entry after its request ended
    std::size_t maxEntries = 20'000;
    std::size_t maxAnswerBytes = 64UL * 1024; ///< larger responses are not stored
    std::size_t maxTotalBytes = 16UL * 1024 * 1024; ///< of all stored responses

    auto operator==(const IdempotencyOptions &) const -> bool = default;
};

/// Bounded in-memory store of requests and their responses, indexed by Idempotency-Key.
class IdempotencyStore
{
public:
    /// @param now creation time, the initial value of completeSince()
    IdempotencyStore(const IdempotencyOptions &options, TimePoint now);

    /// Looks up a request and adds an entry if it is the first with its key.
    /// @param digest requestDigest() of the request
    /// @return how to handle the request, with the stored response for Replay
    [[nodiscard]] auto begin(const IdempotencyScope &scope, const std::string &digest,
                             TimePoint now) -> IdempotencyDecision;
    /// Records the outcome of a request for which begin() returned Run. NotRun removes the entry,
    /// so that a duplicate may run.
    void finish(const IdempotencyScope &scope, Verdict verdict, StoredAnswer answer, TimePoint now);

    /// Returns all entries without their responses, for a planned change of the dispatching VM.
    [[nodiscard]] auto replicaEntries() const -> std::vector<IdempotencyReplicaEntry>;
    /// Adds or updates an entry replicated from another VM. A request in flight there is stored as
    /// one that may have run. An entry created by this VM takes precedence.
    void importReplica(const IdempotencyReplicaEntry &replica, TimePoint now);
    /// Removes an imported entry, after the other VM reported that the request was not run. An
    /// entry created by this VM is kept.
    void removeImported(const IdempotencyScope &scope);
    /// Sets completeSince() after all entries of the predecessor have been imported.
    void setCompleteSince(TimePoint since);

    /// Returns the time since which no entry was evicted before its retention ended.
    [[nodiscard]] auto completeSince() const -> TimePoint
    {
        return m_completeSince;
    }
    /// Returns the number of entries.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_entries.size();
    }
    /// Returns the total size of the stored responses in bytes.
    [[nodiscard]] auto answerBytes() const -> std::size_t
    {
        return m_answerBytes;
    }

private:
    using Order = std::list<IdempotencyScope>;
    struct Entry
    {
        std::string digest;
        IdempotencyPhase phase = IdempotencyPhase::InFlight;
        bool imported = false; ///< replicated from another VM
        std::shared_ptr<const StoredAnswer> answer;
        TimePoint endedAt;
        Order::iterator position; ///< in m_ended; valid unless InFlight
    };
    using Entries = std::map<IdempotencyScope, Entry>;

    void expire(TimePoint now);
    // Evicts the entry that ended first if the store is full.
    // Returns false if it is full of requests in flight.
    [[nodiscard]] auto evictIfFull(TimePoint now) -> bool;
    void markEnded(Entries::iterator entry, IdempotencyPhase phase, TimePoint now);
    void storeAnswer(Entry &entry, StoredAnswer answer);
    void discardAnswer(Entry &entry);
    void erase(Entries::iterator entry);

    IdempotencyOptions m_options;
    Entries m_entries;
    Order m_ended; ///< in the order in which the requests ended
    std::size_t m_answerBytes = 0;
    TimePoint m_completeSince;
};

} // namespace figlanding
