#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// @file
/// Stand-ins of the second review: the platform's store, upstreams, clients and the processes under
/// test, with blocking sockets and one thread per connection. They follow the users' pages and
/// share no code with the product. All addresses are loopback addresses.

namespace stage {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point startOfRun = Clock::now();

/// Returns the time since the start of the run in milliseconds.
inline auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun).count();
}

inline auto sleepMs(std::int64_t span) -> void
{
    std::this_thread::sleep_for(milliseconds(span));
}

/// The record of a run: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    { }
    auto add(const std::string &line) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " ms  " << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::unique_ptr<Record> record;

inline auto note(const std::string &line) -> void
{
    if (record) {
        record->add(line);
    }
}

/// A socket that is closed on destruction.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    { }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    { }
    auto operator=(Socket &&other) noexcept -> Socket &
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        return *this;
    }
    ~Socket()
    {
        close();
    }
    [[nodiscard]] auto fd() const -> int
    {
        return m_fd;
    }
    auto close() -> void
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    /// Closes the connection with a reset.
    auto reset() -> void
    {
        if (m_fd >= 0) {
            const auto hard = linger{1, 0};
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            close();
        }
    }

private:
    int m_fd;
};

inline auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline auto portOf(int fd) -> std::uint16_t
{
    auto address = sockaddr_in{};
    auto size = socklen_t{sizeof address};
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Opens a listening socket on a loopback port; 0 selects a free one below the ephemeral range.
inline auto listenOn(std::uint16_t port) -> Socket
{
    static auto next = std::atomic<unsigned>{std::random_device{}() % 9000U};
    for (auto tries = 0; tries < 2000; ++tries) {
        auto socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto on = 1;
        ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto wanted = port != 0 ? port : static_cast<std::uint16_t>(21000 + next++ % 9000U);
        const auto address = loopback(wanted);
        if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
            && ::listen(socket.fd(), 512) == 0) {
            return socket;
        }
        if (port != 0) {
            sleepMs(5);
        }
    }
    std::cerr << "no free port\n";
    std::_Exit(2);
}

inline auto freePort() -> std::uint16_t
{
    return portOf(listenOn(0).fd());
}

