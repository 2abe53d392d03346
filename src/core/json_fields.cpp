#include "json_fields.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace figlanding {

namespace {

auto wrongType(std::string_view expected) -> ReadFailure
{
    return Error{ErrorCode::InvalidValue, "expected " + std::string(expected)};
}

} // namespace

auto readValue(const nlohmann::json &json, std::string &value) -> ReadFailure
{
    if (!json.is_string()) {
        return wrongType("a string");
    }
    value = json.get_ref<const std::string &>();
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, bool &value) -> ReadFailure
{
    if (!json.is_boolean()) {
        return wrongType("true or false");
    }
    value = json.get<bool>();
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, double &value) -> ReadFailure
{
    if (!json.is_number()) {
        return wrongType("a number");
    }
    value = json.get<double>();
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, std::uint32_t &value) -> ReadFailure
{
    auto wide = std::uint64_t{0};
    const auto failure = readValue(json, wide);
    if (failure || wide > std::numeric_limits<std::uint32_t>::max()) {
        return wrongType("a non-negative 32-bit integer");
    }
    value = static_cast<std::uint32_t>(wide);
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, std::uint64_t &value) -> ReadFailure
{
    const auto negative =
        json.is_number_integer() && !json.is_number_unsigned() && json.get<std::int64_t>() < 0;
    if (!json.is_number_integer() || negative) {
        return wrongType("a non-negative integer");
    }
    value = json.get<std::uint64_t>();
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, std::int64_t &value) -> ReadFailure
{
    constexpr auto max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto tooLarge = json.is_number_unsigned() && json.get<std::uint64_t>() > max;
    if (!json.is_number_integer() || tooLarge) {
        return wrongType("a 64-bit integer");
    }
    value = json.get<std::int64_t>();
    return std::nullopt;
}

auto readValue(const nlohmann::json &json, milliseconds &value) -> ReadFailure
{
    auto count = std::uint32_t{0};
    auto failure = readValue(json, count);
    value = milliseconds(count);
    return failure;
}

auto readValue(const nlohmann::json &json, SocketAddress &value) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    return failureOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(value, parseSocketAddress(text));
        return {};
    });
}

auto readValue(const nlohmann::json &json, Selector &value) -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    return failureOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(value, Selector::parse(text));
        return {};
    });
}

auto readValue(const nlohmann::json &json, Labels &value) -> ReadFailure
{
    if (!json.is_object()) {
        return wrongType("an object of strings");
    }
    auto labels = Labels{};
    for (const auto &[name, text] : json.items()) {
        if (auto failure = readValue(text, labels[name])) {
            return Error{failure->code, "label \"" + name + "\": " + failure->detail};
        }
    }
    if (auto failure = failureOf([&] { return checkLabels(labels); })) {
        return failure;
    }
    value = std::move(labels);
    return std::nullopt;
}

auto readElements(const nlohmann::json &json,
                  const std::function<ReadFailure(const nlohmann::json &)> &read) -> ReadFailure
{
    if (!json.is_array()) {
        return wrongType("an array");
    }
    for (std::size_t index = 0; index < json.size(); ++index) {
        if (auto failure = read(json[index])) {
            return Error{failure->code,
                         "element " + std::to_string(index) + ": " + failure->detail};
        }
    }
    return std::nullopt;
}

FieldReader::FieldReader(const nlohmann::json &json, std::string path)
    : m_json(json)
    , m_path(std::move(path))
{
    if (!m_json.is_object()) {
        const auto place = m_path.empty() ? std::string{} : m_path + ": ";
        m_failure = Error{ErrorCode::InvalidValue, place + "expected an object"};
    }
}

auto FieldReader::read(const char *name, bool isRequired,
                       const std::function<ReadFailure(const nlohmann::json &)> &convert)
    -> FieldReader &
{
    const auto *const field = find(name, isRequired);
    if (field == nullptr) {
        return *this;
    }
    if (const auto failure = convert(*field)) {
        m_failure = Error{failure->code, pathOf(name) + ": " + failure->detail};
    }
    return *this;
}

auto FieldReader::pathOf(std::string_view name) const -> std::string
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

auto FieldReader::find(const char *name, bool isRequired) -> const nlohmann::json *
{
    m_requestedFields.insert(name);
    if (m_failure) {
        return nullptr;
    }
    const auto found = m_json.find(name);
    if (found != m_json.end()) {
        return &*found;
    }
    if (isRequired) {
        m_failure = Error{ErrorCode::MissingField, pathOf(name)};
    }
    return nullptr;
}

auto FieldReader::finish() -> Result<void>
{
    if (m_failure) {
        return fail(m_failure->code, m_failure->detail);
    }
    for (const auto &field : m_json.items()) {
        if (!m_requestedFields.contains(field.key())) {
            return fail(ErrorCode::UnknownField, pathOf(field.key()));
        }
    }
    return {};
}

} // namespace figlanding
