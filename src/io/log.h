#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Structured logging, one JSON object per line. Credentials are redacted: the whole value of a
/// string field whose name contains "secret", "authorization", "password", "credential" or
/// "bearer", and in any other text the word that follows "Bearer ".

namespace figlanding {

/// Severity of an event, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

/// Returns "debug", "info", "warning" or "error".
[[nodiscard]] auto toText(LogLevel level) -> std::string_view;
/// Parses the name of a level, as toText() returns it.
/// @return the level, or nothing if the name is unknown
[[nodiscard]] auto parseLogLevel(std::string_view text) -> std::optional<LogLevel>;

/// A named, typed value of an event. Credentials in texts are redacted on construction.
class LogField
{
public:
    using Value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    LogField(std::string_view name, std::string_view value);
    LogField(std::string_view name, const std::string &value);
    LogField(std::string_view name, const char *value);
    LogField(std::string_view name, bool value);
    LogField(std::string_view name, double value);
    LogField(std::string_view name, int value);
    LogField(std::string_view name, unsigned value);
    LogField(std::string_view name, long value);
    LogField(std::string_view name, unsigned long value);

    [[nodiscard]] auto name() const -> const std::string &
    {
        return m_name;
    }
    [[nodiscard]] auto value() const -> const Value &
    {
        return m_value;
    }

    auto operator==(const LogField &) const -> bool = default;

private:
    std::string m_name;
    Value m_value;
};

/// Options of a LogSession.
struct LogOptions
{
    std::string program; ///< program name passed to glog
    std::string vm; ///< value of the field "vm" of each event; omitted if empty
    LogLevel level = LogLevel::Info; ///< events of a lower level are dropped
    /// Receives each line, without the newline. If empty, lines are written to standard error.
    std::function<void(std::string_view)> output;
};

/// Enables logging during its lifetime. Messages of libraries that use glog are logged as events
/// named "library-message". At most one object may exist at a time.
class LogSession
{
public:
    explicit LogSession(LogOptions options);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    auto operator=(const LogSession &) -> LogSession & = delete;
};

/// Logs an event. Does nothing if there is no LogSession.
/// @param level severity of the event
/// @param event name in lower case with hyphens, such as "member-joined"
/// @param fields values that are added to the JSON object, in this order
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {})
    -> void;

} // namespace figlanding