/// Connects to a loopback port.
/// @param windowBytes receive buffer; 0: that of the system
inline auto connectTo(std::uint16_t port, int windowBytes = 0) -> Socket
{
    auto socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (windowBytes > 0) {
        ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
    }
    const auto address = loopback(port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        socket.close();
        return socket;
    }
    const auto on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline auto sendAll(int fd, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// A request or a response, with header names in lower case.
struct Message
{
    std::string first; ///< request line or status line
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false; ///< its end was read
    bool lengthKnown = true; ///< of a response: the body has a length or is in chunks

    [[nodiscard]] auto header(const std::string &name) const -> std::string
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    [[nodiscard]] auto word(int index) const -> std::string
    {
        auto stream = std::istringstream(first);
        auto text = std::string{};
        for (auto i = 0; i <= index; ++i) {
            stream >> text;
        }
        return text;
    }
    [[nodiscard]] auto method() const -> std::string
    {
        return word(0);
    }
    [[nodiscard]] auto target() const -> std::string
    {
        return word(1);
    }
    [[nodiscard]] auto status() const -> int
    {
        return std::atoi(word(1).c_str());
    }
};

/// Reads messages from a connection, keeping what follows a message for the next one.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    { }

    /// Reads the head of a message. Returns nothing at the end of the connection or after the
    /// limit.
    auto readHead(std::int64_t limitMs = -1) -> std::optional<Message>
    {
        const auto due = limitMs < 0 ? -1 : nowMs() + limitMs;
        auto end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(due)) {
                return std::nullopt;
            }
        }
        auto message = Message{};
        auto stream = std::istringstream(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        auto line = std::string{};
        while (std::getline(stream, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const auto from = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = from == std::string::npos ? "" : line.substr(from);
        }
        return message;
    }

    /// Reads the body that belongs to a head. Returns whether its end was read.
    auto readBody(Message &message, bool isResponse, std::int64_t limitMs = -1) -> bool
    {
        const auto due = limitMs < 0 ? -1 : nowMs() + limitMs;
        if (message.header("transfer-encoding") == "chunked") {
            return message.complete = readChunks(message, due);
        }
        const auto length = message.header("content-length");
        if (length.empty()) {
            if (!isResponse || message.status() == 204) {
                return message.complete = true;
            }
            message.lengthKnown = false;
            while (more(due)) { }
            message.body = std::exchange(m_buffer, {});
            return message.complete = m_closed && !m_reset;
        }
        const auto size = static_cast<std::size_t>(std::stoull(length));
        while (m_buffer.size() < size) {
            if (!more(due)) {
                message.body = std::exchange(m_buffer, {});
                return false;
            }
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message.complete = true;
    }
    /// Sets the time between two reads, for a link of limited bandwidth: each reads 16 KiB at most.
    auto setPause(std::int64_t pauseMs) -> void
    {
        m_pauseMs = pauseMs;
    }
    [[nodiscard]] auto closed() const -> bool
    {
        return m_closed;
    }
    [[nodiscard]] auto wasReset() const -> bool
    {
        return m_reset;
    }
    [[nodiscard]] auto buffered() const -> const std::string &
    {
        return m_buffer;
    }

private:
    auto readChunks(Message &message, std::int64_t due) -> bool
    {
        for (;;) {
            auto end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(due)) {
                    return false;
                }
            }
            const auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more(due)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    // Reads more bytes. Returns false at the end of the connection, or when the time is over.
    auto more(std::int64_t due) -> bool
    {
        if (m_closed) {
            return false;
        }
        auto waiting = pollfd{.fd = m_fd, .events = POLLIN, .revents = 0};
        const auto left = due < 0 ? -1 : static_cast<int>(std::max<std::int64_t>(0, due - nowMs()));
        if (::poll(&waiting, 1, left) <= 0) {
            return false;
        }
        if (m_pauseMs > 0) {
            sleepMs(m_pauseMs);
        }
        auto bytes = std::array<char, 16384>{};
        const auto count = ::recv(m_fd, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            m_closed = true;
            m_reset = count < 0;
            return false;
        }
        m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
    std::int64_t m_pauseMs = 0;
    bool m_closed = false;
    bool m_reset = false;
};

inline auto response(int status, const std::string &headers, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each with a function on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Socket)>;

    explicit Listener(Serve serve, std::uint16_t port = 0)
        : m_serve(std::move(serve))
    {
        open(port);
    }
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;
    ~Listener()
    {
        shut();
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }
    /// Stops listening, so that the port refuses connections.
    auto shut() -> void
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_socket.close();
    }
    /// Listens again, on the same port.
    auto reopen() -> void
    {
        open(m_port);
    }

private:
    auto open(std::uint16_t port) -> void
    {
        m_stop = false;
        m_socket = listenOn(port);
        m_port = portOf(m_socket.fd());
        m_thread = std::thread([this] {
            while (!m_stop) {
                auto waiting = pollfd{.fd = m_socket.fd(), .events = POLLIN, .revents = 0};
                if (::poll(&waiting, 1, 20) <= 0) {
                    continue;
                }
                auto accepted = Socket(::accept4(m_socket.fd(), nullptr, nullptr, SOCK_CLOEXEC));
                if (accepted.fd() >= 0) {
                    const auto on = 1;
                    ::setsockopt(accepted.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread([this, socket = std::move(accepted)]() mutable {
                        m_serve(std::move(socket));
                    }).detach();
                }
            }
        });
    }

    Serve m_serve;
    Socket m_socket;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

/// The platform's store: keyed topics with one partition, and groups.
class Store
{
public:
    Store()
        : m_listener([this](Socket socket) { serve(std::move(socket)); })
    { }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_listener.port();
    }
    /// Appends a record, as the operator and upstreams do; without a value the key is dropped.
    auto put(const std::string &topic, const std::string &key, std::optional<std::string> value)
        -> void
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, std::move(value)});
        m_changed.notify_all();
    }
    /// Called with each record that the system appends, within the call.
    std::function<void(const std::string &topic, const std::string &key)> onAppend;

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct Group
    {
        std::map<std::string, std::int64_t> expiry; ///< by member
        std::string owner; ///< of all partitions
        std::uint64_t generation = 1;
    };

    static auto query(const std::string &target, const std::string &name) -> std::string
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }
    static auto bigEndian(std::uint64_t value, int bytes) -> std::string
    {
        auto text = std::string{};
        for (auto i = bytes - 1; i >= 0; --i) {
            text.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
        }
        return text;
    }
    static auto base64(const std::string &text) -> std::string
    {
        static constexpr auto digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        auto result = std::string{};
        for (std::size_t i = 0; i < text.size(); i += 3) {
            auto block = std::uint32_t{0};
            const auto count = std::min<std::size_t>(3, text.size() - i);
            for (std::size_t j = 0; j < 3; ++j) {
                block = (block << 8) | (j < count ? static_cast<unsigned char>(text[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                result.push_back(j <= count ? digits[(block >> (18 - 6 * j)) & 63U] : '=');
            }
        }
        return result;
    }

    auto serve(Socket socket) -> void
    {
        auto reader = Reader(socket.fd());
        while (auto request = reader.readHead()) {
            if (!reader.readBody(*request, false)) {
                return;
            }
            sleepMs(3);
            if (!sendAll(socket.fd(), answer(*request))) {
                return;
            }
        }
    }
    auto answer(const Message &request) -> std::string
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        if (path == "/api/log-read") {
            return read(target);
        }
        if (path == "/api/log-newest") {
            return newest(target);
        }
        if (path == "/api/log-append") {
            return append(target, request.body);
        }
        if (path == "/api/log-join") {
            return join(json::parse(request.body));
        }
        if (path == "/api/log-leave") {
            const std::lock_guard lock(m_mutex);
            const auto body = json::parse(request.body);
            m_groups[body.at("group").get<std::string>()].expiry.erase(
                body.at("Member").get<std::string>());
            return response(200, "", "{}");
        }
        return response(404, "", "");
    }
    auto read(const std::string &target) -> std::string
    {
        const auto topic = query(target, "Topic");
        const auto from = std::stoull(query(target, "From"));
        const auto wait = query(target, "WaitMs");
        auto lock = std::unique_lock(m_mutex);
        m_changed.wait_for(lock, milliseconds(wait.empty() ? 0 : std::stol(wait)),
                           [&] { return m_topics[topic].size() > from; });
        const auto &records = m_topics[topic];
        auto body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (auto i = from; i < records.size(); ++i) {
            auto content = std::string(1, static_cast<char>(records[i].key.size())) + records[i].key
                + records[i].value.value_or("");
            body += bigEndian(content.size(), 4) + content;
        }
        return response(200, "", body);
    }
    auto newest(const std::string &target) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        const auto &records = m_topics[query(target, "Topic")];
        auto last = std::map<std::string, std::size_t>{};
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].key] = i;
        }
        auto items = json::array();
        for (const auto &[key, offset] : last) {
            if (records[offset].value) {
                items.push_back(
                    {{"Key", key}, {"Value", base64(*records[offset].value)}, {"Offset", offset}});
            }
        }
        return response(200, "Content-Type: application/json\r\n",
                        json{{"items", items}, {"More", false}, {"End", records.size()}}.dump());
    }
    auto append(const std::string &target, const std::string &body) -> std::string
    {
        const auto topic = query(target, "Topic");
        const auto expected = query(target, "At");
        auto key = std::string{};
        auto offset = std::size_t{0};
        {
            const std::lock_guard lock(m_mutex);
            auto &records = m_topics[topic];
            if (!expected.empty() && std::stoull(expected) != records.size()) {
                return response(412, "", json{{"End", records.size()}}.dump());
            }
            const auto content = body.substr(4);
            const auto length = static_cast<unsigned char>(content.at(0));
            key = content.substr(1, length);
            const auto value = content.substr(1 + length);
            offset = records.size();
            records.push_back({key, value.empty() ? std::nullopt : std::optional(value)});
            m_changed.notify_all();
        }
        if (onAppend) {
            onAppend(topic, key);
        }
        return response(200, "", json{{"Offset", offset}, {"End", offset + 1}}.dump());
    }
    auto join(const json &body) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        auto &group = m_groups[body.at("group").get<std::string>()];
        const auto member = body.at("Member").get<std::string>();
        const auto lifetime = std::stod(body.at("Ttl_time").get<std::string>());
        group.expiry[member] = nowMs() + static_cast<std::int64_t>(lifetime);
        std::erase_if(group.expiry, [](const auto &item) { return item.second < nowMs(); });
        if (!group.expiry.contains(group.owner)) {
            group.owner = group.expiry.begin()->first;
            group.generation += 1;
        }
        auto parts = json::array();
        if (group.owner == member) {
            parts.push_back(json::array({body.at("Topics").at(0), 0, 0}));
        }
        return response(200, "", json{{"Generation", group.generation}, {"parts", parts}}.dump());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    std::map<std::string, Group> m_groups;
    Listener m_listener;
};

