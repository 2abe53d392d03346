#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

/// @file
/// Error codes, the error value and the result type that every fallible function returns.

namespace figlanding {

/// Kind of a failure. The table in error.cpp holds one message per code.
enum class ErrorCode {
    InvalidSyntax,
    InvalidValue,
    UnknownField,
    MissingField,
    UnknownObject,
    DuplicateObject,
    ObjectInUse,
    VersionConflict,
    StaleTerm,
    InvalidTransition,
    DuplicateRecord,
    ChecksumMismatch,
    SnapshotIncomplete,
    OffsetGap,
    LogUnavailable,
    ProtocolViolation,
    AuthenticationFailed,
    ConnectionFailed,
    Timeout,
    Cancelled,
    LimitExceeded,
    NotFound,
    IoFailure,
    Internal,
};

/// Returns the message of a code, in lower case and without a trailing full stop.
[[nodiscard]] auto message(ErrorCode code) -> std::string_view;

/// A failure: its code and the details of this occurrence.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string detail;

    auto operator==(const Error &) const -> bool = default;
};

/// Returns "message: detail", or only the message if there is no detail.
[[nodiscard]] auto describe(const Error &error) -> std::string;

/// A value or an Error.
template <typename Value>
using Result = boost::leaf::result<Value>;

/// Creates a failed result.
/// @param code kind of the failure
/// @param detail details of this occurrence, such as names and limits
[[nodiscard]] auto fail(ErrorCode code, std::string detail) -> boost::leaf::error_id;

/// Calls @p attempt and, if it fails, converts the error to a value with @p onError.
/// @param attempt callable without parameters that returns Result<Value>
/// @param onError callable that takes a const Error & and returns Value
/// @return the value of @p attempt, or of @p onError if it failed
template <typename Attempt, typename OnError>
auto valueOrElse(Attempt &&attempt, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const Error &error) { return onError(error); },
        [&] { return onError(Error{}); });
}

/// A value or an Error that can be stored and passed to callbacks. A Result does not carry its
/// error: LEAF keeps the error in the handler scope on the call stack, so it is lost when that
/// scope ends.
template <typename Value>
class Settled
{
public:
    Settled(Value value)
        : m_content(std::move(value))
    { }
    Settled(Error error)
        : m_content(std::move(error))
    { }

    /// Returns whether this holds a value.
    [[nodiscard]] explicit operator bool() const
    {
        return std::holds_alternative<Value>(m_content);
    }
    /// Returns the value. Throws std::bad_variant_access if this holds an error.
    [[nodiscard]] auto value() const -> const Value &
    {
        return std::get<Value>(m_content);
    }
    /// Returns the error. Throws std::bad_variant_access if this holds a value.
    [[nodiscard]] auto error() const -> const Error &
    {
        return std::get<Error>(m_content);
    }

private:
    std::variant<Value, Error> m_content;
};

/// Calls @p attempt and stores its value or its error.
/// @param attempt callable without parameters that returns Result<Value>
/// @return Settled<Value> with the outcome of @p attempt
template <typename Attempt>
auto settle(Attempt &&attempt)
{
    using Value = std::remove_cvref_t<decltype(attempt().value())>;
    return valueOrElse(
        [&]() -> Result<Settled<Value>> {
            BOOST_LEAF_AUTO(value, attempt());
            return Settled<Value>(std::move(value));
        },
        [](const Error &error) { return Settled<Value>(error); });
}

} // namespace figlanding
