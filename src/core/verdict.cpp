#include "figlanding/verdict.h"

#include <algorithm>

namespace figlanding {

auto toText(Verdict verdict) -> std::string_view
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

auto combine(Verdict first, Verdict second) -> Verdict
{
    return std::max(first, second);
}

} // namespace figlanding
