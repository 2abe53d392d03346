#include "figlanding/selector.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto parsed(const std::string &text) -> Selector
{
    return valueOrElse([&] { return Selector::parse(text); },
                       [&](const Error &error) -> Selector {
                           FAIL(text << ": " << describe(error));
                           return {};
                       });
}

auto parseFailure(const std::string &text) -> std::string
{
    return valueOrElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(Selector::parse(text));
            return std::string("parsed");
        },
        [](const Error &error) { return describe(error); });
}

} // namespace

TEST_CASE("selectors match labels")
{
    const auto labels = Labels{{"zone", "a"}, {"tier", "gold"}, {"in", "x"}, {"blank", ""}};
    struct Row
    {
        const char *text;
        bool matches;
    };
    for (const auto &row : {
             Row{"", true},
             Row{"  ", true},
             Row{"zone=a", true},
             Row{"zone==b", false},
             Row{"zone!=b", true},
             Row{"lacking!=b", true},
             Row{"zone in (b, a)", true},
             Row{"zone in (b)", false},
             Row{"zone notin (b,c)", true},
             Row{"lacking notin (b)", true},
             Row{"zone notin (a)", false},
             Row{"tier", true},
             Row{"!tier", false},
             Row{"!lacking, tier=gold", true},
             Row{"zone=a,tier=plain", false},
             Row{"in in (x)", true},
             Row{"in", true},
             Row{"blank=", true},
             Row{"zone=", false},
         }) {
        CAPTURE(row.text);
        CHECK(parsed(row.text).matches(labels) == row.matches);
    }
}

TEST_CASE("the text of a selector parses to an equal selector")
{
    for (const auto *text :
         {"", "a=b", "a=", "a!=b", "a in (c, b, b)", "a notin (x)", "a", "!a", "a=b,c in (d),!e"}) {
        CAPTURE(text);
        CHECK(parsed(parsed(text).toText()) == parsed(text));
    }
    CHECK(parsed("a in (c,b,b)").toText() == "a in (b, c)");
}

TEST_CASE("errors of malformed selectors contain the position")
{
    struct Row
    {
        const char *text;
        const char *position;
    };
    for (const auto &row : {
             Row{"a=b,", "position 4"},
             Row{"=b", "position 0"},
             Row{"a in b", "position 5"},
             Row{"a in ()", "position 6"},
             Row{"a in (b", "position 7"},
             Row{"a b", "position 2"},
             Row{"a,,b", "position 2"},
             Row{"!", "position 1"},
             Row{"a>b", "position 1"},
         }) {
        CAPTURE(row.text);
        CHECK(parseFailure(row.text).find(row.position) != std::string::npos);
    }
    CHECK(parseFailure("1a=b").find("must start with a letter") != std::string::npos);
    CHECK(parseFailure("a=" + std::string(64, 'x')).find("limit is 63") != std::string::npos);
}
