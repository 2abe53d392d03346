#include "store_pages.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace figlanding;
using figlanding::platform::NewestPage;
using figlanding::platform::parseNewestPage;

namespace {

const auto firstItem = std::string(R"({"Key":"a","Value":"eA==","Offset":1})");
const auto lastItem = std::string(R"({"Key":"z","Value":"eA==","Offset":2})");

// Returns a page whose second of three items is @p item.
auto pageWith(std::string_view item) -> std::string
{
    auto body = R"({"items":[)" + firstItem + ",";
    return body.append(item).append("," + lastItem + R"(],"More":true,"End":3})");
}

// Returns the keys of a page, or the error as the only one.
auto keysOf(const Settled<NewestPage> &page) -> std::vector<std::string>
{
    if (!page) {
        return {describe(page.error())};
    }
    auto keys = std::vector<std::string>{};
    for (const auto &record : page.value().records) {
        keys.push_back(record.key);
    }
    return keys;
}

} // namespace

TEST_CASE("an item without a readable name or offset ends no snapshot")
{
    for (const auto &item : std::vector<std::string>{
             "null", "7", "[]", "{}", R"({"Value":"eA==","Offset":5})",
             R"({"Key":7,"Value":"eA==","Offset":5})", R"({"Key":"m","Value":"eA=="})",
             R"({"Key":"m","Value":"eA==","Offset":-1})",
             R"({"Key":"m","Value":"eA==","Offset":1.5})",
             R"({"Key":"m","Value":"eA==","Offset":"5"})"}) {
        CAPTURE(item);
        CHECK(keysOf(parseNewestPage(pageWith(item))) == std::vector<std::string>{"a", "z"});
    }
}

TEST_CASE("an item without a readable value ends no snapshot and keeps its name")
{
    for (const auto &item : std::vector<std::string>{
             R"({"Key":"m","Offset":5})", R"({"Key":"m","Value":null,"Offset":5})",
             R"({"Key":"m","Value":"no base64!","Offset":5})",
             R"({"Key":"m","Value":7,"Offset":5})"}) {
        CAPTURE(item);
        const auto page = parseNewestPage(pageWith(item));
        REQUIRE(keysOf(page) == std::vector<std::string>{"a", "m", "z"});
        CHECK(page.value().records.at(1) == KeyedRecord{.offset = 5, .key = "m", .value = ""});
    }
}

TEST_CASE("a page that is no UTF-8 ends no snapshot")
{
    for (const auto *bytes : {"\xff", "\x80", "a\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
        const auto item = R"({"Key":"m)" + std::string(bytes) + R"(","Value":"eA==","Offset":5})";
        const auto keys = keysOf(parseNewestPage(pageWith(item)));
        REQUIRE(keys.size() == 3);
        CHECK(keys.front() == "a");
        CHECK(keys.back() == "z");
    }
}

TEST_CASE("a page without items is read, also if the list is null")
{
    for (const auto *items : {"[]", "null"}) {
        const auto body =
            std::string(R"({"More":false,"End":3,"items":)").append(items).append("}");
        const auto page = parseNewestPage(body);
        REQUIRE(static_cast<bool>(page));
        CHECK(page.value() == NewestPage{.end = 3});
    }
}

TEST_CASE("a page without its end or its items is an error")
{
    for (const auto &body : std::vector<std::string>{
             "", "[]", "null", "{", R"({"items":[],"More":false})", R"({"items":[],"End":3})",
             R"({"More":false,"End":3})", R"({"items":[],"More":false,"End":-1})",
             R"({"items":7,"More":false,"End":3})"}) {
        CAPTURE(body);
        CHECK_FALSE(static_cast<bool>(parseNewestPage(body)));
    }
}

// Guards against the removal of a live server whose name such a record begins with.
TEST_CASE("a log record that ends within its key removes no key")
{
    const auto end = std::string("\0\0\0\0\0\0\0\5", 8);
    const auto first = std::string(8, '\0');
    const auto wholeRecord = std::string("\0\0\0\4\1kvv", 8);
    for (const auto &record : {std::string("\0\0\0\4\xffs-1", 8), std::string("\0\0\0\3\3s-", 7),
                               std::string("\0\0\0\1\1", 5), std::string("\0\0\0\0", 4)}) {
        auto body = end;
        body.append(first).append(wholeRecord).append(record).append(wholeRecord);
        const auto page = figlanding::platform::parseLogPage(body, 2);
        REQUIRE(static_cast<bool>(page));
        CHECK(page.value().next == 5);
        REQUIRE(page.value().records.size() == 3);
        CHECK(page.value().records.at(1) == KeyedRecord{.offset = 3, .key = "", .value = ""});
        CHECK(page.value().records.at(2).key == "k");
    }
}

TEST_CASE("a log record without a value removes its key")
{
    const auto body = std::string(16, '\0') + std::string("\0\0\0\4\3s-1", 8);
    const auto page = figlanding::platform::parseLogPage(body, 0);
    REQUIRE(static_cast<bool>(page));
    CHECK(page.value().records == std::vector<KeyedRecord>{{.offset = 0, .key = "s-1"}});
}
