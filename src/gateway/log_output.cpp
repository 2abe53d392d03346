#include "gateway/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace figlanding {

LogOutput::LogOutput(EventLoop &loop, int fd, std::size_t capacityBytes)
    : m_fd(fd)
    , m_capacity(capacityBytes)
    , m_watcher(loop, fd, [this](IoEvents) { flush(); })
{
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
}

auto LogOutput::write(std::string_view line) -> void
{
    if (m_buffer.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        return;
    }
    m_buffer.append(line).push_back('\n');
    flush();
}

auto LogOutput::flush() -> void
{
    const auto size = ::write(m_fd, m_buffer.data(), m_buffer.size());
    if (size > 0) {
        m_buffer.erase(0, static_cast<std::size_t>(size));
    }
    const auto wouldBlock = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (size < 0 && !wouldBlock) {
        m_buffer.clear(); // the reader is gone, for example a closed pipe
    }
    m_watcher.watch(m_buffer.empty() ? IoEvents::None : IoEvents::Write);
}

} // namespace figlanding