/// Settings of an upstream.
struct UpstreamOptions
{
    std::string id;
    std::string service;
    bool sharded = false;
    int slots = 2;
    int queue = 8;
    std::int64_t workMs = 60;
    bool resetsWhenFull = false; ///< otherwise it answers 503 with X-Not-Executed
};

/// What a run of a request was.
struct Run
{
    std::string requestId;
    std::int64_t arrivedAt = 0;
    std::int64_t beganAt = 0;
    Message request;
};

/// A time in which an upstream held a key.
struct Hold
{
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::uint64_t fence = 0;
};

/// An upstream: holds key ranges under leases, and runs requests.
class Upstream
{
public:
    /// May take over a call: returns true if it did. Gets the connection and the request.
    using Hook = std::function<bool(Upstream &, int fd, const Message &)>;

    explicit Upstream(UpstreamOptions options, Hook hook = {})
        : m_options(std::move(options))
        , m_hook(std::move(hook))
        , m_born(1'790'000'000'000 + ::getpid())
        , m_listener([this](Socket socket) { serve(std::move(socket)); })
    { }
    [[nodiscard]] auto options() const -> const UpstreamOptions &
    {
        return m_options;
    }
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_listener.port();
    }
    /// Returns the entry that the upstream writes to the store.
    auto entry(const std::string &zone, bool draining = false) -> std::string
    {
        return json{{"Service", m_options.service},
                    {"Address", "127.0.0.1:" + std::to_string(port())},
                    {"Zone", zone},
                    {"Version", "v1"},
                    {"MaxConcurrency", m_options.slots},
                    {"State", draining ? "draining" : "ready"},
                    {"WarmupRemaining", "0ms"},
                    {"Sequence", ++m_sequence},
                    {"born", m_born}}
            .dump();
    }
    /// Cuts the upstream's network: its connections are reset and new ones are refused.
    auto cut() -> void
    {
        m_listener.shut();
        const std::lock_guard lock(m_mutex);
        for (const auto fd : m_connections) {
            const auto hard = linger{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            ::shutdown(fd, SHUT_RD);
        }
    }
    auto heal() -> void
    {
        m_listener.reopen();
    }
    /// Takes a grant, which counts from its arrival. Returns the status of the answer.
    auto take(const json &body, std::int64_t arrivedAt) -> int
    {
        const auto from = body.at("From").get<int>();
        const auto to = body.at("To").get<int>();
        const auto fence = body.at("fence").get<std::uint64_t>();
        const auto until =
            arrivedAt + static_cast<std::int64_t>(std::stod(body.at("Hold").get<std::string>()));
        const std::lock_guard lock(m_mutex);
        for (auto key = from; key <= to; ++key) {
            if (m_fences[static_cast<std::size_t>(key)] > fence) {
                return 409;
            }
        }
        for (auto key = from; key <= to; ++key) {
            const auto at = static_cast<std::size_t>(key);
            m_fences[at] = fence;
            m_until[at] = until;
        }
        if (m_watched >= from && m_watched <= to) {
            m_holds.push_back({.from = nowMs(), .until = until, .fence = fence});
        }
        return 200;
    }
    auto giveUp(const json &body) -> void
    {
        const auto from = body.at("From").get<int>();
        const auto to = body.at("To").get<int>();
        const auto fence = body.at("fence").get<std::uint64_t>();
        const std::lock_guard lock(m_mutex);
        for (auto key = from; key <= to; ++key) {
            const auto at = static_cast<std::size_t>(key);
            if (m_fences[at] <= fence) {
                m_until[at] = 0;
            }
        }
        if (m_watched >= from && m_watched <= to
            && m_until[static_cast<std::size_t>(m_watched)] == 0) {
            for (auto &hold : m_holds) {
                hold.until = std::min(hold.until, nowMs());
            }
        }
    }
    [[nodiscard]] auto holds(int key) -> bool
    {
        const std::lock_guard lock(m_mutex);
        return m_until[static_cast<std::size_t>(key)] > nowMs();
    }
    /// Records the holds of a key from now on.
    auto watch(int key) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_watched = key;
    }
    [[nodiscard]] auto holdsOfWatched() -> std::vector<Hold>
    {
        const std::lock_guard lock(m_mutex);
        return m_holds;
    }
    [[nodiscard]] auto runs() -> std::vector<Run>
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    auto serve(Socket socket) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(socket.fd());
        }
        auto reader = Reader(socket.fd());
        while (auto request = reader.readHead()) {
            if (!reader.readBody(*request, false)) {
                break;
            }
            if (m_hook && m_hook(*this, socket.fd(), *request)) {
                continue;
            }
            if (!answer(socket, *request)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(socket.fd());
    }
    // Answers a call. Returns whether the connection goes on.
    auto answer(Socket &socket, const Message &request) -> bool
    {
        const auto expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != m_options.id) {
            return sendAll(socket.fd(),
                           response(421, "X-Instance-Id: " + m_options.id + "\r\n", ""));
        }
        if (request.target() == "/api/grant") {
            const auto status = take(json::parse(request.body), nowMs());
            note(m_options.id + " grant " + request.body + " -> " + std::to_string(status));
            return sendAll(socket.fd(), response(status, "", ""));
        }
        if (request.target() == "/api/release") {
            giveUp(json::parse(request.body));
            note(m_options.id + " release " + request.body);
            return sendAll(socket.fd(),
                           response(200, "X-Lease-Handover: 5c0e7a21d94b36f8\r\n", ""));
        }
        return run(socket, request);
    }
    auto run(Socket &socket, const Message &request) -> bool
    {
        const auto id = request.header("x-request-id");
        const auto arrivedAt = nowMs();
        if (id.empty()) {
            return sendAll(socket.fd(), response(400, "X-Not-Executed: 1\r\n", ""));
        }
        const auto key = request.header("x-shard-key");
        if (m_options.sharded && (key.empty() || !holds(std::stoi(key)))) {
            return sendAll(socket.fd(),
                           response(421,
                                    "X-Not-Executed: 1\r\nX-Request-Id: " + id
                                        + "\r\nX-Instance-Id: " + m_options.id + "\r\n",
                                    ""));
        }
        auto lock = std::unique_lock(m_mutex);
        if (m_running + m_waiting >= m_options.slots + m_options.queue) {
            lock.unlock();
            if (m_options.resetsWhenFull) {
                socket.reset();
                return false;
            }
            return sendAll(socket.fd(),
                           response(503, "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n", ""));
        }
        m_waiting += 1;
        m_free.wait(lock, [this] { return m_running < m_options.slots; });
        m_waiting -= 1;
        m_running += 1;
        m_runs.push_back(
            {.requestId = id, .arrivedAt = arrivedAt, .beganAt = nowMs(), .request = request});
        lock.unlock();
        note(m_options.id + " runs " + id);
        sleepMs(m_options.workMs);
        lock.lock();
        m_running -= 1;
        const auto load = std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
            + std::to_string(m_options.slots) + ",100";
        m_free.notify_one();
        lock.unlock();
        return sendAll(socket.fd(),
                       response(200,
                                "X-Request-Id: " + id + "\r\nX-Upstream-Signature: sig." + id
                                    + "\r\nX-Upstream-Load: " + load + "\r\n",
                                "done " + id + "\n"));
    }

    UpstreamOptions m_options;
    Hook m_hook;
    std::int64_t m_born;
    int m_sequence = 0;
    std::mutex m_mutex;
    std::condition_variable m_free;
    std::array<std::uint64_t, 65536> m_fences{};
    std::array<std::int64_t, 65536> m_until{};
    int m_watched = -1;
    std::vector<Hold> m_holds;
    std::vector<Run> m_runs;
    int m_running = 0;
    int m_waiting = 0;
    std::set<int> m_connections;
    Listener m_listener;
};

