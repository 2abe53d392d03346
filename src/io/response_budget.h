#pragma once

#include <cstddef>

/// @file
/// Limit for the memory that the unfinished responses of a client take together.

namespace figlanding {

/// Shares the limit: a response may take as much as is left free after it. So a few large
/// responses fit, many that grow without end are cut off at equal and smaller sizes, and a short
/// response finds room beside them.
class ResponseBudget
{
public:
    /// @param limit in bytes
    explicit ResponseBudget(std::size_t limit)
        : m_limit(limit)
    { }

    /// Takes bytes for a response.
    /// @param own bytes that the response has taken so far
    /// @param size bytes that it needs in addition
    /// @return false, and nothing is taken, if the response would exceed what is left free
    [[nodiscard]] auto take(std::size_t own, std::size_t size) -> bool
    {
        const auto left = m_limit - m_used;
        if (size > left || own + size > left - size) {
            return false;
        }
        m_used += size;
        return true;
    }
    /// Gives bytes back.
    auto release(std::size_t size) -> void
    {
        m_used -= size;
    }
    /// Returns the bytes taken by all responses.
    [[nodiscard]] auto used() const -> std::size_t
    {
        return m_used;
    }

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace figlanding
