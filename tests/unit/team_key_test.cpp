#include "figlanding/team_key.h"

#include "state_machine_fixture.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto newKey() -> NewTeamKey
{
    return createTeamKey(TeamKeyId("desk.1"), TeamId("north"),
                         {.salt = std::string(16, '\x01'), .secret = std::string(16, '\xab')})
        .value();
}

auto authenticated(const ClusterState &state, std::string_view header) -> std::string
{
    const auto outcome = settle([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(credential, parseAuthorization(header));
        BOOST_LEAF_AUTO(key, authenticate(state, credential));
        return key->team.value();
    });
    return outcome ? outcome.value() : describe(outcome.error());
}

} // namespace

TEST_CASE("credentials are checked against the declared keys")
{
    auto log = smallClusterLog();
    const auto created = newKey();
    log.set({created.key});
    const auto &valid = created.credential;
    const auto unknown = std::string("authentication failed: team key ");
    struct Row
    {
        std::string header;
        std::string outcome;
    };
    for (const auto &row : std::vector<Row>{
             {"Bearer " + valid, "north"},
             {"bearer  " + valid + " ", "north"},
             {"Basic " + valid, "authentication failed: the authorization scheme is not Bearer"},
             {valid, "authentication failed: the authorization scheme is not Bearer"},
             {"Bearer", "authentication failed: the authorization scheme is not Bearer"},
             {"Bearer ", "authentication failed: the credential is not \"id.secret\""},
             {"Bearer desk", "authentication failed: the credential is not \"id.secret\""},
             {"Bearer .x", "authentication failed: the credential is not \"id.secret\""},
             {"Bearer desk.1.", "authentication failed: the credential is not \"id.secret\""},
             {"Bearer " + valid + "0", unknown + "\"desk.1\""},
             {"Bearer desk.1.abab", unknown + "\"desk.1\""},
             {"Bearer k1.abab", unknown + "\"k1\""},
             {"Bearer none.abab", unknown + "\"none\""},
         }) {
        CAPTURE(row.header);
        CHECK(authenticated(log.state(), row.header) == row.outcome);
    }
    log.remove(ObjectKind::TeamKey, "desk.1");
    CHECK(authenticated(log.state(), "Bearer " + valid) == unknown + "\"desk.1\"");
}

TEST_CASE("a key contains the digest of salt and secret, not the secret")
{
    const auto created = newKey();
    CHECK(created.credential == "desk.1." + std::string("abababababababababababababababab"));
    // printf '%s' 01010101010101010101010101010101abababababababababababababababab | sha256sum
    CHECK(created.key.digestHex
          == "4f9a8100919dd4ae2b6ed3c7e922ae37d93472d096b9a177e3b1b33a5861b934");
}

TEST_CASE("keys need enough random bytes and a valid name")
{
    const auto enough = std::string(16, 'x');
    const auto fails = [&](const char *id, const TeamKeyRandom &random) {
        return valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(createTeamKey(TeamKeyId(id), TeamId("north"), random));
                return false;
            },
            [](const Error &error) { return error.code == ErrorCode::InvalidValue; });
    };
    CHECK(fails("k", {.salt = std::string(15, 'x'), .secret = enough}));
    CHECK(fails("k", {.salt = enough, .secret = std::string(15, 'x')}));
    CHECK(fails("k/", {.salt = enough, .secret = enough}));
    CHECK_FALSE(fails("k", {.salt = enough, .secret = enough}));
}
