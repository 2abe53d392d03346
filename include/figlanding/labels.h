#pragma once

#include "figlanding/error.h"

#include <map>
#include <string>
#include <string_view>

/// @file
/// Labels: name-value pairs that operators attach to objects.

namespace figlanding {

/// Labels of one object, ordered by name.
using Labels = std::map<std::string, std::string>;

/// Largest length of a label's name or value, in bytes.
inline constexpr std::size_t maxLabelBytes = 63;

/// Checks the name of a label: letters, digits, '-', '_', '.' and '/', starting with a letter, at
/// most @ref maxLabelBytes.
/// @return InvalidValue if the name is not allowed
[[nodiscard]] auto checkLabelName(std::string_view name) -> Result<void>;

/// Checks the value of a label: same rules as for a name, but it may be empty or start with a
/// digit.
/// @return InvalidValue if the value is not allowed
[[nodiscard]] auto checkLabelValue(std::string_view value) -> Result<void>;

/// Checks all names and values.
/// @return the error of the first label that is not allowed
[[nodiscard]] auto checkLabels(const Labels &labels) -> Result<void>;

} // namespace figlanding
