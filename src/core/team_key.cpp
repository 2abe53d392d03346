#include "figlanding/team_key.h"

#include "text.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace figlanding {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Salt used if the credential's id is unknown, so that the check takes as long as for a known key.
constexpr auto unknownKeySaltHex = std::string_view("00000000000000000000000000000000");

auto toHex(std::string_view bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto text = std::string{};
    for (const auto c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

// Hashes the salt in the hexadecimal form in which it is declared, not as raw bytes.
auto digestHexOf(std::string_view saltHex, std::string_view secret) -> std::string
{
    auto input = std::string(saltHex);
    input += secret;
    auto digest = Digest{};
    SHA256(reinterpret_cast<const unsigned char *>(input.data()), input.size(), digest.data());
    OPENSSL_cleanse(input.data(), input.size());
    return toHex({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

auto equalInConstantTime(const std::string &left, const std::string &right) -> bool
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto isBearer(std::string_view scheme) -> bool
{
    constexpr auto lowerCase = std::string_view("bearer");
    if (scheme.size() != lowerCase.size()) {
        return false;
    }
    for (std::size_t index = 0; index < scheme.size(); ++index) {
        // Bit 0x20 converts an ASCII letter to lower case.
        if (static_cast<char>(scheme[index] | 0x20) != lowerCase[index]) {
            return false;
        }
    }
    return true;
}

} // namespace

auto createTeamKey(const TeamKeyId &id, const TeamId &team, const TeamKeyRandom &random)
    -> Result<NewTeamKey>
{
    if (random.salt.size() < minSaltBytes || random.secret.size() < minSecretBytes) {
        return fail(ErrorCode::InvalidValue, "the salt or the secret has too few random bytes");
    }
    const auto secret = toHex(random.secret);
    auto key = TeamKey{.id = id, .team = team, .saltHex = toHex(random.salt)};
    key.digestHex = digestHexOf(key.saltHex, secret);
    BOOST_LEAF_CHECK(checkObject(key));
    return NewTeamKey{.key = std::move(key), .credential = id.value() + "." + secret};
}

auto parseCredential(std::string_view text) -> Result<Credential>
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) {
        return fail(ErrorCode::AuthenticationFailed, "the credential is not \"id.secret\"");
    }
    return Credential{.id = TeamKeyId(std::string(text.substr(0, dot))),
                      .secret = std::string(text.substr(dot + 1))};
}

auto parseAuthorization(std::string_view header) -> Result<Credential>
{
    const auto space = header.find(' ');
    if (space == std::string_view::npos || !isBearer(header.substr(0, space))) {
        return fail(ErrorCode::AuthenticationFailed, "the authorization scheme is not Bearer");
    }
    const auto start = header.find_first_not_of(' ', space);
    const auto credential = start == std::string_view::npos ? "" : header.substr(start);
    return parseCredential(credential.substr(0, credential.find_last_not_of(' ') + 1));
}

auto authenticate(const ClusterState &state, const Credential &credential)
    -> Result<const TeamKey *>
{
    const auto found = state.teamKeys.find(credential.id);
    const auto exists = found != state.teamKeys.end();
    const auto salt = exists ? std::string_view(found->second.object.saltHex) : unknownKeySaltHex;
    const auto digest = digestHexOf(salt, credential.secret);
    const auto expected = exists ? found->second.object.digestHex : std::string(digest.size(), '0');
    if (!equalInConstantTime(digest, expected) || !exists) {
        return fail(ErrorCode::AuthenticationFailed, "team key " + quoted(credential.id.value()));
    }
    return &found->second.object;
}

} // namespace figlanding
