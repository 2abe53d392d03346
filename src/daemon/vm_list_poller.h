#pragma once

#include "figlanding/membership.h"
#include "io/http_client.h"

#include <functional>
#include <vector>

/// @file
/// Polls the platform's VM list.

namespace figlanding {

/// Parses the response body of the VM list. Never throws, whatever the input.
/// @return ProtocolViolation if the list or one of its entries is malformed
[[nodiscard]] auto parseVmList(std::string_view text) -> Result<std::vector<VmListEntry>>;

/// Fetches the VM list at an interval and reports each valid list. A failed or malformed response
/// is skipped.
class VmListPoller
{
public:
    /// @param interval time between two polls, also the timeout of one
    /// @param onList receives each list
    VmListPoller(EventLoop &loop, HttpClient &client, SocketAddress address, milliseconds interval,
                 std::function<void(std::vector<VmListEntry>)> onList);

private:
    auto poll() -> void;

    HttpClient &m_client;
    SocketAddress m_address;
    milliseconds m_interval;
    std::function<void(std::vector<VmListEntry>)> m_onList;
    bool m_polling = false; ///< a poll is in progress
    Timer m_timer;
};

} // namespace figlanding
