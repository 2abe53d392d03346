#pragma once

#include "figlanding/error.h"
#include "figlanding/objects.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Reads typed fields of JSON objects. Errors name the path of the field.

namespace figlanding {

/// Error of a failed read; empty on success.
using ReadFailure = std::optional<Error>;

/// Reads one JSON value into @p value. On failure the value is left unchanged, except that
/// milliseconds become 0.
/// @return InvalidValue if the JSON type or range does not fit, or the error of the parser or check
/// of the type
[[nodiscard]] auto readValue(const nlohmann::json &json, std::string &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, bool &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, double &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, std::uint32_t &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, std::uint64_t &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, std::int64_t &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, milliseconds &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, SocketAddress &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, Selector &value) -> ReadFailure;
[[nodiscard]] auto readValue(const nlohmann::json &json, Labels &value) -> ReadFailure;

/// Calls @p read for each element of an array until one fails.
/// @return InvalidValue if @p json is no array, or the first failure with the index of its element
[[nodiscard]] auto readElements(const nlohmann::json &json,
                                const std::function<ReadFailure(const nlohmann::json &)> &read)
    -> ReadFailure;

/// Reads a name. The name is not checked; it is cleared on failure.
template <typename Tag>
[[nodiscard]] auto readValue(const nlohmann::json &json, Name<Tag> &value) -> ReadFailure
{
    auto text = std::string{};
    auto failure = readValue(json, text);
    value = Name<Tag>(std::move(text));
    return failure;
}

/// An enumerator and its text form.
template <typename Enum>
struct EnumText
{
    Enum value;
    std::string_view text;
};

/// Returns the text of @p value in @p table, or an empty text if it is not listed.
template <typename Enum, std::size_t Size>
[[nodiscard]] auto enumText(const std::array<EnumText<Enum>, Size> &table, Enum value)
    -> std::string
{
    for (const auto &row : table) {
        if (row.value == value) {
            return std::string(row.text);
        }
    }
    return {};
}

/// Reads an enumerator from its text form in @p table.
/// @return InvalidValue with the allowed texts if the text is not listed
template <typename Enum, std::size_t Size>
[[nodiscard]] auto readEnum(const nlohmann::json &json,
                            const std::array<EnumText<Enum>, Size> &table, Enum &value)
    -> ReadFailure
{
    auto text = std::string{};
    if (auto failure = readValue(json, text)) {
        return failure;
    }
    auto allowed = std::string{};
    for (const auto &row : table) {
        if (row.text == text) {
            value = row.value;
            return std::nullopt;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(row.text);
    }
    return Error{ErrorCode::InvalidValue, "\"" + text + "\" is none of " + allowed};
}

/// Reads the fields of one JSON object. After the first failure no further fields are read, and
/// finish() returns that failure.
class FieldReader
{
public:
    /// @param json value that should be an object; it must outlive the reader
    /// @param path path of the object from the root, for error texts; empty for the root
    FieldReader(const nlohmann::json &json, std::string path);

    /// Reads a field that must be present; MissingField otherwise.
    template <typename Value>
    auto required(const char *name, Value &value) -> FieldReader &
    {
        return read(name, true, [&](const auto &json) { return readValue(json, value); });
    }

    /// Reads a field that may be missing; @p value is left unchanged then.
    template <typename Value>
    auto optional(const char *name, Value &value) -> FieldReader &
    {
        return read(name, false, [&](const auto &json) { return readValue(json, value); });
    }

    /// Reads a field with a custom conversion.
    /// @param name name of the field
    /// @param isRequired whether a missing field is an error
    /// @param convert called with the JSON value of the field if it is present
    auto read(const char *name, bool isRequired,
              const std::function<ReadFailure(const nlohmann::json &)> &convert) -> FieldReader &;

    /// Returns the path of a field of this object from the root, such as "spec.burst".
    [[nodiscard]] auto pathOf(std::string_view name) const -> std::string;

    /// Ends the reading.
    /// @return the first failure, or UnknownField if the object has a field that was not read
    [[nodiscard]] auto finish() -> Result<void>;

private:
    auto find(const char *name, bool isRequired) -> const nlohmann::json *;

    const nlohmann::json &m_json;
    std::string m_path;
    std::set<std::string, std::less<>> m_requestedFields;
    ReadFailure m_failure;
};

/// Calls @p attempt, which returns a Result, and returns its error, if any.
template <typename Attempt>
[[nodiscard]] auto failureOf(Attempt &&attempt) -> ReadFailure
{
    return valueOrElse(
        [&]() -> Result<ReadFailure> {
            BOOST_LEAF_CHECK(attempt());
            return ReadFailure{};
        },
        [](const Error &error) { return ReadFailure(error); });
}

} // namespace figlanding
