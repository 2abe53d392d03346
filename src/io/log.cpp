#include "io/log.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <type_traits>
#include <utility>

namespace figlanding {

namespace {

constexpr std::string_view redactedPlaceholder = "(redacted)";
// Marks a glog message as a line that logEvent has formatted.
constexpr std::string_view eventPrefix = "\x01";

struct LevelName
{
    LogLevel level;
    std::string_view text;
    google::LogSeverity severity;
};

constexpr auto levelNames = std::to_array<LevelName>({
    {LogLevel::Debug, "debug", google::GLOG_INFO},
    {LogLevel::Info, "info", google::GLOG_INFO},
    {LogLevel::Warning, "warning", google::GLOG_WARNING},
    {LogLevel::Error, "error", google::GLOG_ERROR},
});

auto findLevel(LogLevel level) -> const LevelName &
{
    return *std::find_if(levelNames.begin(), levelNames.end(),
                         [level](const LevelName &row) { return row.level == level; });
}

auto levelFromSeverity(google::LogSeverity severity) -> LogLevel
{
    if (severity == google::GLOG_INFO) {
        return LogLevel::Info;
    }
    return severity == google::GLOG_WARNING ? LogLevel::Warning : LogLevel::Error;
}

// Returns whether the value of a field with this name is a secret and must not be logged.
auto isSensitiveField(std::string_view name) -> bool
{
    constexpr auto sensitiveWords = std::to_array<std::string_view>(
        {"secret", "authorization", "password", "credential", "bearer"});
    return std::any_of(sensitiveWords.begin(), sensitiveWords.end(), [name](std::string_view word) {
        return name.find(word) != std::string_view::npos;
    });
}

// Replaces every bearer credential within a text, such as in a copied Authorization header.
auto redactBearerTokens(std::string text) -> std::string
{
    constexpr std::string_view mark = "Bearer ";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
        const auto start = at + mark.size();
        const auto end = text.find_first_of(" \t\r\n\"',;", start);
        text.replace(start, end == std::string::npos ? end : end - start, redactedPlaceholder);
        at = start + redactedPlaceholder.size();
    }
    return text;
}

auto timestamp() -> std::string
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const auto second = static_cast<std::time_t>(millis / 1000);
    auto calendar = std::tm{};
    ::gmtime_r(&second, &calendar);
    auto text = std::array<char, 32>{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar);
    auto fraction = std::array<char, 8>{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis % 1000));
    return std::string(text.data()) + fraction.data();
}

auto createLogObject(LogLevel level, std::string_view event, const std::string &vm)
    -> nlohmann::ordered_json
{
    auto line =
        nlohmann::ordered_json{{"time", timestamp()}, {"level", toText(level)}, {"event", event}};
    if (!vm.empty()) {
        line["vm"] = vm;
    }
    return line;
}

auto dump(const nlohmann::ordered_json &line) -> std::string
{
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// glog sink that writes one JSON object per line. Messages of logEvent are written as they are;
// those of libraries are wrapped in a "library-message" event.
class JsonSink : public google::LogSink
{
public:
    explicit JsonSink(LogOptions options)
        : m_options(std::move(options))
    { }

    void send(google::LogSeverity severity, const char *, const char *file, int line,
              const google::LogMessageTime &, const char *message, std::size_t size) override
    {
        const auto text = std::string_view(message, size);
        if (text.starts_with(eventPrefix)) {
            write(text.substr(eventPrefix.size()));
            return;
        }
        auto json = createLogObject(levelFromSeverity(severity), "library-message", m_options.vm);
        json["source"] = std::string(file) + ":" + std::to_string(line);
        json["message"] = redactBearerTokens(std::string(text));
        write(dump(json));
    }
    [[nodiscard]] auto options() const -> const LogOptions &
    {
        return m_options;
    }

private:
    auto write(std::string_view line) -> void
    {
        if (m_options.output) {
            m_options.output(line);
            return;
        }
        auto text = std::string(line) + "\n";
        std::fwrite(text.data(), 1, text.size(), stderr);
    }

    LogOptions m_options;
};

auto currentSink() -> std::unique_ptr<JsonSink> &
{
    static auto sink = std::unique_ptr<JsonSink>();
    return sink;
}

auto initializeGlog(const std::string &program) -> void
{
    static const auto name = program;
    static auto started = false;
    if (!std::exchange(started, true)) {
        google::InitGoogleLogging(name.c_str());
    }
    for (const auto &row : levelNames) {
        google::SetLogDestination(row.severity, "");
    }
    // A threshold above the highest severity: glog itself writes nothing, only the sink does.
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
}

} // namespace

auto toText(LogLevel level) -> std::string_view
{
    return findLevel(level).text;
}

auto parseLogLevel(std::string_view text) -> std::optional<LogLevel>
{
    const auto found = std::find_if(levelNames.begin(), levelNames.end(),
                                    [text](const LevelName &row) { return row.text == text; });
    return found == levelNames.end() ? std::nullopt : std::optional(found->level);
}

LogField::LogField(std::string_view name, std::string_view value)
    : m_name(name)
    , m_value(isSensitiveField(name) ? std::string(redactedPlaceholder)
                                     : redactBearerTokens(std::string(value)))
{ }
LogField::LogField(std::string_view name, const std::string &value)
    : LogField(name, std::string_view(value))
{ }
LogField::LogField(std::string_view name, const char *value)
    : LogField(name, std::string_view(value))
{ }
LogField::LogField(std::string_view name, bool value)
    : m_name(name)
    , m_value(value)
{ }
LogField::LogField(std::string_view name, double value)
    : m_name(name)
    , m_value(value)
{ }
LogField::LogField(std::string_view name, int value)
    : LogField(name, static_cast<long>(value))
{ }
LogField::LogField(std::string_view name, unsigned value)
    : LogField(name, static_cast<unsigned long>(value))
{ }
LogField::LogField(std::string_view name, long value)
    : m_name(name)
    , m_value(std::int64_t{value})
{ }
LogField::LogField(std::string_view name, unsigned long value)
    : m_name(name)
    , m_value(std::uint64_t{value})
{ }

LogSession::LogSession(LogOptions options)
{
    initializeGlog(options.program);
    currentSink() = std::make_unique<JsonSink>(std::move(options));
    google::AddLogSink(currentSink().get());
}

LogSession::~LogSession()
{
    google::RemoveLogSink(currentSink().get());
    currentSink().reset();
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void
{
    const auto &sink = currentSink();
    if (!sink || level < sink->options().level) {
        return;
    }
    auto line = createLogObject(level, event, sink->options().vm);
    for (const auto &field : fields) {
        std::visit([&](const auto &value) { line[field.name()] = value; }, field.value());
    }
    google::LogMessage("", 0, findLevel(level).severity, sink.get(), false).stream()
        << eventPrefix << dump(line);
}

} // namespace figlanding
