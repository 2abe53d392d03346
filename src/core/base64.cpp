#include "base64.h"

#include <openssl/evp.h>

#include <limits>

namespace figlanding {

namespace {

constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupCharacters = 4;

} // namespace

auto encodeBase64(std::string_view bytes) -> std::string
{
    // EVP_EncodeBlock writes a terminating zero after the text, hence one more byte.
    auto text =
        std::string((bytes.size() + groupBytes - 1) / groupBytes * groupCharacters + 1, '\0');
    const auto written = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                         reinterpret_cast<const unsigned char *>(bytes.data()),
                                         static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

auto decodeBase64(std::string_view text) -> Result<std::string>
{
    constexpr auto maxCharacters = static_cast<std::size_t>(std::numeric_limits<int>::max());
    if (text.empty()) {
        return std::string{};
    }
    const auto padding = text.ends_with("==") ? 2U : (text.ends_with('=') ? 1U : 0U);
    const auto body = text.substr(0, text.size() - padding);
    const auto wellFormed = text.size() % groupCharacters == 0 && text.size() < maxCharacters
        && body.find_first_of("= \t\r\n-") == std::string_view::npos;
    auto bytes = std::string(text.size() / groupCharacters * groupBytes, '\0');
    const auto decoded = !wellFormed
        ? -1
        : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                          reinterpret_cast<const unsigned char *>(text.data()),
                          static_cast<int>(text.size()));
    if (decoded < 0) {
        return fail(ErrorCode::InvalidSyntax, "not base64");
    }
    bytes.resize(static_cast<std::size_t>(decoded) - padding);
    return bytes;
}

} // namespace figlanding
