#include "archive_service.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::testing::RawAction;

namespace {

constexpr std::string_view chunkedBody = "\r\n4\r\npart\r\n0\r\n\r\n";
constexpr std::string_view bodyWithLength = "Content-Length: 4\r\n\r\npart";

// Returns a response with the id of its request.
// @param status and reason phrase
// @param field a line that is added to the header
// @param rest of the response: further fields, the empty line and the body
auto response(std::string_view status, std::string_view field, std::string_view rest) -> std::string
{
    auto bytes = std::string("HTTP/1.1 ").append(status);
    bytes.append("\r\nX-Request-Id: ").append(archiveRequestId);
    bytes.append("\r\nX-Upstream-Signature: s\r\n").append(field);
    return bytes.append(field.empty() ? "" : "\r\n").append(rest);
}

// Checks that callers get none of what a server sends.
auto checkNotPassedOn(const std::string &bytes) -> void
{
    for (const auto &method : {std::string("GET"), std::string("POST")}) {
        CAPTURE(bytes);
        CAPTURE(method);
        const auto outcome =
            responseToCaller(sendingOnEachConnection(bytes, RawAction::Close), method);
        CHECK(outcome.verdict == Verdict::Ran);
        CHECK(outcome.response.status == 502);
        CHECK_FALSE(outcome.response.headers.find("x-upstream-signature"));
    }
}

} // namespace

TEST_CASE("a response with a field name that holds a blank or control character is not passed on")
{
    const auto names =
        std::vector<std::string>{"X Note",  "X\tNote", "X\x01Note",  "X\x7fNote",
                                 "X-Note ", " X-Note", "\x0bX-Note", std::string("X\0Note", 6),
                                 "X\rNote", ""};
    for (const auto &name : names) {
        checkNotPassedOn(response("200 OK", name + ": 1", bodyWithLength));
    }
}

TEST_CASE("a length under a field name with a blank or control character does not change the body")
{
    for (const auto *field : {"Transfer Encoding: chunked", "Transfer\x01-Encoding: chunked",
                              "Transfer-Encoding\x0b: chunked"}) {
        checkNotPassedOn(response("200 OK", field, chunkedBody));
    }
    checkNotPassedOn(response("200 OK", "Content\tLength: 9", "\r\npart"));
}

TEST_CASE("a line of blanks within a header does not hide the fields behind it")
{
    for (const auto *blanks : {" ", "\t", "\r"}) {
        const auto field = std::string(blanks).append("\r\nTransfer-Encoding: chunked");
        checkNotPassedOn(response("200 OK", field, chunkedBody));
    }
}

TEST_CASE(
    "a response with a control character in a field value or its status line is not passed on")
{
    for (const auto &value :
         std::vector<std::string>{"a\rX-Other: b", std::string("a\0b", 3), "a\x01", "a\x7f"}) {
        checkNotPassedOn(response("200 OK", "X-Note: " + value, bodyWithLength));
        checkNotPassedOn(response("200 " + value, "", bodyWithLength));
    }
}

TEST_CASE("a response with a status outside 100 to 599 is not passed on")
{
    for (const auto *status : {"000 OK", "001 OK", "099 OK", "600 OK", "999 OK"}) {
        checkNotPassedOn(response(status, "", "Content-Length: 0\r\n\r\n"));
        checkNotPassedOn(response(status, "", bodyWithLength));
        checkNotPassedOn(std::string("HTTP/1.1 ").append(status).append("\r\n\r\n"));
    }
}

TEST_CASE("a response behind a status line with the status 000 is not passed on")
{
    const auto whole = response("200 OK", "", bodyWithLength);
    checkNotPassedOn("HTTP/1.1 000 OK\r\n" + whole);
    checkNotPassedOn("HTTP/1.1 000 OK\r\n\r\n" + whole);
}
