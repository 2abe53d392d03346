#include "standins/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace figlanding::standins {

namespace {

constexpr milliseconds pollInterval{5};
constexpr milliseconds killLimit{5000};
constexpr int outputMode = 0644;

auto outputPath(const ProcessOptions &options, const char *suffix) -> std::string
{
    return options.directory + "/" + options.name + suffix;
}

/// File actions for posix_spawn that redirect standard output and standard error to files.
class OutputActions
{
public:
    explicit OutputActions(const ProcessOptions &options)
    {
        constexpr auto flags = O_WRONLY | O_CREAT | O_APPEND;
        ::posix_spawn_file_actions_init(&m_actions);
        ::posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO,
                                           outputPath(options, ".out").c_str(), flags, outputMode);
        ::posix_spawn_file_actions_addopen(&m_actions, STDERR_FILENO,
                                           outputPath(options, ".err").c_str(), flags, outputMode);
    }
    OutputActions(const OutputActions &) = delete;
    auto operator=(const OutputActions &) -> OutputActions & = delete;
    ~OutputActions()
    {
        ::posix_spawn_file_actions_destroy(&m_actions);
    }
    [[nodiscard]] auto get() const -> const posix_spawn_file_actions_t *
    {
        return &m_actions;
    }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

auto Process::start(ProcessOptions options) -> Result<Process>
{
    auto arguments = std::vector<char *>{options.program.data()};
    for (auto &argument : options.arguments) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    std::filesystem::remove(outputPath(options, ".out"));
    const auto actions = OutputActions(options);
    auto pid = pid_t{-1};
    const auto status = ::posix_spawn(&pid, options.program.c_str(), actions.get(), nullptr,
                                      arguments.data(), environ);
    if (status != 0) {
        return fail(ErrorCode::IoFailure, "cannot start \"" + options.program + "\"");
    }
    return Process(std::move(options), pid);
}

Process::Process(ProcessOptions options, pid_t pid)
    : m_options(std::move(options))
    , m_pid(pid)
{ }

Process::Process(Process &&other) noexcept
    : m_options(std::move(other.m_options))
    , m_pid(std::exchange(other.m_pid, -1))
    , m_exitCode(other.m_exitCode)
{ }

auto Process::operator=(Process &&other) noexcept -> Process &
{
    std::swap(m_options, other.m_options);
    std::swap(m_pid, other.m_pid);
    std::swap(m_exitCode, other.m_exitCode);
    return *this;
}

Process::~Process()
{
    kill();
}

auto Process::signal(int number) -> void
{
    if (running()) {
        ::kill(m_pid, number);
    }
}

auto Process::pause() -> void
{
    signal(SIGSTOP);
}

auto Process::resume() -> void
{
    signal(SIGCONT);
}

auto Process::kill() -> void
{
    signal(SIGKILL);
    static_cast<void>(waitUntil([this] { return !running(); }, killLimit));
}

auto Process::terminate(milliseconds limit) -> Result<int>
{
    signal(SIGTERM);
    if (!waitUntil([this] { return !running(); }, limit)) {
        return fail(ErrorCode::Timeout,
                    m_options.name + " did not exit within the time limit after SIGTERM");
    }
    return m_exitCode;
}

auto Process::running() -> bool
{
    if (m_pid < 0) {
        return false;
    }
    auto status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == 0) {
        return true;
    }
    constexpr auto signalBase = 128;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    m_pid = -1;
    return false;
}

auto Process::waitForLine(const std::string &name, milliseconds limit) -> Result<std::string>
{
    auto value = std::string{};
    const auto found = waitUntil(
        [&] {
            auto lines = std::istringstream(output());
            auto line = std::string{};
            while (std::getline(lines, line)) {
                if (!lines.eof() && line.rfind(name + " ", 0) == 0) {
                    value = line.substr(name.size() + 1);
                    return true;
                }
            }
            return !running();
        },
        limit);
    if (!found || value.empty()) {
        return fail(ErrorCode::Timeout,
                    m_options.name + " printed no line \"" + name + " VALUE\"; output: " + output()
                        + errors());
    }
    return value;
}

auto Process::output() const -> std::string
{
    return readFile(outputPath(m_options, ".out"));
}

auto Process::errors() const -> std::string
{
    return readFile(outputPath(m_options, ".err"));
}

auto waitUntil(const std::function<bool()> &condition, milliseconds limit) -> bool
{
    const auto until = MonotonicClock::now() + limit;
    while (!condition()) {
        if (MonotonicClock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

auto readFile(const std::string &path) -> std::string
{
    auto content = std::ostringstream{};
    content << std::ifstream(path).rdbuf();
    return content.str();
}

auto writeFile(const std::string &path, const std::string &content) -> Result<void>
{
    auto file = std::ofstream(path);
    file << content;
    file.close();
    if (!file) {
        return fail(ErrorCode::IoFailure, "cannot write \"" + path + "\"");
    }
    return {};
}

auto freePort() -> std::uint16_t
{
    // Ports below the ephemeral range, so that no outgoing connection takes one between this check
    // and its use.
    constexpr std::uint16_t first = 12000;
    constexpr std::uint16_t last = 32000;
    static auto next = static_cast<std::uint16_t>(first + (::getpid() * 97) % (last - first));
    while (true) {
        next = next >= last ? first : static_cast<std::uint16_t>(next + 1);
        const auto isFree = valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(listenOn({"127.0.0.1", next}));
                return true;
            },
            [](const Error &) { return false; });
        if (isFree) {
            return next;
        }
    }
}

auto programPath(const std::string &name) -> std::string
{
    const auto *const directory = std::getenv("FIGLANDING_BIN_DIR");
    if (directory != nullptr) {
        return std::string(directory) + "/" + name;
    }
    const auto executableDirectory = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    const auto sibling = executableDirectory / name;
    return std::filesystem::exists(sibling)
        ? sibling.string()
        : (executableDirectory.parent_path() / "bin" / name).string();
}

TemporaryDirectory::TemporaryDirectory()
{
    auto name = (std::filesystem::temp_directory_path() / "figlanding-XXXXXX").string();
    const auto *const created = ::mkdtemp(name.data());
    m_path = created != nullptr ? created : "";
}

TemporaryDirectory::~TemporaryDirectory()
{
    auto ignored = std::error_code{};
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace figlanding::standins