/// Writes the entries of upstreams to the store, and removes those that are silent.
class Registrar
{
public:
    static constexpr std::int64_t heartbeatMs = 870;

    Registrar(Store &store, std::vector<Upstream *> upstreams, std::vector<std::string> zones)
        : m_store(store)
        , m_upstreams(std::move(upstreams))
        , m_zones(std::move(zones))
        , m_lastBeat(m_upstreams.size(), nowMs())
        , m_thread([this] { run(); })
    { }
    ~Registrar()
    {
        m_stop = true;
        m_thread.join();
    }
    /// Sets whether the entries of an upstream reach the store.
    auto setCut(const Upstream &upstream, bool cut) -> void
    {
        const std::lock_guard lock(m_mutex);
        if (cut) {
            m_cut.insert(&upstream);
        } else {
            m_cut.erase(&upstream);
        }
    }

    /// Lets an upstream say that it is leaving, from now on.
    auto drain(const Upstream &upstream) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_draining.insert(&upstream);
    }

private:
    auto run() -> void
    {
        for (auto tick = std::int64_t{0}; !m_stop; ++tick) {
            const auto isBeat = tick % (heartbeatMs / 30) == 0;
            for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
                auto &upstream = *m_upstreams[i];
                const std::lock_guard lock(m_mutex);
                if (!m_cut.contains(&upstream)) {
                    if (isBeat) {
                        m_store.put("keyed.servers", upstream.options().id,
                                    upstream.entry(m_zones[i], m_draining.contains(&upstream)));
                        m_lastBeat[i] = nowMs();
                    }
                } else if (m_lastBeat[i] >= 0 && nowMs() - m_lastBeat[i] > 3 * heartbeatMs) {
                    m_lastBeat[i] = -1;
                    m_store.put("keyed.servers", upstream.options().id, std::nullopt);
                    note("store removes the entry of " + upstream.options().id);
                }
            }
            sleepMs(30);
        }
    }

    Store &m_store;
    std::vector<Upstream *> m_upstreams;
    std::vector<std::string> m_zones;
    std::mutex m_mutex;
    std::set<const Upstream *> m_cut;
    std::set<const Upstream *> m_draining;
    std::vector<std::int64_t> m_lastBeat;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

