#pragma once

#include "figlanding/clock.h"
#include "figlanding/error.h"
#include "io/socket.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

/// @file
/// Child processes and files of contract and integration tests.

namespace figlanding::standins {

/// Command line and output files of a process.
struct ProcessOptions
{
    std::string name; ///< base name of the output files
    std::string program; ///< path of the executable
    std::vector<std::string> arguments;
    std::string directory; ///< receives the output files NAME.out and NAME.err
};

/// A child process, killed on destruction.
class Process
{
public:
    /// Starts a process.
    /// @return IoFailure if it can't be started
    [[nodiscard]] static auto start(ProcessOptions options) -> Result<Process>;
    Process(Process &&other) noexcept;
    auto operator=(Process &&other) noexcept -> Process &;
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;
    ~Process();

    [[nodiscard]] auto pid() const -> pid_t
    {
        return m_pid;
    }
    /// Sends a signal, if the process has not ended.
    auto signal(int number) -> void;
    /// Suspends the process with SIGSTOP until resume().
    auto pause() -> void;
    auto resume() -> void;
    /// Sends SIGKILL and waits until the process has ended.
    auto kill() -> void;
    /// Sends SIGTERM and waits until the process has ended.
    /// @return the exit code (128 + signal number if a signal ended it), or Timeout
    [[nodiscard]] auto terminate(milliseconds limit) -> Result<int>;
    /// Returns whether the process has not ended; a suspended process counts as running.
    [[nodiscard]] auto running() -> bool;
    /// Waits for a line "NAME VALUE" on standard output.
    /// @return the value, or Timeout with the output if the limit passes or the process ends
    [[nodiscard]] auto waitForLine(const std::string &name, milliseconds limit)
        -> Result<std::string>;
    /// Returns the standard output so far.
    [[nodiscard]] auto output() const -> std::string;
    /// Returns the standard error output so far.
    [[nodiscard]] auto errors() const -> std::string;

private:
    Process(ProcessOptions options, pid_t pid);

    ProcessOptions m_options;
    pid_t m_pid = -1;
    int m_exitCode = -1;
};

/// Waits until @p condition holds, polling every 5 ms.
/// @return false if it didn't hold within the limit
[[nodiscard]] auto waitUntil(const std::function<bool()> &condition, milliseconds limit) -> bool;
/// Returns the content of a file, or an empty string if it can't be read.
[[nodiscard]] auto readFile(const std::string &path) -> std::string;
/// Replaces the content of a file.
/// @return IoFailure if it can't be written
[[nodiscard]] auto writeFile(const std::string &path, const std::string &content) -> Result<void>;
/// Returns a loopback port that was free when it was checked. It lies below the ephemeral range,
/// so the system doesn't assign it to outgoing connections.
[[nodiscard]] auto freePort() -> std::uint16_t;
/// Returns the path of a program: in the directory named by the environment variable
/// FIGLANDING_BIN_DIR if that is set, else beside the current executable, else in the directory
/// "bin" beside the directory of the current executable.
[[nodiscard]] auto programPath(const std::string &name) -> std::string;

/// A directory that is removed with its content on destruction.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    auto operator=(const TemporaryDirectory &) -> TemporaryDirectory & = delete;

    [[nodiscard]] auto path() const -> const std::string &
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace figlanding::standins
