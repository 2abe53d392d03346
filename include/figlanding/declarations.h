#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Parses the declarations that operators keep in files and compares them with a cluster state.

namespace figlanding {

/// Parses declarations: one object or an array of objects, in JSON with comments.
/// @param text content of a declaration file
/// @return the objects in the order of the text; InvalidSyntax with line and column if the text is
/// not JSON; or the error of the first invalid object with its array index
[[nodiscard]] auto parseDeclarations(std::string_view text) -> Result<std::vector<DeclaredObject>>;

/// Settings of diffDeclarations().
struct DeclarationDiffOptions
{
    /// Kinds whose undeclared objects are removed; objects of other kinds are kept.
    std::set<ObjectKind> prune;
};

/// Changes that bring a cluster state in line with the declarations.
struct DeclarationDiff
{
    std::vector<ObjectChange> changes; ///< each expects the object version that was compared
    /// One line per change for display, such as `~ Team "north": spec.burst 5.0 -> 7.0`; '+' marks
    /// a created, '~' a replaced and '-' a removed object.
    std::vector<std::string> lines;

    auto operator==(const DeclarationDiff &) const -> bool = default;
};

/// Compares declarations with a cluster state.
/// @param state state to compare with
/// @param declared declared objects
/// @param options kinds whose undeclared objects are removed
/// @return the changes, empty if nothing differs; DuplicateObject if an object is declared twice
[[nodiscard]] auto diffDeclarations(const ClusterState &state,
                                    const std::vector<DeclaredObject> &declared,
                                    const DeclarationDiffOptions &options)
    -> Result<DeclarationDiff>;

} // namespace figlanding
