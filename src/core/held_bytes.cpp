#include "figlanding/held_bytes.h"

#include <algorithm>

namespace figlanding {

auto toText(HeldKind kind) -> std::string_view
{
    switch (kind) {
    case HeldKind::Connection:
        return "connection";
    case HeldKind::RequestHeader:
        return "request-header";
    case HeldKind::RequestBody:
        return "request-body";
    case HeldKind::ServerResponse:
        return "server-response";
    case HeldKind::CallerResponse:
        return "caller-response";
    }
    return "";
}

auto HeldBytes::entry(HeldKind kind) -> Entry &
{
    return m_entries.at(static_cast<std::size_t>(kind));
}

auto HeldBytes::charge(HeldKind kind, std::size_t own, std::size_t size) -> bool
{
    const auto small = own <= m_options.largestSmall && size <= m_options.largestSmall - own;
    const auto reserved = small ? 0 : std::min(m_options.reservedForSmall, m_options.limit);
    const auto available = m_options.limit - reserved;
    if (m_used > available || size > available - m_used) {
        ++entry(kind).refusals;
        return false;
    }
    add(kind, size);
    return true;
}

auto HeldBytes::add(HeldKind kind, std::size_t size) -> void
{
    entry(kind).used += size;
    m_used += size;
}

auto HeldBytes::release(HeldKind kind, std::size_t size) -> void
{
    entry(kind).used -= size;
    m_used -= size;
}

auto HeldBytes::used(HeldKind kind) const -> std::size_t
{
    return m_entries.at(static_cast<std::size_t>(kind)).used;
}

auto HeldBytes::refusals(HeldKind kind) const -> std::uint64_t
{
    return m_entries.at(static_cast<std::size_t>(kind)).refusals;
}

auto HeldShare::growTo(std::size_t size) -> bool
{
    if (size <= m_size) {
        return true;
    }
    if (m_account != nullptr && !m_account->charge(m_kind, m_size, size - m_size)) {
        return false;
    }
    m_size = size;
    return true;
}

auto HeldShare::hold(std::size_t size) -> void
{
    if (size <= m_size) {
        return;
    }
    if (m_account != nullptr) {
        m_account->add(m_kind, size - m_size);
    }
    m_size = size;
}

auto HeldShare::clear() -> void
{
    if (m_account != nullptr) {
        m_account->release(m_kind, m_size);
    }
    m_size = 0;
}

} // namespace figlanding
