#pragma once

#include "figlanding/membership.h"
#include "io/http_client.h"

#include <functional>
#include <vector>

/// @file
/// Polls the platform's VM list.

namespace figlanding {

/// The platform's list of VMs, as far as it can be read.
struct VmList
{
    /// Entries that name a VM; a field that cannot be read is empty.
    std::vector<VmListEntry> entries;
    bool complete = true; ///< false if an entry names no VM: the list proves no VM's absence

    auto operator==(const VmList &) const -> bool = default;
};

/// Parses the response body of the VM list. Never throws, whatever the input.
/// @return ProtocolViolation if the text is no list
[[nodiscard]] auto parseVmList(std::string_view text) -> Result<VmList>;

/// Fetches the VM list at an interval and reports each valid list. A failed or malformed response
/// is skipped.
class VmListPoller
{
public:
    /// @param interval time between two polls, also the timeout of one
    /// @param onList receives each list
    VmListPoller(EventLoop &loop, HttpClient &client, SocketAddress address, milliseconds interval,
                 std::function<void(const VmList &)> onList);

private:
    auto poll() -> void;

    HttpClient &m_client;
    SocketAddress m_address;
    milliseconds m_interval;
    std::function<void(const VmList &)> m_onList;
    bool m_polling = false; ///< a poll is in progress
    Timer m_timer;
};

} // namespace figlanding
