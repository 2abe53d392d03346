#include "figlanding/held_bytes.h"
#include "figlanding/process_budget.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace figlanding;

namespace {

constexpr auto options =
    HeldBytesOptions{.limit = 1000, .reservedForSmall = 200, .largestSmall = 50};

} // namespace

// Guards the small requests of ordinary callers beside a crowd of large bodies.
TEST_CASE("large items leave the part for small ones free, and small items fill it")
{
    auto account = HeldBytes(options);
    CHECK(account.charge(HeldKind::RequestBody, 0, 800));
    CHECK_FALSE(account.charge(HeldKind::RequestBody, 0, 51));
    CHECK_FALSE(account.charge(HeldKind::RequestBody, 40, 20));
    for (auto i = 0; i < 4; ++i) {
        CHECK(account.charge(HeldKind::RequestBody, 0, 50));
    }
    CHECK_FALSE(account.charge(HeldKind::RequestHeader, 0, 1));
    CHECK(account.used() == 1000);
    CHECK(account.refusals(HeldKind::RequestBody) == 2);
    CHECK(account.refusals(HeldKind::RequestHeader) == 1);
}

TEST_CASE("a share grows as far as the account allows and releases all when it ends")
{
    auto account = HeldBytes(options);
    {
        auto share = HeldShare(&account, HeldKind::RequestBody);
        CHECK(share.growTo(500));
        CHECK(share.growTo(400));
        CHECK_FALSE(share.growTo(801));
        CHECK(share.size() == 500);
        auto other = std::move(share);
        CHECK(account.used(HeldKind::RequestBody) == 500);
    }
    CHECK(account.used() == 0);
    CHECK(HeldShare().growTo(SIZE_MAX));
}

// Guards against sizes near the largest number, which a caller may state as a length.
TEST_CASE("a size that no account can hold is refused")
{
    auto account = HeldBytes(options);
    REQUIRE(account.charge(HeldKind::Connection, 0, 10));
    CHECK_FALSE(account.charge(HeldKind::RequestBody, 0, SIZE_MAX));
    CHECK_FALSE(account.charge(HeldKind::RequestBody, 10, SIZE_MAX));
    CHECK(account.used() == 10);
}

TEST_CASE("shares that grow, move and end in any order never exceed the limit and release all")
{
    for (auto seed = 0U; seed < 200; ++seed) {
        CAPTURE(seed);
        auto random = std::mt19937(seed);
        const auto below = [&](std::size_t bound) { return random() % bound; };
        auto account = HeldBytes(options);
        auto shares = std::vector<HeldShare>{};
        for (auto step = 0; step < 300; ++step) {
            if (shares.empty() || below(3) == 0) {
                shares.emplace_back(&account, static_cast<HeldKind>(below(heldKinds)));
            }
            auto &share = shares.at(below(shares.size()));
            const auto before = account.used();
            if (below(4) == 0) {
                share = HeldShare();
            } else if (!share.growTo(below(400))) {
                CHECK(account.used() == before);
            }
            auto sum = std::size_t{0};
            for (std::size_t kind = 0; kind < heldKinds; ++kind) {
                sum += account.used(static_cast<HeldKind>(kind));
            }
            CHECK(account.used() == sum);
            CHECK(account.used() <= options.limit);
        }
        shares.clear();
        CHECK(account.used() == 0);
    }
}

// Answers VMs of 120 MB, on which a body of the largest allowed size must find room in calm.
TEST_CASE("the smallest VMs hold the largest body and share their descriptors")
{
    constexpr auto largestBody = std::size_t{64} * 1024 * 1024;
    const auto budget = divide({.memoryBytes = 120'000'000, .descriptors = 3075});
    auto account = HeldBytes(budget.heldBytes);
    CHECK(account.charge(HeldKind::RequestBody, 0, largestBody));
    CHECK(account.used() < 120'000'000);
    CHECK(budget.callerConnections + budget.serverConnections + 200 <= 3075);
    CHECK(budget.callerConnections > 2000);
    CHECK(2 * budget.operatorConnections <= 200 / 2);
    CHECK(divide({.memoryBytes = SIZE_MAX, .descriptors = SIZE_MAX}).callerConnections
          == maxCallerConnections);
    CHECK(divide({.memoryBytes = 0, .descriptors = 1}).callerConnections == 1);
}
