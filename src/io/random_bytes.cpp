#include "io/random_bytes.h"

#include <sys/random.h>

#include <cstdlib>

namespace figlanding {

auto randomBytes(std::size_t count) -> std::string
{
    auto bytes = std::string(count, '\0');
    std::size_t filled = 0;
    while (filled < count) {
        const auto size = ::getrandom(&bytes[filled], count - filled, 0);
        if (size <= 0) {
            std::abort();
        }
        filled += static_cast<std::size_t>(size);
    }
    return bytes;
}

auto randomHex(std::size_t count) -> std::string
{
    constexpr auto *digits = "0123456789abcdef";
    auto text = std::string();
    for (const auto byte : randomBytes(count)) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4];
        text += digits[value & 0xf];
    }
    return text;
}

} // namespace figlanding
