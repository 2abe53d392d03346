#pragma once

#include "io/http_client.h"
#include "standins/process.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <thread>
#include <vector>

/// @file
/// Fixture that runs a stand-in program in a contract test.

/// Runs one stand-in program on a free port and sends requests to it.
class StandinProcess
{
public:
    /// Starts the program and waits until it listens; a failure aborts the test.
    /// @param program name of the program
    /// @param arguments command line without the port
    StandinProcess(const std::string &program, const std::vector<std::string> &arguments);

    /// Sends a request and waits for its outcome, at most 500 ms.
    auto call(const figlanding::HttpRequest &request) -> figlanding::HttpOutcome;
    auto get(const std::string &target) -> figlanding::HttpOutcome;
    auto post(const std::string &target, const nlohmann::json &body) -> figlanding::HttpOutcome;
    auto postText(const std::string &target, const std::string &body) -> figlanding::HttpOutcome;
    /// Returns the JSON body of a GET request; a request without a response aborts the test.
    auto json(const std::string &target) -> nlohmann::json;
    /// Replaces the faults in force; a failure aborts the test.
    auto setFaults(const nlohmann::json &faults) -> void;
    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }
    [[nodiscard]] auto process() -> figlanding::standins::Process &
    {
        return *m_process;
    }
    [[nodiscard]] auto directory() const -> const std::string &
    {
        return m_directory.path();
    }
    /// Returns the port that the program printed on the line "NAME PORT".
    auto printedPort(const std::string &name) -> std::uint16_t;

private:
    figlanding::standins::TemporaryDirectory m_directory;
    std::unique_ptr<figlanding::standins::Process> m_process;
    std::uint16_t m_port = 0;
};
