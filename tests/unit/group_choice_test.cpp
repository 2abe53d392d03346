#include "figlanding/gateway/group_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <numeric>
#include <string>

using namespace figlanding;

namespace {

const auto start = TimePoint{} + seconds(100);
constexpr auto step = milliseconds(5);
constexpr auto serviceTime = milliseconds(160);
constexpr auto patience = milliseconds(1500); ///< a request that has to wait longer is refused

auto groupNames(std::size_t count) -> std::vector<ServiceId>
{
    auto result = std::vector<ServiceId>{};
    for (std::size_t i = 0; i < count; ++i) {
        result.emplace_back("recipes#" + std::to_string(i));
    }
    return result;
}

const auto groups = groupNames(6);
const auto busy = GroupRoom{.freeSlots = 0, .waiting = 60, .requestsPerSecond = 300.0};
const auto idle = GroupRoom{.freeSlots = 40, .waiting = 0, .requestsPerSecond = 300.0};

using Policy =
    std::function<ServiceId(const GroupChoice &choice, TimePoint now, RandomEngine &random)>;

const auto balanced = Policy(
    [](const auto &choice, auto now, auto &random) { return choice.choose(groups, now, random); });
const auto byChance =
    Policy([](const auto &, auto, auto &random) { return groups[random() % groups.size()]; });
const auto bestKnown = Policy([](const auto &choice, auto, auto &random) {
    auto best = groups[random() % groups.size()];
    auto bestWait = 1e9;
    for (const auto &[group, report] : choice.reports()) {
        const auto &room = report.room;
        const auto wait = (static_cast<double>(room.waiting) + report.sentSince - room.freeSlots)
            / room.requestsPerSecond;
        best = wait < bestWait ? group : best;
        bestWait = std::min(wait, bestWait);
    }
    return best;
});

// VMs that send requests to the groups of one service, each of which serves in order of arrival.
struct Fleet
{
    struct Waiting
    {
        std::size_t vm;
        TimePoint arrivedAt;
        int moves = 0;
    };
    struct Group
    {
        std::size_t slots;
        std::vector<TimePoint> ends; ///< of the running requests
        std::deque<Waiting> queue;
    };
    struct Outcome
    {
        double meanWaitMs = 0.0;
        double busiestToMean = 0.0; ///< longest mean wait of a group's requests, to that of all
        std::size_t refused = 0;
    };

    std::vector<Group> groupList;
    std::vector<GroupChoice> vms;
    RandomEngine random{7};
    bool moves = false;
    milliseconds heartbeats{800};
    std::vector<double> waitedMs = std::vector<double>(groups.size(), 0.0);
    std::vector<std::size_t> served = std::vector<std::size_t>(groups.size(), 0);
    std::size_t refused = 0;

    [[nodiscard]] auto room(std::size_t g) const -> GroupRoom
    {
        const auto &group = groupList[g];
        return {.freeSlots = static_cast<std::uint32_t>(group.slots - group.ends.size()),
                .waiting = static_cast<std::uint32_t>(group.queue.size()),
                .requestsPerSecond = static_cast<double>(group.slots) * 1000.0
                    / static_cast<double>(serviceTime.count())};
    }
    auto send(Waiting request, const ServiceId &name, TimePoint now) -> void
    {
        const auto g = static_cast<std::size_t>(
            std::distance(groups.begin(), std::find(groups.begin(), groups.end(), name)));
        auto &group = groupList[g];
        auto &choice = vms[request.vm];
        run(g, now);
        const auto place = std::find_if(group.queue.begin(), group.queue.end(), [&](auto &other) {
            return other.arrivedAt > request.arrivedAt;
        });
        const auto queued = group.queue.insert(place, request);
        const auto position = std::distance(group.queue.begin(), queued);
        run(g, now);
        choice.onRoom(name, room(g), now);
        if (group.queue.empty()) {
            return;
        }
        const auto other = moves && request.moves < 2
            ? choice.chooseForWaiting(name, groups, now, random)
            : std::nullopt;
        if (other) {
            group.queue.erase(group.queue.begin() + position);
            send({request.vm, request.arrivedAt, request.moves + 1}, *other, now);
        }
    }
    auto run(std::size_t g, TimePoint now) -> void
    {
        auto &group = groupList[g];
        std::erase_if(group.ends, [&](auto end) { return end <= now; });
        while (!group.queue.empty() && group.ends.size() < group.slots) {
            const auto wait = now - group.queue.front().arrivedAt;
            group.queue.pop_front();
            if (wait > patience) {
                ++refused;
                continue;
            }
            waitedMs[g] += std::chrono::duration<double, std::milli>(wait).count();
            served[g] += 1;
            auto time = std::exponential_distribution<double>(1.0 / serviceTime.count());
            group.ends.push_back(now + milliseconds(1 + std::lround(time(random))));
        }
    }
    // Plays ten seconds in which requests arrive for @p load of the slots.
    auto play(const Policy &policy, double load) -> Outcome
    {
        const auto slots = std::accumulate(
            groupList.begin(), groupList.end(), 0.0,
            [](auto sum, const auto &group) { return sum + static_cast<double>(group.slots); });
        auto arrivals =
            std::poisson_distribution<int>(load * slots * step.count() / serviceTime.count());
        for (auto now = start; now < start + seconds(10); now += step) {
            for (std::size_t g = 0; g < groups.size(); ++g) {
                run(g, now);
            }
            for (auto left = arrivals(random); left > 0; --left) {
                const auto vm = random() % vms.size();
                const auto group = policy(vms[vm], now, random);
                vms[vm].onSent(group);
                send({vm, now}, group, now);
            }
            if ((now - start) % heartbeats < step) {
                for (auto &vm : vms) {
                    for (std::size_t g = 0; g < groups.size(); ++g) {
                        vm.onRoom(groups[g], room(g), now);
                    }
                }
            }
        }
        return outcome();
    }
    [[nodiscard]] auto outcome() const -> Outcome
    {
        auto result = Outcome{.refused = refused};
        auto busiest = 0.0;
        for (std::size_t g = 0; g < groups.size(); ++g) {
            busiest = std::max(busiest, waitedMs[g] / static_cast<double>(served[g]));
        }
        result.meanWaitMs = std::accumulate(waitedMs.begin(), waitedMs.end(), 0.0)
            / static_cast<double>(std::accumulate(served.begin(), served.end(), std::size_t{0}));
        result.busiestToMean = busiest / result.meanWaitMs;
        return result;
    }
};

// Groups as uneven as the hash of the servers' names makes them.
auto fleet(std::size_t vms) -> Fleet
{
    return {
        .groupList =
            {{36, {}, {}}, {58, {}, {}}, {44, {}, {}}, {48, {}, {}}, {40, {}, {}}, {52, {}, {}}},
        .vms = std::vector<GroupChoice>(vms, GroupChoice({}))};
}

auto shareOf(const GroupChoice &choice, const ServiceId &group, TimePoint now) -> double
{
    constexpr auto draws = 3000;
    auto random = RandomEngine{3};
    auto count = 0;
    for (auto i = 0; i < draws; ++i) {
        count += choice.choose(groups, now, random) == group ? 1 : 0;
    }
    return static_cast<double>(count) / draws;
}

// A VM that has just heard the same of all groups.
auto knowing(const GroupRoom &room) -> GroupChoice
{
    auto result = GroupChoice({});
    for (const auto &group : groups) {
        result.onRoom(group, room, start);
    }
    return result;
}

} // namespace

