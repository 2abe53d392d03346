#pragma once

#include "standins/fleet.h"
#include "standins/history_checker.h"
#include "standins/load_thread.h"

#include <memory>
#include <string>
#include <vector>

/// @file
/// Fixture that runs a fleet under load in an integration test.

/// A running fleet of the preset "lavalleja" and its directory.
struct RunningFleet
{
    /// Starts a fleet and waits until it is ready; a failure aborts the test.
    explicit RunningFleet(std::size_t vms);

    /// Starts sending 100 requests per second to the given VMs.
    [[nodiscard]] auto load(std::vector<figlanding::SocketAddress> targets, int lengthSeconds) const
        -> std::unique_ptr<figlanding::standins::LoadThread>;
    /// Waits for the end of the load and checks the histories; every violation fails the test.
    auto check(figlanding::standins::LoadThread &load) const -> void;

    figlanding::standins::TemporaryDirectory directory;
    figlanding::LoadProfile profile;
    std::unique_ptr<figlanding::standins::Fleet> fleet;
};

/// Returns the number of responses with an HTTP status; status 0 stands for no response.
[[nodiscard]] auto countStatus(const figlanding::standins::LoadThread &load, int status)
    -> std::uint64_t;
/// Returns the number of requests whose status is neither 200 nor 429.
[[nodiscard]] auto countFailed(const figlanding::standins::LoadThread &load) -> std::uint64_t;
/// Returns one line per request with a status other than 200, for failure messages.
[[nodiscard]] auto describeFailures(const figlanding::standins::LoadThread &load) -> std::string;
/// Returns all addresses except the one at @p index.
[[nodiscard]] auto allExcept(std::vector<figlanding::SocketAddress> addresses, std::size_t index)
    -> std::vector<figlanding::SocketAddress>;
/// Returns the index of the VM that is the current controller (leader).
[[nodiscard]] auto controllerIndex(figlanding::standins::Fleet &fleet) -> std::size_t;
