#pragma once

#include "io/http_client.h"
#include "raw_server.h"

#include <string>
#include <utility>

/// @file
/// A client whose calls block, and the steps of the servers that the tests of HttpClient play.

namespace figlanding::testing {

/// Limit of calls that end by an event; none of them may reach it.
inline constexpr milliseconds longTimeout{10'000};
/// A whole response with a body of two bytes.
inline const auto okResponse = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

/// Reads one complete request.
inline auto read() -> RawStep
{
    return {.action = RawAction::ReadRequest, .text = {}};
}

/// Sends @p text.
inline auto send(std::string text) -> RawStep
{
    return {.action = RawAction::Send, .text = std::move(text)};
}

/// Performs an action that needs no text.
inline auto step(RawAction action) -> RawStep
{
    return {.action = action, .text = {}};
}

/// Returns a request with a body.
inline auto post(std::string body) -> HttpRequest
{
    return {.method = "POST", .target = "/book?x=1", .headers = {}, .body = std::move(body)};
}

/// Sends requests through one HttpClient and blocks until each call ends.
class SyncClient
{
public:
    explicit SyncClient(HttpClientOptions options = {.maxBodyBytes = 1000})
        : m_options(std::move(options))
    { }
    auto call(const SocketAddress &address, HttpRequest request,
              const HttpCallOptions &options = {}) -> HttpOutcome
    {
        auto result = HttpOutcome{};
        m_client.call(address, std::move(request), options, [&](HttpOutcome outcome) {
            result = std::move(outcome);
            m_loop.stop();
        });
        m_loop.run();
        return result;
    }
    /// Runs the loop for @p delay, so that late input can arrive.
    auto wait(milliseconds delay) -> void
    {
        auto timer = Timer(m_loop, [this] { m_loop.stop(); });
        timer.startOnce(delay);
        m_loop.run();
    }
    auto client() -> HttpClient &
    {
        return m_client;
    }

private:
    HttpClientOptions m_options;
    EventLoop m_loop;
    HttpClient m_client{m_loop, m_options};
};

} // namespace figlanding::testing
