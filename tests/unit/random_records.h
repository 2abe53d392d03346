#pragma once

#include "figlanding/random.h"
#include "state_machine_fixture.h"

/// @file
/// Random records, valid and invalid, that refer to the objects of smallCluster().

namespace figlanding {

/// Generates a reproducible sequence of records from a seed.
class RandomRecords
{
public:
    explicit RandomRecords(std::uint64_t seed)
        : m_engine(seed)
    { }

    /// Returns a random number from 0 to @p limit - 1.
    auto below(std::uint32_t limit) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_engine() % limit);
    }

    /// Returns a random payload that may be accepted or refused when applied to @p state.
    auto payload(const ClusterState &state) -> RecordPayload
    {
        switch (below(9)) {
        case 0:
            return TermClaim{.term = state.term + below(2), .vm = vm()};
        case 1:
            return configChange(state);
        case 2:
            return memberChange(vm().value().c_str(), below(2) == 0 ? "i1" : "i2", below(3) != 0);
        case 3:
            return ServerStatusChange{.term = state.term, .server = server(), .up = below(2) == 0};
        case 4:
            return KeyIsolation{
                .term = state.term, .service = rooms(), .key = key(), .isolate = below(3) != 0};
        case 5:
            return QuarantineChange{.author = "vm-1",
                                    .requestDigest = key(),
                                    .quarantine = below(4) != 0,
                                    .untilUnixMs = state.unixMs + below(9000)};
        case 6:
            return CommitMoves{
                .term = state.term, .service = rooms(), .begin = state.offset - below(4)};
        default:
            return beginMoves(state);
        }
    }

    /// Appends a random record. One in ten uses an earlier sequence number, so that its id may be a
    /// duplicate.
    auto appendTo(InMemoryLog &log) -> void
    {
        const auto sequence = log.state().offset + 1 - (below(10) == 0 ? 3 : 0);
        log.append({.writer = vm().value(), .sequence = sequence}, payload(log.state()));
    }

private:
    auto vm() -> VmId
    {
        return VmId("vm-" + std::to_string(1 + below(3)));
    }

    auto server() -> BackendServerId
    {
        return BackendServerId("s" + std::to_string(1 + below(5)));
    }

    static auto rooms() -> ServiceId
    {
        return ServiceId("rooms");
    }

    auto key() -> std::string
    {
        return "key-" + std::to_string(below(4));
    }

    auto beginMoves(const ClusterState &state) -> BeginMoves
    {
        auto begin = BeginMoves{.term = state.term, .service = rooms()};
        for (auto count = below(3); count > 0; --count) {
            auto move = Move{.shard = below(9), .to = server()};
            move.key = below(4) == 0 ? key() : "";
            begin.moves.push_back(move);
        }
        return begin;
    }

    auto configChange(const ClusterState &state) -> ConfigChange
    {
        auto change = ConfigChange{.author = "ann"};
        auto &item = change.changes.emplace_back();
        auto object = randomObject();
        item.ref = refOf(object);
        if (below(4) != 0) {
            item.object = std::move(object);
        }
        if (below(2) == 0) {
            item.expectedVersion = below(static_cast<std::uint32_t>(state.offset) + 1);
        }
        return change;
    }

    auto randomObject() -> DeclaredObject
    {
        if (below(3) == 0) {
            return RoutingKey{.service = rooms(), .key = key()};
        }
        const auto objects = smallCluster();
        auto object = objects.at(below(static_cast<std::uint32_t>(objects.size())));
        return withLabels(std::move(object), {{"tier", key()}});
    }

    RandomEngine m_engine;
};

} // namespace figlanding
