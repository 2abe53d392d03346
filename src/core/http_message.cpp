#include "figlanding/http_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace figlanding {

namespace {

constexpr std::array<std::string_view, 10> hopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
};

auto toLower(char character) -> char
{
    const auto upper = character >= 'A' && character <= 'Z';
    return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

auto toLower(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    for (auto &character : lower) {
        character = toLower(character);
    }
    return lower;
}

} // namespace

auto equalsIgnoringCase(std::string_view lowerCase, std::string_view text) -> bool
{
    return lowerCase.size() == text.size()
        && std::equal(lowerCase.begin(), lowerCase.end(), text.begin(),
                      [](char left, char right) { return left == toLower(right); });
}

HttpHeaders::HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
{
    for (const auto &[name, value] : fields) {
        add(name, value);
    }
}

auto HttpHeaders::add(std::string_view name, std::string_view value) -> void
{
    m_fields.emplace_back(toLower(name), std::string(value));
}

auto HttpHeaders::set(std::string_view name, std::string_view value) -> void
{
    remove(name);
    add(name, value);
}

auto HttpHeaders::remove(std::string_view name) -> void
{
    std::erase_if(m_fields,
                  [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
}

auto HttpHeaders::find(std::string_view name) const -> std::optional<std::string_view>
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto &field) {
        return equalsIgnoringCase(field.first, name);
    });
    if (found == m_fields.end()) {
        return std::nullopt;
    }
    return std::string_view(found->second);
}

auto toText(BodyEnd end) -> std::string_view
{
    switch (end) {
    case BodyEnd::Length:
        return "length";
    case BodyEnd::LastChunk:
        return "last-chunk";
    case BodyEnd::ConnectionEnd:
        return "connection-end";
    }
    return "length";
}

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto queryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string_view>
{
    const auto question = target.find('?');
    auto rest =
        question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return pair.substr(std::min(equals + 1, pair.size()));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

auto isHopByHop(std::string_view lowerCaseName) -> bool
{
    return std::find(hopByHopNames.begin(), hopByHopNames.end(), lowerCaseName)
        != hopByHopNames.end();
}

auto jsonResponse(int status, std::string json) -> HttpResponse
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = std::move(json)};
}

auto problemResponse(int status, std::string_view title, std::string_view detail) -> HttpResponse
{
    const auto problem = nlohmann::json{{"title", title}, {"status", status}, {"detail", detail}};
    constexpr auto compact = -1;
    return {.status = status,
            .headers = {{"content-type", "application/problem+json"}},
            .body = problem.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace figlanding
