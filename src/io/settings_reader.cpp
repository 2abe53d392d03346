#include "io/settings_reader.h"

#include "figlanding/gateway/time_text.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <utility>

namespace figlanding {

namespace {

constexpr std::string_view expectedAddress =
    "an address \"IP:PORT\" or \"[IPv6]:PORT\" with a port above 0";

// Input iterator over a text that counts the newlines it has passed, which gives the parser's
// callback the line of each key.
class LineCountingIterator
{
public:
    // NOLINTBEGIN(readability-identifier-naming): names of the standard library
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;
    // NOLINTEND(readability-identifier-naming)

    LineCountingIterator(const char *position, unsigned *line)
        : m_position(position)
        , m_line(line)
    { }
    auto operator*() const -> reference
    {
        return *m_position;
    }
    auto operator++() -> LineCountingIterator &
    {
        *m_line += *m_position == '\n' ? 1 : 0;
        ++m_position;
        return *this;
    }
    auto operator++(int) -> LineCountingIterator
    {
        auto before = *this;
        ++*this;
        return before;
    }
    auto operator==(const LineCountingIterator &other) const -> bool
    {
        return m_position == other.m_position;
    }
    auto operator!=(const LineCountingIterator &other) const -> bool
    {
        return m_position != other.m_position;
    }

private:
    const char *m_position;
    unsigned *m_line;
};

auto joinPath(const std::vector<std::string> &parts) -> std::string
{
    auto text = std::string();
    for (const auto &part : parts) {
        text += text.empty() ? "" : ".";
        text += part;
    }
    return text;
}

auto describeChoices(const std::vector<std::string> &choices) -> std::string
{
    auto text = std::string("one of");
    for (const auto &choice : choices) {
        text += " \"";
        text += choice + "\"";
    }
    return text;
}

auto isHex(const std::string &text) -> bool
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
}

} // namespace

auto describe(std::string_view file, const SettingsFault &fault) -> std::string
{
    auto text = std::string(file);
    if (fault.line > 0) {
        text.append(":").append(std::to_string(fault.line));
    }
    text.append(": ").append(fault.path.empty() ? "document" : fault.path).append(": ");
    if (!fault.value.empty()) {
        text.append("found ").append(fault.value).append("; ");
    }
    return text.append("expected ").append(fault.expected);
}

SettingsDocument::SettingsDocument(std::string_view text)
{
    auto line = 1U;
    auto keys = std::vector<std::string>();
    const auto recordKeyLine = [&](int depth, nlohmann::json::parse_event_t event,
                                   nlohmann::json &parsed) {
        if (event == nlohmann::json::parse_event_t::key) {
            keys.resize(static_cast<std::size_t>(depth) - 1);
            keys.push_back(parsed.get<std::string>());
            const auto [entry, inserted] = m_lines.emplace(joinPath(keys), line);
            if (!inserted) {
                m_faults.push_back({entry->first, line, "", "each key at most once"});
            }
        }
        return true;
    };
    try {
        const auto *end = text.data() + text.size();
        m_root = nlohmann::json::parse(LineCountingIterator(text.data(), &line),
                                       LineCountingIterator(end, &line), recordKeyLine, true, true);
    } catch (const nlohmann::json::exception &error) {
        m_faults.push_back({"", line, "", std::string("JSON with comments: ") + error.what()});
    }
    if (m_faults.empty() && !m_root.is_object()) {
        addFault("", &m_root, "a JSON object");
    }
}

auto SettingsDocument::addFault(std::string path, const nlohmann::json *value, std::string expected)
    -> void
{
    constexpr std::size_t maxValueBytes = 80;
    const auto line = m_lines.find(path);
    auto found = value == nullptr
        ? std::string()
        : value->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (found.size() > maxValueBytes) {
        found = found.substr(0, maxValueBytes) + "...";
    }
    m_faults.push_back({.path = std::move(path),
                        .line = line == m_lines.end() ? 0 : line->second,
                        .value = std::move(found),
                        .expected = std::move(expected)});
}

SettingsReader::SettingsReader(SettingsDocument &document, const nlohmann::json *object,
                               std::string path)
    : m_document(document)
    , m_object(object)
    , m_path(std::move(path))
{ }

auto SettingsReader::pathOf(std::string_view key) const -> std::string
{
    auto path = m_path;
    path += path.empty() ? "" : ".";
    return path.append(key);
}

auto SettingsReader::find(std::string_view key) -> const nlohmann::json *
{
    m_requestedKeys.emplace(key);
    if (m_object == nullptr) {
        return nullptr;
    }
    const auto found = m_object->find(std::string(key));
    return found == m_object->end() ? nullptr : &*found;
}

auto SettingsReader::require(std::string_view key, std::string_view expected)
    -> const nlohmann::json *
{
    const auto *value = find(key);
    if (value == nullptr && m_object != nullptr) {
        m_document.addFault(pathOf(key), nullptr, std::string(expected) + "; the key is missing");
    }
    return value;
}

auto SettingsReader::section(std::string_view key, bool optional) -> SettingsReader
{
    const auto *value = optional ? find(key) : require(key, "an object");
    if (value != nullptr && !value->is_object()) {
        m_document.addFault(pathOf(key), value, "an object");
        value = nullptr;
    }
    return {m_document, value, pathOf(key)};
}

