#include "apply_steps.h"
#include "text.h"

namespace figlanding {

namespace {

// Maximum number of list items in a summary; the rest is only counted.
constexpr std::size_t maxListedItems = 8;
// Maximum length of a reason or evidence in a summary, in bytes; the rest is cut off.
constexpr std::size_t maxQuotedBytes = 200;

// Returns ": " and the evidence, or an empty text if there is none.
auto textSuffix(std::string_view evidence) -> std::string
{
    auto text = std::string(evidence.empty() ? "" : ": ");
    text += evidence.substr(0, maxQuotedBytes);
    return text;
}

// Joins the non-empty texts that @p text returns for the elements.
template <typename Element, typename Text>
auto joinTexts(const std::vector<Element> &elements, const Text &text) -> std::string
{
    auto list = std::string{};
    auto listed = std::size_t{0};
    for (const auto &element : elements) {
        const auto item = text(element);
        if (!item.empty() && listed++ < maxListedItems) {
            list += (list.empty() ? "" : ", ") + item;
        }
    }
    if (listed > maxListedItems) {
        list += " and " + std::to_string(listed - maxListedItems) + " more";
    }
    return list;
}

auto summarize(const ConfigChange &change) -> std::string
{
    const auto set = joinTexts(change.changes, [](const ObjectChange &item) {
        return item.object ? toText(item.ref) : std::string{};
    });
    const auto removed = joinTexts(change.changes, [](const ObjectChange &item) {
        return item.object ? std::string{} : toText(item.ref);
    });
    auto text = set.empty() ? std::string{} : "set " + set;
    if (!removed.empty()) {
        text += (text.empty() ? "remove " : "; remove ") + removed;
    }
    return text + textSuffix(change.reason);
}

auto summarize(const TermClaim &claim) -> std::string
{
    return "VM " + quoted(claim.vm.value()) + " claims term " + std::to_string(claim.term);
}

auto summarize(const MemberChange &change) -> std::string
{
    return "VM " + quoted(change.vm.value()) + (change.join ? " joins" : " leaves");
}

auto summarize(const ServerStatusChange &change) -> std::string
{
    return "server " + quoted(change.server.value()) + (change.up ? " is up" : " is down")
        + textSuffix(change.evidence);
}

auto summarize(const BeginMoves &begin) -> std::string
{
    return "begin moves of service " + quoted(begin.service.value()) + ": "
        + joinTexts(begin.moves, [](const Move &move) {
               const auto what = move.key.empty() ? "shard " + std::to_string(move.shard)
                                                  : "key " + quoted(move.key);
               return what + " to " + quoted(move.to.value());
           });
}

auto summarize(const CommitMoves &commit) -> std::string
{
    return "commit moves of service " + quoted(commit.service.value()) + " that began at offset "
        + std::to_string(commit.begin);
}

auto summarize(const KeyIsolation &isolation) -> std::string
{
    return (isolation.isolate ? "isolate key " : "return key ") + quoted(isolation.key)
        + " of service " + quoted(isolation.service.value());
}

auto summarize(const QuarantineChange &change) -> std::string
{
    return (change.quarantine ? "quarantine request " : "release request ")
        + quoted(change.requestDigest) + textSuffix(change.evidence);
}

auto summarize(const UnreadableRecord &) -> std::string
{
    return "unreadable record";
}

auto summarize(const SnapshotChunk &chunk) -> std::string
{
    return "snapshot up to offset " + std::to_string(chunk.covers);
}

} // namespace

auto summaryOf(const RecordPayload &payload) -> std::string
{
    return std::visit([](const auto &value) { return summarize(value); }, payload);
}

} // namespace figlanding
