#include "figlanding/request_digest.h"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <memory>

namespace figlanding {

namespace {

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

using HashState = std::unique_ptr<XXH3_state_t, StateDeleter>;

// Hashes the length before the bytes, so that different lists of fields never produce the same
// input.
void hashLengthPrefixed(XXH3_state_t *state, std::string_view field)
{
    auto length = std::array<unsigned char, sizeof(std::uint64_t)>{};
    auto rest = static_cast<std::uint64_t>(field.size());
    for (auto &byte : length) {
        byte = static_cast<unsigned char>(rest & 0xffU);
        rest >>= 8U;
    }
    XXH3_128bits_update(state, length.data(), length.size());
    XXH3_128bits_update(state, field.data(), field.size());
}

auto toHex(const XXH128_canonical_t &canonical) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto text = std::string{};
    for (const auto byte : canonical.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

} // namespace

auto requestDigest(const RequestIdentity &identity) -> std::string
{
    const auto state = HashState(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const auto field : {std::string_view(identity.team.value()), identity.method,
                             identity.target, identity.body}) {
        hashLengthPrefixed(state.get(), field);
    }
    auto canonical = XXH128_canonical_t{};
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state.get()));
    return toHex(canonical);
}

} // namespace figlanding