auto SettingsReader::text(std::string_view key) -> std::string
{
    constexpr auto expected = "a non-empty string";
    const auto *value = require(key, expected);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        m_document.addFault(pathOf(key), value, expected);
        return {};
    }
    return value->get<std::string>();
}

auto SettingsReader::choice(std::string_view key, const std::vector<std::string> &choices,
                            std::string defaultValue) -> std::string
{
    const auto *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    const auto found = std::find_if(choices.begin(), choices.end(),
                                    [value](const auto &choice) { return *value == choice; });
    if (found == choices.end()) {
        m_document.addFault(pathOf(key), value, describeChoices(choices));
        return defaultValue;
    }
    return *found;
}

auto SettingsReader::number(std::string_view key, std::uint64_t low, std::uint64_t high,
                            std::uint64_t defaultValue) -> std::uint64_t
{
    const auto *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    const auto inRange = value->is_number_unsigned() && value->get<std::uint64_t>() >= low
        && value->get<std::uint64_t>() <= high;
    if (!inRange) {
        m_document.addFault(pathOf(key), value,
                            "an integer from " + std::to_string(low) + " to "
                                + std::to_string(high));
        return defaultValue;
    }
    return value->get<std::uint64_t>();
}

auto SettingsReader::time(std::string_view key, milliseconds low, milliseconds high,
                          milliseconds defaultValue) -> milliseconds
{
    const auto count = number(key, static_cast<std::uint64_t>(low.count()),
                              static_cast<std::uint64_t>(high.count()),
                              static_cast<std::uint64_t>(defaultValue.count()));
    return milliseconds(count);
}

auto SettingsReader::span(std::string_view key, milliseconds defaultValue) -> milliseconds
{
    const auto *value = find(key);
    if (value == nullptr || (value->is_string() && value->get_ref<const std::string &>().empty())) {
        return defaultValue;
    }
    const auto span = settle([&]() -> Result<milliseconds> {
        return parseDuration(value->is_string() ? value->get<std::string>() : std::string{});
    });
    if (!span) {
        m_document.addFault(pathOf(key), value, "a duration such as \"1500ms\" or \"2s\"");
        return defaultValue;
    }
    return span.value();
}

auto SettingsReader::fraction(std::string_view key, double defaultValue) -> double
{
    const auto *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_number() || value->get<double>() < 0.0) {
        m_document.addFault(pathOf(key), value, "a non-negative number");
        return defaultValue;
    }
    return value->get<double>();
}

auto SettingsReader::flag(std::string_view key) -> bool
{
    constexpr auto expected = "true or false";
    const auto *value = require(key, expected);
    if (value != nullptr && !value->is_boolean()) {
        m_document.addFault(pathOf(key), value, expected);
        return false;
    }
    return value != nullptr && value->get<bool>();
}

auto SettingsReader::parseAddress(const nlohmann::json &value, const std::string &path)
    -> std::optional<SocketAddress>
{
    auto parsed = std::optional<SocketAddress>();
    if (value.is_string()) {
        parsed = valueOrElse(
            [&]() -> Result<std::optional<SocketAddress>> {
                BOOST_LEAF_AUTO(address, parseSocketAddress(value.get_ref<const std::string &>()));
                return std::optional(address);
            },
            [](const Error &) { return std::optional<SocketAddress>(); });
    }
    if (!parsed || parsed->port == 0) {
        m_document.addFault(path, &value, std::string(expectedAddress));
        return std::nullopt;
    }
    return parsed;
}

auto SettingsReader::address(std::string_view key) -> SocketAddress
{
    const auto *value = require(key, expectedAddress);
    if (value == nullptr) {
        return {};
    }
    return parseAddress(*value, pathOf(key)).value_or(SocketAddress{});
}

auto SettingsReader::addresses(std::string_view key) -> std::vector<SocketAddress>
{
    const auto *value = find(key);
    auto parsed = std::vector<SocketAddress>();
    if (value == nullptr) {
        return parsed;
    }
    if (!value->is_array()) {
        m_document.addFault(pathOf(key), value, "a list of addresses");
        return parsed;
    }
    for (const auto &item : *value) {
        if (auto address = parseAddress(item, pathOf(key))) {
            parsed.push_back(*address);
        }
    }
    return parsed;
}

auto SettingsReader::secret(std::string_view key, std::size_t minDigits) -> std::string
{
    const auto expected =
        "an even number of hexadecimal digits, at least " + std::to_string(minDigits);
    const auto *value = require(key, expected);
    if (value == nullptr) {
        return {};
    }
    auto text = value->is_string() ? value->get<std::string>() : std::string();
    if (text.size() < minDigits || text.size() % 2 != 0 || !isHex(text)) {
        m_document.addFault(pathOf(key), nullptr, expected);
        return {};
    }
    return text;
}

auto SettingsReader::finish() -> void
{
    if (m_object == nullptr) {
        return;
    }
    auto supportedKeys = std::string();
    for (const auto &key : m_requestedKeys) {
        supportedKeys += supportedKeys.empty() ? "" : ", ";
        supportedKeys += key;
    }
    for (const auto &item : m_object->items()) {
        if (!m_requestedKeys.contains(item.key())) {
            // The value is omitted because it may be a secret under a misspelt key.
            m_document.addFault(pathOf(item.key()), nullptr,
                                "a supported key, one of " + supportedKeys);
        }
    }
}

} // namespace figlanding
