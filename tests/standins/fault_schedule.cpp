#include "standins/soak.h"
#include "standins/standin_program.h"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <ostream>
#include <thread>

namespace figlanding::standins {

namespace {

constexpr milliseconds minFaultDuration{500};
constexpr milliseconds maxFaultDuration{3000};
constexpr milliseconds roundInterval{1500};
constexpr milliseconds coldTime{1000};

/// Component of the fleet that a fault applies to.
enum class Component { Log, Vm, Server };

struct FaultKind
{
    const char *name;
    Component component;
};

constexpr auto faultKinds = std::to_array<FaultKind>({
    {"log-down", Component::Log},
    {"log-slow", Component::Log},
    {"log-loses-answers", Component::Log},
    {"vm-paused", Component::Vm},
    {"vm-killed", Component::Vm},
    {"vm-left", Component::Vm},
    {"vm-cut-from-log", Component::Vm},
    {"server-paused", Component::Server},
    {"server-killed", Component::Server},
    {"server-cold", Component::Server},
    {"server-straggles", Component::Server},
    {"server-connections-silent", Component::Server},
    {"server-drops-answers", Component::Server},
    {"server-cuts-answers", Component::Server},
    {"server-partitioned", Component::Server},
});

auto componentOf(const std::string &name) -> Component
{
    for (const auto &kind : faultKinds) {
        if (name == kind.name) {
            return kind.component;
        }
    }
    return Component::Log;
}

} // namespace

FaultSchedule::FaultSchedule(Fleet &fleet, std::uint64_t seed, std::ostream &log)
    : m_fleet(fleet)
    , m_random(seed)
    , m_log(log)
{ }

auto FaultSchedule::randomBelow(std::size_t bound) -> std::size_t
{
    return m_random() % bound;
}

auto FaultSchedule::randomFault() -> Fault
{
    const auto &kind = faultKinds.at(randomBelow(faultKinds.size()));
    const auto bound = kind.component == Component::Vm ? m_fleet.vmCount()
        : kind.component == Component::Server          ? m_fleet.serverCount()
                                                       : 1;
    return {.name = kind.name, .index = randomBelow(bound)};
}

auto FaultSchedule::runRound() -> Result<void>
{
    const auto first = randomFault();
    auto second = randomFault();
    while (componentOf(second.name) == componentOf(first.name) && second.index == first.index) {
        second = randomFault();
    }
    inject(first);
    inject(second);
    const auto range = static_cast<std::size_t>((maxFaultDuration - minFaultDuration).count());
    std::this_thread::sleep_for(minFaultDuration + milliseconds(randomBelow(range)));
    BOOST_LEAF_CHECK(clear(first));
    BOOST_LEAF_CHECK(clear(second));
    std::this_thread::sleep_for(roundInterval);
    return {};
}

auto FaultSchedule::inject(const Fault &fault) -> void
{
    ++m_counts[fault.name];
    m_log << monotonicNs() << " begin " << fault.name << " " << fault.index << std::endl;
    if (fault.name == "log-down") {
        m_fleet.setLogFaults({{"down", true}});
    } else if (fault.name == "log-slow") {
        m_fleet.setLogFaults({{"slow_ms", 200}});
    } else if (fault.name == "log-loses-answers") {
        m_fleet.setLogFaults({{"lose_answers", 5}});
    } else if (fault.name == "vm-paused") {
        m_fleet.vm(fault.index).pause();
    } else if (fault.name == "vm-killed") {
        m_fleet.vm(fault.index).kill();
    } else if (fault.name == "vm-left") {
        m_fleet.vm(fault.index).signal(SIGTERM);
    } else if (fault.name == "vm-cut-from-log") {
        m_fleet.setLogLinkFaults(fault.index, {{"partition", true}});
    } else {
        injectOnServer(fault);
    }
}

auto FaultSchedule::injectOnServer(const Fault &fault) -> void
{
    if (fault.name == "server-paused") {
        m_fleet.server(fault.index).pause();
    } else if (fault.name == "server-killed") {
        m_fleet.server(fault.index).kill();
    } else if (fault.name == "server-cold") {
        m_fleet.setServerFaults(fault.index, {{"cold_ms", coldTime.count()}});
    } else if (fault.name == "server-straggles") {
        m_fleet.setServerFaults(fault.index, {{"straggler", 10.0}});
    } else if (fault.name == "server-drops-answers") {
        m_fleet.setServerFaults(fault.index, {{"drop_answers", 5}});
    } else if (fault.name == "server-connections-silent") {
        m_fleet.setServerLinkFaults(fault.index, {{"freeze", true}});
    } else if (fault.name == "server-cuts-answers") {
        m_fleet.setServerLinkFaults(fault.index, {{"cut_after_bytes", 200}});
    } else if (fault.name == "server-partitioned") {
        m_fleet.setServerLinkFaults(fault.index, {{"partition", true}});
    }
}

auto FaultSchedule::clear(const Fault &fault) -> Result<void>
{
    m_log << monotonicNs() << " end " << fault.name << " " << fault.index << std::endl;
    const auto none = nlohmann::json::object();
    switch (componentOf(fault.name)) {
    case Component::Log:
        m_fleet.setLogFaults(none);
        return {};
    case Component::Vm:
        m_fleet.vm(fault.index).resume();
        m_fleet.setLogLinkFaults(fault.index, none);
        if (fault.name == "vm-killed" || fault.name == "vm-left") {
            m_fleet.vm(fault.index).kill(); // a VM that is still shutting down is killed first
            return m_fleet.restartVm(fault.index);
        }
        return {};
    case Component::Server:
        m_fleet.server(fault.index).resume();
        m_fleet.setServerLinkFaults(fault.index, none);
        if (fault.name == "server-killed") {
            return m_fleet.restartServer(fault.index, coldTime);
        }
        m_fleet.setServerFaults(fault.index, none);
        return {};
    }
    return {};
}

} // namespace figlanding::standins
