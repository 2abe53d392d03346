#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/error.h"

#include <string>
#include <string_view>

/// @file
/// Team keys: creates their credentials and authenticates callers against the declared keys.

namespace figlanding {

/// Credential that a caller presents as "id.secret". The id may contain '.', the secret may not.
struct Credential
{
    TeamKeyId id;
    std::string secret;

    auto operator==(const Credential &) const -> bool = default;
};

/// Minimum number of random bytes in a salt.
inline constexpr std::size_t minSaltBytes = 16;
/// Minimum number of random bytes in a secret.
inline constexpr std::size_t minSecretBytes = 16;

/// Raw bytes from the operating system's random generator.
struct TeamKeyRandom
{
    std::string salt; ///< at least @ref minSaltBytes bytes
    std::string secret; ///< at least @ref minSecretBytes bytes
};

/// A new key for the configuration, and the credential for the team. The credential is not stored.
struct NewTeamKey
{
    TeamKey key;
    std::string credential;
};

/// Creates a team key with its credential.
/// @return the key, or InvalidValue if an id is invalid or the salt or the secret is too short
[[nodiscard]] auto createTeamKey(const TeamKeyId &id, const TeamId &team,
                                 const TeamKeyRandom &random) -> Result<NewTeamKey>;

/// Parses "id.secret".
/// @return the credential, or AuthenticationFailed; error texts never contain the secret
[[nodiscard]] auto parseCredential(std::string_view text) -> Result<Credential>;

/// Parses the value of an Authorization header, "Bearer id.secret".
/// @return the credential, or AuthenticationFailed
[[nodiscard]] auto parseAuthorization(std::string_view header) -> Result<Credential>;

/// Verifies a credential against the declared keys. The time taken depends neither on the secret
/// nor on whether the key exists.
/// @return the key in @p state, or AuthenticationFailed; the error is the same for a wrong secret
/// and for an unknown or withdrawn key
[[nodiscard]] auto authenticate(const ClusterState &state, const Credential &credential)
    -> Result<const TeamKey *>;

} // namespace figlanding
