#include "gateway/follower_log.h"

#include "gateway/log_values.h"
#include "io/log.h"

#include <utility>

namespace figlanding {

FollowerLog::FollowerLog(std::string name, Metrics &metrics)
    : m_name(std::move(name))
    , m_metrics(metrics)
{ }

auto FollowerLog::add(const FollowerEvent &event) -> void
{
    std::visit([this](const auto &content) { this->write(content); }, event);
}

auto FollowerLog::write(const ReplacedRead &read) -> void
{
    m_metrics.countReplacedRead(m_name);
    logEvent(LogLevel::Info, "read-replaced",
             {{"topic", m_name},
              {"ms", toMs(read.sentFor)},
              {"unanswered", read.unanswered},
              {"behind", read.behind}});
}

auto FollowerLog::write(const RecordsMissing &records) -> void
{
    m_metrics.countMissingRecords(m_name);
    logEvent(LogLevel::Info, "records-missing",
             {{"topic", m_name},
              {"ms", toMs(records.missingFor)},
              {"next", records.next},
              {"peer_end", records.peerEnd},
              {"failures", records.failures}});
}

auto FollowerLog::write(const RecordsComplete &records) -> void
{
    logEvent(LogLevel::Info, "records-complete",
             {{"topic", m_name}, {"ms", toMs(records.missingFor)}, {"next", records.next}});
}

auto FollowerLog::write(const StoreLost &lost) -> void
{
    logEvent(LogLevel::Warning, "store-lost", {{"topic", m_name}, {"error", describe(lost.error)}});
}

auto FollowerLog::write(const StoreRegained &regained) -> void
{
    logEvent(LogLevel::Info, "store-regained",
             {{"topic", m_name}, {"offset", regained.end}, {"relayed", regained.relayed}});
}

} // namespace figlanding
