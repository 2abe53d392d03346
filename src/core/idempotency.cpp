#include "figlanding/idempotency.h"

#include <algorithm>
#include <iterator>

namespace figlanding {

namespace {

auto sizeOf(const StoredAnswer &answer) -> std::size_t
{
    auto bytes = answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

auto outcomeOf(IdempotencyPhase phase, bool hasAnswer) -> IdempotencyOutcome
{
    switch (phase) {
    case IdempotencyPhase::InFlight:
        return IdempotencyOutcome::InFlight;
    case IdempotencyPhase::Ran:
        return hasAnswer ? IdempotencyOutcome::Replay : IdempotencyOutcome::AnswerLost;
    case IdempotencyPhase::MayHaveRun:
        return IdempotencyOutcome::OutcomeUnknown;
    }
    return IdempotencyOutcome::OutcomeUnknown;
}

} // namespace

IdempotencyStore::IdempotencyStore(const IdempotencyOptions &options, TimePoint now)
    : m_options(options)
    , m_completeSince(now)
{ }

auto IdempotencyStore::begin(const IdempotencyScope &scope, const std::string &digest,
                             TimePoint now) -> IdempotencyDecision
{
    expire(now);
    const auto found = m_entries.find(scope);
    if (found != m_entries.end()) {
        const auto &entry = found->second;
        if (entry.digest != digest) {
            return IdempotencyDecision{.outcome = IdempotencyOutcome::KeyReused};
        }
        return IdempotencyDecision{.outcome = outcomeOf(entry.phase, entry.answer != nullptr),
                                   .answer = entry.answer};
    }
    if (!evictIfFull(now)) {
        return IdempotencyDecision{.outcome = IdempotencyOutcome::StoreFull};
    }
    m_entries.emplace(scope, Entry{.digest = digest});
    return IdempotencyDecision{.outcome = IdempotencyOutcome::Run};
}

void IdempotencyStore::finish(const IdempotencyScope &scope, Verdict verdict, StoredAnswer answer,
                              TimePoint now)
{
    const auto found = m_entries.find(scope);
    if (found == m_entries.end() || found->second.phase != IdempotencyPhase::InFlight) {
        return;
    }
    switch (verdict) {
    case Verdict::NotRun:
        m_entries.erase(found);
        break;
    case Verdict::MayHaveRun:
        markEnded(found, IdempotencyPhase::MayHaveRun, now);
        break;
    case Verdict::Ran:
        markEnded(found, IdempotencyPhase::Ran, now);
        storeAnswer(found->second, std::move(answer));
        break;
    }
}

void IdempotencyStore::markEnded(Entries::iterator entry, IdempotencyPhase phase, TimePoint now)
{
    entry->second.phase = phase;
    entry->second.endedAt = now;
    entry->second.position = m_ended.insert(m_ended.end(), entry->first);
}

void IdempotencyStore::storeAnswer(Entry &entry, StoredAnswer answer)
{
    const auto bytes = sizeOf(answer);
    if (bytes > m_options.maxAnswerBytes || bytes > m_options.maxTotalBytes) {
        return;
    }
    // Discards the oldest responses but keeps their entries, so that duplicates still aren't run.
    for (auto oldest = m_ended.begin();
         m_answerBytes + bytes > m_options.maxTotalBytes && oldest != m_ended.end(); ++oldest) {
        discardAnswer(m_entries.at(*oldest));
    }
    m_answerBytes += bytes;
    entry.answer = std::make_shared<const StoredAnswer>(std::move(answer));
}

void IdempotencyStore::discardAnswer(Entry &entry)
{
    if (entry.answer) {
        m_answerBytes -= sizeOf(*entry.answer);
        entry.answer.reset();
    }
}

void IdempotencyStore::erase(Entries::iterator entry)
{
    discardAnswer(entry->second);
    m_ended.erase(entry->second.position);
    m_entries.erase(entry);
}

void IdempotencyStore::expire(TimePoint now)
{
    while (!m_ended.empty()) {
        const auto oldest = m_entries.find(m_ended.front());
        if (now - oldest->second.endedAt < m_options.retention) {
            return;
        }
        erase(oldest);
    }
}

auto IdempotencyStore::evictIfFull(TimePoint now) -> bool
{
    if (m_entries.size() < m_options.maxEntries) {
        return true;
    }
    // Entries of requests in flight are never evicted.
    if (m_ended.empty()) {
        return false;
    }
    erase(m_entries.find(m_ended.front()));
    m_completeSince = now;
    return true;
}

auto IdempotencyStore::replicaEntries() const -> std::vector<IdempotencyReplicaEntry>
{
    auto result = std::vector<IdempotencyReplicaEntry>{};
    result.reserve(m_entries.size());
    for (const auto &[scope, entry] : m_entries) {
        result.push_back({.scope = scope, .digest = entry.digest, .phase = entry.phase});
    }
    return result;
}

void IdempotencyStore::importReplica(const IdempotencyReplicaEntry &replica, TimePoint now)
{
    expire(now);
    const auto phase =
        replica.phase == IdempotencyPhase::Ran ? replica.phase : IdempotencyPhase::MayHaveRun;
    auto found = m_entries.find(replica.scope);
    if (found == m_entries.end()) {
        if (!evictIfFull(now)) {
            m_completeSince = now;
            return;
        }
        found = m_entries.emplace(replica.scope, Entry{.digest = replica.digest, .imported = true})
                    .first;
    } else if (!found->second.imported || found->second.phase == IdempotencyPhase::Ran) {
        return;
    } else {
        m_ended.erase(found->second.position);
    }
    markEnded(found, phase, now);
}

void IdempotencyStore::removeImported(const IdempotencyScope &scope)
{
    const auto found = m_entries.find(scope);
    if (found != m_entries.end() && found->second.imported) {
        erase(found);
    }
}

void IdempotencyStore::setCompleteSince(TimePoint since)
{
    m_completeSince = since;
}

} // namespace figlanding
