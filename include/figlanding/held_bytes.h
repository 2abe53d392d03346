#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

/// @file
/// Account of the memory that a process holds for its callers and for the servers that it calls.

namespace figlanding {

/// What held bytes are for.
enum class HeldKind {
    Connection, ///< fixed cost of a caller's connection
    RequestHeader,
    RequestBody,
    ServerResponse, ///< body of a response that arrives from a server
    CallerResponse, ///< body of a response until its last byte is written
};

/// Number of enumerators of HeldKind.
inline constexpr std::size_t heldKinds = 5;

/// Returns "connection", "request-header", "request-body", "server-response" or "caller-response".
[[nodiscard]] auto toText(HeldKind kind) -> std::string_view;

/// Limits of an account.
struct HeldBytesOptions
{
    std::size_t limit = SIZE_MAX; ///< bytes of all kinds together
    std::size_t reservedForSmall = 0; ///< part of the limit that only small items may use, in bytes
    std::size_t largestSmall = 0; ///< an item of at most this many bytes is small

    auto operator==(const HeldBytesOptions &) const -> bool = default;
};

/// Counts held bytes by kind and decides whether more fit.
///
/// An item is one header, body or connection. Large items leave reservedForSmall free, so that
/// small ones find room beside a crowd of large ones.
class HeldBytes
{
public:
    explicit HeldBytes(HeldBytesOptions options = {})
        : m_options(options)
    { }

    /// Adds bytes to an item if they fit.
    /// @param own bytes that the item has so far
    /// @param size bytes to add
    /// @return false, and only the refusal is counted, if they do not fit
    [[nodiscard]] auto charge(HeldKind kind, std::size_t own, std::size_t size) -> bool;
    /// Adds bytes that are held whether or not they fit.
    auto add(HeldKind kind, std::size_t size) -> void;
    /// Takes away bytes that were added before and are no longer held.
    auto release(HeldKind kind, std::size_t size) -> void;

    [[nodiscard]] auto options() const -> const HeldBytesOptions &
    {
        return m_options;
    }
    /// Returns the bytes of all kinds.
    [[nodiscard]] auto used() const -> std::size_t
    {
        return m_used;
    }
    /// Returns the bytes of one kind.
    [[nodiscard]] auto used(HeldKind kind) const -> std::size_t;
    /// Returns how often bytes of one kind did not fit.
    [[nodiscard]] auto refusals(HeldKind kind) const -> std::uint64_t;

private:
    struct Entry
    {
        std::size_t used = 0;
        std::uint64_t refusals = 0;
    };

    [[nodiscard]] auto entry(HeldKind kind) -> Entry &;

    HeldBytesOptions m_options;
    std::size_t m_used = 0;
    std::array<Entry, heldKinds> m_entries;
};

/// The bytes of one item in an account; released on destruction. Without an account every size
/// fits.
class HeldShare
{
public:
    HeldShare() = default;
    /// @param account may be null; must outlive the share
    HeldShare(HeldBytes *account, HeldKind kind)
        : m_account(account)
        , m_kind(kind)
    { }
    HeldShare(HeldShare &&other) noexcept
        : m_account(other.m_account)
        , m_kind(other.m_kind)
        , m_size(std::exchange(other.m_size, 0))
    { }
    auto operator=(HeldShare &&other) noexcept -> HeldShare &
    {
        std::swap(m_account, other.m_account);
        std::swap(m_kind, other.m_kind);
        std::swap(m_size, other.m_size);
        return *this;
    }
    HeldShare(const HeldShare &) = delete;
    auto operator=(const HeldShare &) -> HeldShare & = delete;
    ~HeldShare()
    {
        clear();
    }

    /// Grows the item to a size, if that fits; never shrinks it.
    /// @return false, and nothing changes, if it does not fit
    [[nodiscard]] auto growTo(std::size_t size) -> bool;
    /// Grows the item to a size that is held whether or not it fits.
    auto hold(std::size_t size) -> void;
    /// Releases all bytes.
    auto clear() -> void;
    /// Returns the bytes of the item.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_size;
    }

private:
    HeldBytes *m_account = nullptr;
    HeldKind m_kind = HeldKind::Connection;
    std::size_t m_size = 0;
};

} // namespace figlanding
