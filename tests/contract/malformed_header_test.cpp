#include "archive_service.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figlanding;
using namespace figlanding::standins;
using figlanding::testing::RawAction;

namespace {

const auto identity = "X-Request-Id: " + archiveRequestId + "\r\nX-Upstream-Signature: s\r\n";
const auto chunkedBody = std::string("4\r\npart\r\n0\r\n\r\n");

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
        checkNotPassedOn("HTTP/1.1 200 OK\r\n" + identity + name
                         + ": 1\r\nContent-Length: 4\r\n\r\npart");
    }
}

TEST_CASE("a length under a field name with a blank or control character does not change the body")
{
    for (const auto *field : {"Transfer Encoding: chunked", "Transfer\x01-Encoding: chunked",
                              "Transfer-Encoding\x0b: chunked"}) {
        checkNotPassedOn("HTTP/1.1 200 OK\r\n" + identity + field + "\r\n\r\n" + chunkedBody);
    }
    checkNotPassedOn("HTTP/1.1 200 OK\r\n" + identity + "Content\tLength: 9\r\n\r\npart");
}

TEST_CASE("a line of blanks within a header does not hide the fields behind it")
{
    for (const auto *blanks : {" ", "\t", "\r"}) {
        checkNotPassedOn("HTTP/1.1 200 OK\r\n" + identity + blanks
                         + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody);
    }
}

TEST_CASE(
    "a response with a control character in a field value or its status line is not passed on")
{
    for (const auto &value :
         std::vector<std::string>{"a\rX-Other: b", std::string("a\0b", 3), "a\x01", "a\x7f"}) {
        checkNotPassedOn("HTTP/1.1 200 OK\r\n" + identity + "X-Note: " + value
                         + "\r\nContent-Length: 4\r\n\r\npart");
        checkNotPassedOn("HTTP/1.1 200 " + value + "\r\n" + identity
                         + "Content-Length: 4\r\n\r\npart");
    }
}

TEST_CASE("a response with a status outside 100 to 599 is not passed on")
{
    for (const auto *status : {"000", "001", "099", "600", "999"}) {
        for (const auto *framing : {"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\npart"}) {
            checkNotPassedOn("HTTP/1.1 " + std::string(status) + " OK\r\n" + identity + framing);
        }
        checkNotPassedOn("HTTP/1.1 " + std::string(status) + " OK\r\n\r\n");
    }
}

TEST_CASE("a response behind a status line with the status 000 is not passed on")
{
    const auto whole = "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 4\r\n\r\npart";
    checkNotPassedOn("HTTP/1.1 000 OK\r\n" + whole);
    checkNotPassedOn("HTTP/1.1 000 OK\r\n\r\n" + whole);
}
