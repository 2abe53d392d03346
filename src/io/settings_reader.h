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
/// Reads a settings document with comments and gathers all of its faults.

namespace figlanding {

/// One fault of a settings document.
struct SettingsFault
{
    std::string path; ///< such as "log.address"; empty for the whole document
    unsigned line = 0; ///< 0 if unknown
    std::string value; ///< the value found, as JSON; empty if there is none
    std::string expected; ///< what is allowed

    auto operator==(const SettingsFault &) const -> bool = default;
};

/// Returns "file:line: path: value; expected ...".
[[nodiscard]] auto describe(std::string_view file, const SettingsFault &fault) -> std::string;

/// A parsed document, the lines of its keys, and the faults found so far.
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
    /// Adds a fault at the key @p path.
    /// @param value value found, or nothing
    auto addFault(std::string path, const nlohmann::json *value, std::string expected) -> void;

private:
    nlohmann::json m_root;
    std::map<std::string, unsigned, std::less<>> m_lines;
    std::vector<SettingsFault> m_faults;
};

/// Reads the keys of one JSON object. A key that no call asked for is a fault; so is a missing
/// key, unless the call has a default.
class SettingsReader
{
public:
    /// @param document document that receives the faults and outlives the reader
    /// @param object object to read; nothing if the section is missing or no object
    SettingsReader(SettingsDocument &document, const nlohmann::json *object, std::string path);

    /// Returns a reader of the object under @p key.
    /// @param optional whether the section may be missing
    [[nodiscard]] auto section(std::string_view key, bool optional) -> SettingsReader;
    /// Reads a text of at least one byte.
    [[nodiscard]] auto text(std::string_view key) -> std::string;
    /// Reads one of several texts.
    [[nodiscard]] auto choice(std::string_view key, const std::vector<std::string> &choices,
                              std::string defaultValue) -> std::string;
    /// Reads a whole number from @p low to @p high.
    [[nodiscard]] auto number(std::string_view key, std::uint64_t low, std::uint64_t high,
                              std::uint64_t defaultValue) -> std::uint64_t;
    /// Reads a time in milliseconds; the key ends in "_ms".
    [[nodiscard]] auto time(std::string_view key, milliseconds low, milliseconds high,
                            milliseconds defaultValue) -> milliseconds;
    /// Reads a span of time as text, such as "1500ms" or "2s"; empty or missing means the default.
    [[nodiscard]] auto span(std::string_view key, milliseconds defaultValue) -> milliseconds;
    /// Reads a number that is not negative.
    [[nodiscard]] auto fraction(std::string_view key, double defaultValue) -> double;
    /// Reads true or false.
    [[nodiscard]] auto flag(std::string_view key) -> bool;
    /// Reads an address with a port above 0.
    [[nodiscard]] auto address(std::string_view key) -> SocketAddress;
    /// Reads a list of addresses that may be missing.
    [[nodiscard]] auto addresses(std::string_view key) -> std::vector<SocketAddress>;
    /// Reads hexadecimal digits, an even number of at least @p minDigits. The value is never
    /// part of a fault.
    [[nodiscard]] auto secret(std::string_view key, std::size_t minDigits) -> std::string;
    /// Reports the keys that no call asked for.
    auto finish() -> void;

private:
    [[nodiscard]] auto find(std::string_view key) -> const nlohmann::json *;
    [[nodiscard]] auto require(std::string_view key, std::string_view expected)
        -> const nlohmann::json *;
    [[nodiscard]] auto pathOf(std::string_view key) const -> std::string;
    [[nodiscard]] auto parseAddress(const nlohmann::json &value, const std::string &path)
        -> std::optional<SocketAddress>;

    SettingsDocument &m_document;
    const nlohmann::json *m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
};

} // namespace figlanding
