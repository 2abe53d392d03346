#include "core/json_text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace figlanding;

namespace {

const auto validTexts = std::vector<std::string>{
    "", "a", "\"\\\n", "z\xc3\xbc", "\xf0\x9f\x98\x80", "\xef\xbf\xbd", std::string("\0", 1)};
const auto invalidTexts = std::vector<std::string>{
    "\xff", "a\x80z", "\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xc0\x80", "\xe6\x97"};

} // namespace

TEST_CASE("a text is UTF-8 exactly if it can be written as a JSON string")
{
    for (const auto &text : validTexts) {
        CHECK(isUtf8(text));
        CHECK(parseJsonText(nlohmann::json(text).dump()) == text);
    }
    for (const auto &text : invalidTexts) {
        CHECK_FALSE(isUtf8(text));
        CHECK_THROWS(static_cast<void>(nlohmann::json(text).dump()));
    }
}

TEST_CASE("bytes that are no UTF-8 spoil nothing else of a JSON text")
{
    for (const auto &text : invalidTexts) {
        auto json = std::string("[1,\"");
        json.append(text).append("\",{\"").append(text).append("\":2},\"b\"]");
        const auto value = parseJsonText(json);
        REQUIRE(value.is_array());
        REQUIRE(value.size() == 4);
        CHECK(value[0] == 1);
        CHECK(value[1].is_string());
        CHECK(value[2].is_object());
        CHECK(value[3] == "b");
    }
}

TEST_CASE("a malformed JSON text stays malformed")
{
    for (const auto &text : invalidTexts) {
        CHECK(parseJsonText("[\"" + text).is_discarded());
        CHECK(parseJsonText(text).is_discarded());
    }
    CHECK(parseJsonText("").is_discarded());
}