TEST_CASE("requests of many VMs spread over uneven groups, by reports of different ages")
{
    for (const auto vms : {1U, 8U, 80U, 300U}) {
        CAPTURE(vms);
        for (const auto load : {0.85, 0.95}) {
            CAPTURE(load);
            const auto chance = fleet(vms).play(byChance, load);
            const auto best = fleet(vms).play(bestKnown, load);
            auto moving = fleet(vms);
            moving.moves = true;
            for (const auto &even :
                 {fleet(vms).play(balanced, load), moving.play(balanced, load)}) {
                CHECK(even.refused == 0);
                CHECK(even.busiestToMean < chance.busiestToMean);
                CHECK(even.meanWaitMs < 0.6 * chance.meanWaitMs);
                CHECK(even.meanWaitMs < best.meanWaitMs);
            }
        }
    }
}

TEST_CASE("a VM alone, or one that hears nothing, chooses each group equally often")
{
    auto choice = GroupChoice({});
    for (const auto &group : groups) {
        CHECK(shareOf(choice, group, start) == doctest::Approx(1.0 / 6).epsilon(0.2));
    }
    auto random = RandomEngine{1};
    CHECK_FALSE(choice.chooseForWaiting(groups[0], groups, start, random));
    CHECK_FALSE(choice.chooseForRefused(groups[0], groups, start, random));
    choice.onRoom(groups[0], busy, start);
    CHECK_FALSE(choice.chooseForWaiting(groups[0], groups, start, random));
}

TEST_CASE("a group that has lost its servers gets no request until it tells of some")
{
    auto choice = knowing(idle);
    choice.onRoom(groups[0], {.waiting = 9}, start);
    CHECK(shareOf(choice, groups[0], start + seconds(2)) == 0.0);
    auto random = RandomEngine{1};
    CHECK(choice.chooseForWaiting(groups[0], groups, start, random));
    CHECK(choice.chooseForRefused(groups[0], groups, start, random));
    choice.onRoom(groups[0], idle, start + seconds(2));
    CHECK(shareOf(choice, groups[0], start + seconds(2)) > 0.1);
}

TEST_CASE("reports of a broker that has been lost are forgotten")
{
    auto choice = knowing(idle);
    choice.onRoom(groups[0], busy, start);
    CHECK(shareOf(choice, groups[0], start) < 0.1);
    const auto later = start + seconds(6);
    CHECK(shareOf(choice, groups[0], later) == doctest::Approx(1.0 / 6).epsilon(0.2));
    choice.expire(later);
    CHECK(choice.reports().empty());
}

TEST_CASE("what a VM has sent to a group since its report counts as waiting there")
{
    auto choice = knowing(idle);
    for (auto i = 0; i < 20; ++i) {
        choice.onSent(groups[0]);
    }
    CHECK(shareOf(choice, groups[0], start) < 0.1);
}

TEST_CASE("only the part of a long queue that exceeds the mean leaves for other groups")
{
    auto choice = knowing({.freeSlots = 0, .waiting = 12, .requestsPerSecond = 300.0});
    choice.onRoom(groups[0], busy, start);
    auto random = RandomEngine{5};
    auto left = 0;
    for (auto i = 0; i < 1000; ++i) {
        left += choice.chooseForWaiting(groups[0], groups, start, random) ? 1 : 0;
    }
    CHECK(left == doctest::Approx(1000 * (1.0 - 20.0 / 60)).epsilon(0.1));
    CHECK_FALSE(choice.chooseForWaiting(groups[1], groups, start, random));
}
