#include "io/request_target.h"

#include <curl/curl.h>

#include <memory>
#include <new>
#include <string_view>
#include <utility>

namespace figlanding {

namespace {

auto encodePercent(std::string_view bytes) -> std::string
{
    if (bytes.empty()) {
        return {}; // libcurl takes a length of 0 as that of a text that ends with a zero byte
    }
    const auto encoded = std::unique_ptr<char, decltype(&curl_free)>(
        curl_easy_escape(nullptr, bytes.data(), static_cast<int>(bytes.size())), &curl_free);
    if (!encoded) {
        throw std::bad_alloc();
    }
    return encoded.get();
}

} // namespace

auto requestTarget(std::string path, const std::vector<QueryParameter> &query) -> std::string
{
    auto target = std::move(path);
    auto separator = '?';
    for (const auto &parameter : query) {
        target += separator + parameter.name + '=' + encodePercent(parameter.value);
        separator = '&';
    }
    return target;
}

} // namespace figlanding
