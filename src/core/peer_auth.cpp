#include "figlanding/peer_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace figlanding {

namespace {

auto toHex(const unsigned char *bytes, std::size_t length) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(length * 2);
    for (std::size_t index = 0; index < length; ++index) {
        text.push_back(digits[bytes[index] >> 4U]);
        text.push_back(digits[bytes[index] & 0x0FU]);
    }
    return text;
}

// Prefixes each field with its length, so that different handshakes never produce the same HMAC
// input.
auto appendField(std::string &out, std::string_view field) -> void
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

} // namespace

auto peerProof(std::string_view secret, PeerSide side, const PeerHandshake &handshake)
    -> std::string
{
    std::string macInput = side == PeerSide::Client ? "client," : "server,";
    appendField(macInput, handshake.clientVm.value());
    appendField(macInput, handshake.serverVm.value());
    appendField(macInput, handshake.clientNonce);
    appendField(macInput, handshake.serverNonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(macInput.data()), macInput.size(), digest.data(),
         &length);
    return toHex(digest.data(), length);
}

auto verifyPeerProof(std::string_view secret, PeerSide side, const PeerHandshake &handshake,
                     std::string_view proof) -> bool
{
    const auto expected = peerProof(secret, side, handshake);
    return proof.size() == expected.size()
        && CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace figlanding
