#pragma once

#include "figlanding/clock.h"
#include "figlanding/objects.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Reads settings from JSON with comments and collects all faults instead of stopping at the first.

namespace figlanding {

/// One fault of a settings document.
struct SettingsFault
{
    std::string path; ///< key path such as "log.address"; empty for the whole document
    unsigned line = 0; ///< 0 if unknown
    std::string value; ///< the value found, as JSON; empty if there is none
    std::string expected; ///< description of the allowed values

    auto operator==(const SettingsFault &) const -> bool = default;
};

/// Returns "file:line: path: value; expected ...".
[[nodiscard]] auto describe(std::string_view file, const SettingsFault &fault) -> std::string;

/// A parsed document with the line numbers of its keys and the faults found so far.
class SettingsDocument
{
public:
    /// Parses JSON with comments. Syntax errors and repeated keys become faults.
    explicit SettingsDocument(std::string_view text);

    [[nodiscard]] auto root() const -> const nlohmann::json &
    {
        return m_root;
    }
    [[nodiscard]] auto faults() const -> const std::vector<SettingsFault> &
    {
        return m_faults;
    }
    /// Adds a fault.
    /// @param path path of the key
    /// @param value value found, or nullptr if there is none or it must not be shown
    /// @param expected description of the allowed values
    auto addFault(std::string path, const nlohmann::json *value, std::string expected) -> void;

private:
    nlohmann::json m_root;
    std::map<std::string, unsigned, std::less<>> m_lines; ///< line of each key by path
    std::vector<SettingsFault> m_faults;
};

/// Reads the keys of one JSON object. A value that is not allowed becomes a fault of the document,
/// as does a missing key for which the call has no default. finish() reports unknown keys.
class SettingsReader
{
public:
    /// @param document document that receives the faults; must outlive the reader
    /// @param object object to read; nullptr if it is missing or not an object
    /// @param path path of the object, empty for the root
    SettingsReader(SettingsDocument &document, const nlohmann::json *object, std::string path);

    /// Returns a reader of the object under @p key.
    /// @param optional whether the object may be missing
    [[nodiscard]] auto section(std::string_view key, bool optional) -> SettingsReader;
    /// Reads a non-empty string.
    [[nodiscard]] auto text(std::string_view key) -> std::string;
    /// Reads a string that must be one of @p choices.
    [[nodiscard]] auto choice(std::string_view key, const std::vector<std::string> &choices,
                              std::string defaultValue) -> std::string;
    /// Reads an integer from @p low to @p high.
    [[nodiscard]] auto number(std::string_view key, std::uint64_t low, std::uint64_t high,
                              std::uint64_t defaultValue) -> std::uint64_t;
    /// Reads an integer number of milliseconds; the names of such keys end in "_ms".
    [[nodiscard]] auto time(std::string_view key, milliseconds low, milliseconds high,
                            milliseconds defaultValue) -> milliseconds;
    /// Reads a duration with a unit, such as "1500ms" or "2s"; if it is empty or missing, returns
    /// the default.
    [[nodiscard]] auto span(std::string_view key, milliseconds defaultValue) -> milliseconds;
    /// Reads a non-negative number, which need not be an integer.
    [[nodiscard]] auto fraction(std::string_view key, double defaultValue) -> double;
    /// Reads a boolean.
    [[nodiscard]] auto flag(std::string_view key) -> bool;
    /// Reads a socket address with a port above 0.
    [[nodiscard]] auto address(std::string_view key) -> SocketAddress;
    /// Reads an array of socket addresses; a missing key gives an empty one.
    [[nodiscard]] auto addresses(std::string_view key) -> std::vector<SocketAddress>;
    /// Reads an even number of hexadecimal digits, at least @p minDigits. Faults never contain the
    /// value.
    [[nodiscard]] auto secret(std::string_view key, std::size_t minDigits) -> std::string;
    /// Adds a fault for each key of the object that no call has requested.
    auto finish() -> void;

private:
    /// Returns the value of a key, or nullptr if it is missing.
    [[nodiscard]] auto find(std::string_view key) -> const nlohmann::json *;
    /// Returns the value of a key; if it is missing, adds a fault and returns nullptr.
    [[nodiscard]] auto require(std::string_view key, std::string_view expected)
        -> const nlohmann::json *;
    [[nodiscard]] auto pathOf(std::string_view key) const -> std::string;
    [[nodiscard]] auto parseAddress(const nlohmann::json &value, const std::string &path)
        -> std::optional<SocketAddress>;

    SettingsDocument &m_document;
    const nlohmann::json *m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_requestedKeys; ///< keys that calls have requested
};

} // namespace figlanding
