#include "figlanding/quarantine.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

auto describeCrash(const BackendServerId &server, const std::string &bootId) -> std::string
{
    return server.value() + (bootId.empty() ? "" : " (boot id " + bootId + ")");
}

} // namespace

PoisonRequestDetector::PoisonRequestDetector(const PoisonRequestDetectorOptions &options,
                                             std::string author)
    : m_options(options)
    , m_author(std::move(author))
{ }

void PoisonRequestDetector::onStart(const BackendServerId &server, const std::string &digest,
                                    TimePoint now)
{
    auto &runs = m_runs[server];
    std::erase_if(runs, [&](const Run &run) {
        return run.unansweredAt && now - *run.unansweredAt > m_options.unansweredRunWindow;
    });
    runs.push_back(Run{.digest = digest, .startedAt = now});
}

auto PoisonRequestDetector::removeRun(const BackendServerId &server, const std::string &digest)
    -> std::optional<Run>
{
    auto &runs = m_runs[server];
    const auto found = std::find_if(runs.begin(), runs.end(), [&](const Run &run) {
        return run.digest == digest && !run.unansweredAt;
    });
    if (found == runs.end()) {
        return std::nullopt;
    }
    auto run = std::move(*found);
    runs.erase(found);
    return run;
}

auto PoisonRequestDetector::onAnswer(const BackendServerId &server, const std::string &digest,
                                     TimePoint now) -> bool
{
    const auto run = removeRun(server, digest);
    const auto suspect = m_suspects.find(digest);
    if (!run || suspect == m_suspects.end()) {
        return false;
    }
    // A run that started before the last crash doesn't show that a run after it succeeds.
    if (run->startedAt <= suspect->second.lastCrashAt || now < run->startedAt) {
        return false;
    }
    m_suspects.erase(suspect);
    return true;
}

void PoisonRequestDetector::onNoAnswer(const BackendServerId &server, const std::string &digest,
                                       TimePoint now)
{
    if (auto run = removeRun(server, digest)) {
        run->unansweredAt = now;
        m_runs[server].push_back(std::move(*run));
    }
}

auto PoisonRequestDetector::extractRuns(const BackendServerId &server, TimePoint now)
    -> std::vector<Run>
{
    auto runs = std::exchange(m_runs[server], {});
    std::erase_if(runs, [&](const Run &run) {
        return run.unansweredAt && now - *run.unansweredAt > m_options.unansweredRunWindow;
    });
    return runs;
}

auto PoisonRequestDetector::onCrash(const BackendServerId &server, const std::string &bootId,
                                    TimePoint now, milliseconds unixNow) -> CrashFindings
{
    expire(now);
    auto findings = CrashFindings{.report = {.server = server, .bootId = bootId}};
    auto &digests = findings.report.digests;
    for (const auto &run : extractRuns(server, now)) {
        if (std::find(digests.begin(), digests.end(), run.digest) != digests.end()) {
            continue;
        }
        digests.push_back(run.digest);
        const auto *suspect =
            recordCrash(run.digest, describeCrash(server, bootId), run.startedAt, now);
        if (suspect != nullptr && suspect->crashes.size() >= m_options.crashesToQuarantine) {
            findings.proposals.push_back(proposalFor(run.digest, *suspect, unixNow));
        }
    }
    return findings;
}

auto PoisonRequestDetector::recordCrash(const std::string &digest, const std::string &crash,
                                        std::optional<TimePoint> startedAt, TimePoint now)
    -> const Suspect *
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        if (m_suspects.size() >= m_options.maxSuspects) {
            const auto oldest = std::min_element(
                m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
                    return a.second.lastCrashAt < b.second.lastCrashAt;
                });
            m_suspects.erase(oldest);
        }
        return &m_suspects.emplace(digest, Suspect{.lastCrashAt = now, .crashes = {crash}})
                    .first->second;
    }
    auto &suspect = found->second;
    if (!startedAt || *startedAt <= suspect.lastCrashAt) {
        return nullptr;
    }
    suspect.lastCrashAt = now;
    suspect.crashes.push_back(crash);
    return &suspect;
}

auto PoisonRequestDetector::proposalFor(const std::string &digest, const Suspect &suspect,
                                        milliseconds unixNow) const -> QuarantineChange
{
    auto evidence = std::string("in flight at the crashes of");
    for (const auto &crash : suspect.crashes) {
        evidence += (&crash == &suspect.crashes.front() ? " " : ", ") + crash;
    }
    const auto until = unixNow + m_options.quarantine;
    return QuarantineChange{.author = m_author,
                            .requestDigest = digest,
                            .quarantine = true,
                            .evidence = std::move(evidence),
                            .untilUnixMs = until.count()};
}

void PoisonRequestDetector::onReport(const CrashReport &report, TimePoint now)
{
    expire(now);
    for (const auto &digest : report.digests) {
        recordCrash(digest, describeCrash(report.server, report.bootId), std::nullopt, now);
    }
}

void PoisonRequestDetector::clearSuspect(const std::string &digest)
{
    m_suspects.erase(digest);
}

auto PoisonRequestDetector::isSuspect(const std::string &digest, TimePoint now) const -> bool
{
    const auto found = m_suspects.find(digest);
    return found != m_suspects.end()
        && now - found->second.lastCrashAt < m_options.suspectRetention;
}

void PoisonRequestDetector::expire(TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto &item) {
        return now - item.second.lastCrashAt >= m_options.suspectRetention;
    });
}

} // namespace figlanding
