#include "core/compression.h"

#include <zlib.h>

#include <new>

namespace figlanding {

namespace {

constexpr std::size_t lengthBytes = 4; ///< size of the prefix: the uncompressed size, big-endian

auto toBytef(const char *bytes) -> const Bytef *
{
    return reinterpret_cast<const Bytef *>(bytes);
}

auto toBytef(char *bytes) -> Bytef *
{
    return reinterpret_cast<Bytef *>(bytes);
}

} // namespace

auto compress(std::string_view bytes) -> std::string
{
    auto result = std::string{};
    for (auto shift = 24; shift >= 0; shift -= 8) {
        result.push_back(static_cast<char>((bytes.size() >> shift) & 0xff));
    }
    auto size = compressBound(static_cast<uLong>(bytes.size()));
    result.resize(lengthBytes + size);
    // With a buffer of compressBound() bytes, this fails only if memory is exhausted.
    const auto status =
        compress2(toBytef(result.data() + lengthBytes), &size, toBytef(bytes.data()),
                  static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw std::bad_alloc();
    }
    result.resize(lengthBytes + size);
    return result;
}

auto decompress(std::string_view bytes, std::size_t maxBytes) -> Result<std::string>
{
    if (bytes.size() < lengthBytes) {
        return fail(ErrorCode::InvalidSyntax,
                    "compressed message is shorter than its length prefix");
    }
    auto length = std::size_t{0};
    for (const auto byte : bytes.substr(0, lengthBytes)) {
        length = (length << 8) | static_cast<unsigned char>(byte);
    }
    if (length > maxBytes) {
        return fail(ErrorCode::InvalidSyntax,
                    "compressed message expands to " + std::to_string(length) + " bytes, limit "
                        + std::to_string(maxBytes));
    }
    auto result = std::string(length, '\0');
    auto size = static_cast<uLongf>(length);
    const auto content = bytes.substr(lengthBytes);
    const auto status = uncompress(toBytef(result.data()), &size, toBytef(content.data()),
                                   static_cast<uLong>(content.size()));
    if (status != Z_OK || size != length) {
        return fail(ErrorCode::InvalidSyntax,
                    "compressed message is corrupt: zlib status " + std::to_string(status));
    }
    return result;
}

} // namespace figlanding
