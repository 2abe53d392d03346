#pragma once

/// @file
/// Bounds how long urgent requests overtake less urgent ones.

namespace figlanding {

/// The part of a queue's work that goes to less urgent requests that are past their objective.
///
/// Urgent requests come first, but without this part they would overtake the others until these
/// are refused. Work is in the units of RouteWork: a long request uses up more of the part.
class OverdueShare
{
public:
    /// Records a grant to a request that was not overdue, or not overtaken.
    auto onGrant(double work) -> void;
    /// Records a grant to an overdue request ahead of more urgent ones.
    auto onOverdueGrant(double work) -> void;
    /// Returns whether an overdue request of this work goes ahead of more urgent ones now.
    [[nodiscard]] auto isDue(double work) const -> bool;

private:
    double m_credit = 0.0; ///< work that overdue requests may still take
};

} // namespace figlanding
