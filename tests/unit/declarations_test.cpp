#include "figlanding/declarations.h"

#include "state_machine_fixture.h"

#include <doctest/doctest.h>

using namespace figlanding;

namespace {

auto parseFailure(const char *text) -> std::string
{
    const auto parsed = settle([&] { return parseDeclarations(text); });
    return parsed ? "parsed" : describe(parsed.error());
}

} // namespace

TEST_CASE("declarations are parsed from JSON with comments")
{
    const auto one = parseDeclarations(R"(
        // the zone near the lifts
        {"kind": "AvailabilityZone", "name": "a"})");
    CHECK(one.value().size() == 1);
    const auto two = parseDeclarations(R"([
        {"kind": "AvailabilityZone", "name": "a"}, /* and */
        {"kind": "Team", "name": "t", "spec": {"rate_per_second": 1, "burst": 2}}])");
    CHECK(two.value().size() == 2);
    CHECK(parseFailure("[{]").find("line 1, column 3") != std::string::npos);
    CHECK(parseFailure(R"([{"kind": "Team", "name": "t"}])")
          == "missing field: element 0: spec.rate_per_second");
    CHECK(parseFailure("7") == "invalid value: element 0: expected an object");
}

TEST_CASE("diffDeclarations creates, replaces and removes objects at the compared versions")
{
    auto log = smallClusterLog();
    auto declared = smallCluster();
    std::get<Team>(declared.at(8)).burst = 7;
    declared.erase(declared.begin() + 7); // the route
    declared.emplace_back(
        AvailabilityZone{.id = AvailabilityZoneId("c"), .state = AdminState::Leaving});
    auto options = DeclarationDiffOptions{.prune = {ObjectKind::Route}};
    const auto diff = diffDeclarations(log.state(), declared, options).value();
    CHECK(diff.lines
          == std::vector<std::string>{"~ Team \"north\": spec.burst 5.0 -> 7.0",
                                      "+ AvailabilityZone \"c\"", "- Route \"rooms\""});
    REQUIRE(diff.changes.size() == 3);
    CHECK(diff.changes[0].expectedVersion == 1);
    CHECK(diff.changes[1].expectedVersion == 0);
    CHECK_FALSE(diff.changes[2].object);
    CHECK(log.append(ConfigChange{.author = "ann", .changes = diff.changes}).accepted);
    CHECK(diffDeclarations(log.state(), declared, options).value() == DeclarationDiff{});
}

TEST_CASE("a diff computed before a concurrent change of the same object is refused")
{
    auto log = smallClusterLog();
    auto declared = smallCluster();
    std::get<Team>(declared.at(8)).burst = 7;
    const auto diff = diffDeclarations(log.state(), declared, {}).value();
    log.set({Team{.id = TeamId("north"), .ratePerSecond = 1, .burst = 1}});
    CHECK_FALSE(log.append(ConfigChange{.author = "ann", .changes = diff.changes}).accepted);
}

TEST_CASE("changed labels are listed, and duplicate declarations are rejected")
{
    auto log = smallClusterLog();
    auto zone = AvailabilityZone{.id = AvailabilityZoneId("a"), .labels = {{"ski", "lift"}}};
    const auto diff = diffDeclarations(log.state(), {zone}, {}).value();
    CHECK(diff.lines.at(0)
          == "~ AvailabilityZone \"a\": labels.side \"north\" -> (none), labels.ski (none) -> "
             "\"lift\"");
    const auto twice = settle([&] { return diffDeclarations(log.state(), {zone, zone}, {}); });
    REQUIRE_FALSE(twice);
    CHECK(twice.error().code == ErrorCode::DuplicateObject);
}
