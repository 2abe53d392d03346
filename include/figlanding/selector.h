#pragma once

#include "figlanding/error.h"
#include "figlanding/labels.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Label selectors: conditions on labels, written as "zone in (a, b), tier=gold, !draining".

namespace figlanding {

/// Operator of a requirement.
enum class SelectorOperator { Equals, NotEquals, In, NotIn, Exists, NotExists };

/// A condition on one label.
struct Requirement
{
    std::string label;
    SelectorOperator op = SelectorOperator::Exists;
    std::vector<std::string> values; ///< sorted; empty for Exists and NotExists

    auto operator<=>(const Requirement &) const = default;
};

/// A conjunction of requirements. The empty selector matches every object.
class Selector
{
public:
    Selector() = default;

    /// Parses the text form.
    /// @return the selector; InvalidSyntax with the byte position of the error; or InvalidValue if
    /// a label name or value is not allowed
    [[nodiscard]] static auto parse(std::string_view text) -> Result<Selector>;

    /// Returns whether @p labels satisfy all requirements. NotEquals and NotIn match objects
    /// that lack the label.
    [[nodiscard]] auto matches(const Labels &labels) const -> bool;
    /// Returns the text form, which parse() turns into an equal selector.
    [[nodiscard]] auto toText() const -> std::string;
    [[nodiscard]] auto requirements() const -> const std::vector<Requirement> &
    {
        return m_requirements;
    }

    auto operator<=>(const Selector &) const = default;

private:
    std::vector<Requirement> m_requirements;
};

} // namespace figlanding
