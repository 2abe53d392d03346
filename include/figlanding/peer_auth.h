#pragma once

#include "figlanding/names.h"

#include <string>
#include <string_view>

/// @file
/// Mutual authentication of two VMs by a shared secret: HMAC challenge-response. Each proof
/// covers the nonces of both sides, so a recorded handshake cannot be replayed.

namespace figlanding {

/// The values of one handshake, none of which is secret.
struct PeerHandshake
{
    VmId clientVm;
    VmId serverVm;
    std::string clientNonce; ///< hexadecimal, chosen by the client for this connection
    std::string serverNonce; ///< hexadecimal, chosen by the server for this connection

    auto operator==(const PeerHandshake &) const -> bool = default;
};

/// The side of the connection that computes a proof.
enum class PeerSide { Client, Server };

/// Computes the proof that @p side knows the secret.
/// @param secret shared secret of the fleet
/// @returns HMAC-SHA256 over the side and the handshake, hexadecimal
[[nodiscard]] auto peerProof(std::string_view secret, PeerSide side, const PeerHandshake &handshake)
    -> std::string;

/// Verifies the proof of @p side by a constant-time comparison.
[[nodiscard]] auto verifyPeerProof(std::string_view secret, PeerSide side,
                                   const PeerHandshake &handshake, std::string_view proof) -> bool;

} // namespace figlanding
