#include "io/http_request_check.h"

#include <algorithm>
#include <string_view>

namespace figlanding {

namespace {

auto hasControlCharacter(std::string_view text) -> bool
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

auto isToken(std::string_view text) -> bool
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || punctuation.find(c) != std::string_view::npos;
    });
}

} // namespace

auto findRequestError(const HttpRequest &request) -> std::string
{
    if (!isToken(request.method)) {
        return "method \"" + request.method + "\"";
    }
    if (request.target.empty() || request.target.find(' ') != std::string::npos
        || hasControlCharacter(request.target)) {
        return "target \"" + request.target + "\"";
    }
    for (const auto &[name, value] : request.headers.fields()) {
        if (!isToken(name) || hasControlCharacter(value)) {
            return "header \"" + name + "\"";
        }
    }
    return {};
}

} // namespace figlanding
