#pragma once

#include "io/http_server.h"
#include "standins/store_call.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Stand-in for the platform's store: keyed topics with one partition, and consumer groups.

namespace figlanding::standins {

/// Injected faults of the store.
struct PlatformStoreFaults
{
    bool down = false; ///< responds with 503
    bool silent = false; ///< accepts calls and never responds
    bool dropAppendResponses = false; ///< appends take effect without a response
    bool truncatedHistory = false; ///< reads before the end get 410
};

/// How the store pages and reads calls.
struct PlatformStoreOptions
{
    std::size_t pageRecords = 3; ///< newest records on a page; few, so that tests read several
    PlusSign plusSign = PlusSign::Itself;
};

/// Keeps records and group memberships in memory.
class PlatformStore
{
public:
    explicit PlatformStore(EventLoop &loop, PlatformStoreOptions options = {});
    ~PlatformStore();
    PlatformStore(const PlatformStore &) = delete;
    auto operator=(const PlatformStore &) -> PlatformStore & = delete;

    /// Starts to listen on a loopback port.
    /// @return the error of the listening socket, if there is one
    [[nodiscard]] auto start() -> Result<void>;
    [[nodiscard]] auto address() const -> SocketAddress;
    auto setFaults(const PlatformStoreFaults &faults) -> void;
    /// Appends a record, as operators and servers do; without a value the key is removed.
    auto put(const std::string &topic, const std::string &key, std::optional<std::string> value)
        -> void;
    /// Returns the number of calls since the start.
    [[nodiscard]] auto calls() const -> std::size_t
    {
        return m_calls;
    }

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct PendingRead
    {
        HttpExchange exchange;
        std::string topic;
        std::uint64_t from = 0;
        TimePoint until;
    };

    auto handle(HttpExchange exchange) -> void;
    auto read(HttpExchange exchange, const StoreCall &call) -> void;
    auto append(HttpExchange exchange, const StoreCall &call) -> void;
    auto newest(HttpExchange exchange, const StoreCall &call) -> void;
    auto join(HttpExchange exchange, const StoreCall &call) -> void;
    auto completePendingReads() -> void;
    [[nodiscard]] auto page(const std::string &topic, std::uint64_t from) const -> HttpResponse;

    EventLoop &m_loop;
    PlatformStoreOptions m_options;
    PlatformStoreFaults m_faults;
    std::unique_ptr<HttpServer> m_server;
    Timer m_timer;
    std::map<std::string, std::vector<Record>> m_topics;
    std::list<PendingRead> m_pendingReads;
    std::list<HttpExchange> m_unanswered;
    std::map<std::string, std::map<std::string, TimePoint>> m_groups; ///< members, their expiry
    std::size_t m_calls = 0;
};

} // namespace figlanding::standins