/// The processes under test that were started and not ended, for the end of a run.
inline std::set<pid_t> startedProcesses;

/// A process of the deployed program, with a settings file made from deploy/settings.json's fields.
class Router
{
public:
    Router(const std::string &folder, std::string name, const std::string &zone,
           std::uint16_t storePort)
        : m_name(std::move(name))
        , m_settings(folder + "/" + m_name + ".json")
        , m_log(folder + "/" + m_name + ".log")
        , callers(freePort())
        , readiness(freePort())
        , admin(freePort())
        , fleet(freePort())
    {
        const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        std::ofstream(m_settings) << json{
            {"vm", m_name},
            {"zone", zone},
            {"listen",
             {{"callers", local(callers)},
              {"readiness", local(readiness)},
              {"admin", local(admin)},
              {"fleet", local(fleet)}}},
            {"store", local(storePort)},
            {"cpu_share", 0.2},
            {"announce_interval", "870ms"},
            {"bounds",
             {{"propagation", "2000ms"},
              {"drain", "2000ms"},
              {"grace_period", "6s"},
              {"longest_lease", "10000ms"},
              {"retry_ratio", 0.2},
              {"retry_reserve", 60}}},
            {"limits", {{"memory_mb", 260}, {"descriptors", 4100}}},
            {"log_level", "info"}}.dump(1);
        start();
    }
    Router(const Router &) = delete;
    auto operator=(const Router &) -> Router & = delete;
    ~Router()
    {
        kill();
    }
    auto start() -> void
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            const auto *file = std::fopen(m_log.c_str(), "a");
            ::dup2(::fileno(const_cast<FILE *>(file)), 1);
            ::dup2(1, 2);
            ::setenv("FIGLANDING_SETTINGS", m_settings.c_str(), 1);
            ::execl("target/bin/figlandingd-platform", "target/bin/figlandingd-platform",
                    static_cast<char *>(nullptr));
            std::_Exit(127);
        }
        startedProcesses.insert(m_pid);
    }
    auto signal(int number) const -> void
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    auto kill() -> void
    {
        if (m_pid > 0) {
            startedProcesses.erase(m_pid);
            ::kill(m_pid, SIGKILL);
            ::waitpid(std::exchange(m_pid, -1), nullptr, 0);
        }
    }
    /// Returns whether the process has ended by itself.
    auto ended() -> bool
    {
        auto status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            startedProcesses.erase(std::exchange(m_pid, -1));
            note(m_name + " ended, status " + std::to_string(status));
        }
        return m_pid < 0;
    }
    [[nodiscard]] auto isReady() const -> bool
    {
        auto socket = connectTo(readiness);
        if (socket.fd() < 0
            || !sendAll(socket.fd(), "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto head = Reader(socket.fd()).readHead(1000);
        return head && head->status() == 200;
    }
    /// Returns whether the process becomes ready within a limit.
    [[nodiscard]] auto awaitReady(std::int64_t limitMs = 15000) const -> bool
    {
        for (const auto due = nowMs() + limitMs; nowMs() < due; sleepMs(50)) {
            if (isReady()) {
                return true;
            }
        }
        return false;
    }
    [[nodiscard]] auto pid() const -> pid_t
    {
        return m_pid;
    }
    [[nodiscard]] auto name() const -> const std::string &
    {
        return m_name;
    }
    /// Returns how many lines of the log contain a text.
    [[nodiscard]] auto linesWith(const std::string &text) const -> int
    {
        auto file = std::ifstream(m_log);
        auto count = 0;
        for (auto line = std::string{}; std::getline(file, line);) {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
        return count;
    }

private:
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;

public:
    const std::uint16_t callers;
    const std::uint16_t readiness;
    const std::uint16_t admin;
    const std::uint16_t fleet;
};

/// Returns the head of a consumer's request.
inline auto requestHead(const std::string &method, const std::string &path, const std::string &id,
                        std::int64_t deadlineMs, const std::string &more = "") -> std::string
{
    return method + " " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nX-Credential: key-of-band\r\n"
        + more;
}

/// Returns what stands for a response that did not come.
inline auto noResponse() -> Message
{
    auto message = Message{};
    message.first = "- 0";
    return message;
}

/// Sends a request on a new connection and waits for the response. The status is 0 without one.
inline auto ask(std::uint16_t port, const std::string &text, std::int64_t limitMs) -> Message
{
    auto socket = connectTo(port);
    if (socket.fd() < 0 || !sendAll(socket.fd(), text)) {
        return noResponse();
    }
    auto reader = Reader(socket.fd());
    auto head = reader.readHead(limitMs);
    if (!head) {
        return noResponse();
    }
    reader.readBody(*head, true, limitMs);
    return *head;
}

inline auto isTroubled() -> bool
{
    const auto *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// A folder that is removed at the end, and the record in the folder of the case.
class CaseRun
{
public:
    explicit CaseRun(const char *caseFolder)
    {
        std::signal(SIGPIPE, SIG_IGN);
        auto text = std::string("/tmp/review-2-XXXXXX");
        const auto *base = std::getenv("TMPDIR");
        if (base != nullptr) {
            text = std::string(base) + "/review-2-XXXXXX";
        }
        if (::mkdtemp(text.data()) == nullptr) {
            std::_Exit(2);
        }
        m_folder = text;
        record = std::make_unique<Record>(std::string(caseFolder) + "/record.txt");
        note(isTroubled() ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }
    [[nodiscard]] auto folder() const -> const std::string &
    {
        return m_folder;
    }
    /// Ends the processes under test and the run; the threads of the stand-ins are not waited for.
    [[noreturn]] auto finish(int status, const std::string &why) const -> void
    {
        for (const auto process : startedProcesses) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
        note(why);
        note("exit " + std::to_string(status));
        std::cout << why << '\n' << std::flush;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
        std::_Exit(status);
    }

private:
    std::string m_folder;
};

} // namespace stage
