#include "crowded_vm.h"

#include "standins/platform_server.h"
#include "standins/platform_store.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <sstream>
#include <utility>

namespace figlanding::testing {

namespace {

constexpr milliseconds startLimit{20'000};
constexpr milliseconds serveLimit{90'000};
constexpr milliseconds callTimeout{8000};
constexpr milliseconds announceInterval{300};
constexpr milliseconds retryInterval{100};
constexpr int sendLimitMs = 5000;

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"book","Hostname":"x.example","PathPrefix":"/book/","RouteType":"unsafe",
  "Timeout":"8000ms","TargetLatency":"500ms","Service":"ledger","Attempts":1},
 {"Name":"read","Hostname":"x.example","PathPrefix":"/read/","RouteType":"safe",
  "Timeout":"8000ms","TargetLatency":"500ms","Service":"ledger","Attempts":2}],
 "Services":[{"Name":"ledger"}],
 "Tenants":[{"Name":"band","ApiKeys":["key"],"RatePerS":10000,"Burst":10000}]})";

auto succeeds(const std::function<Result<void>()> &attempt) -> bool
{
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [](const Error &error) {
            MESSAGE(error.detail);
            return false;
        });
}

/// Returns a number of kB from /proc/PID/status; 0 if the process has ended.
auto statusField(pid_t pid, const std::string &name) -> std::size_t
{
    auto lines = std::istringstream(standins::readFile("/proc/" + std::to_string(pid) + "/status"));
    auto line = std::string{};
    while (std::getline(lines, line)) {
        if (line.rfind(name + ":", 0) == 0) {
            return std::stoul(line.substr(name.size() + 1));
        }
    }
    return 0;
}

/// Returns the bytes that wait in the connections to a local port.
auto unreadBytes(std::uint16_t port) -> std::size_t
{
    // Fields: index, local address, remote address, state, send queue ":" receive queue, all
    // numbers in hexadecimal.
    constexpr auto hexadecimal = 16;
    auto lines = std::istringstream(standins::readFile("/proc/net/tcp"));
    auto line = std::string{};
    std::getline(lines, line);
    auto sum = std::size_t{0};
    while (std::getline(lines, line)) {
        auto fields = std::istringstream(line);
        auto index = std::string{};
        auto local = std::string{};
        auto remote = std::string{};
        auto state = std::string{};
        auto queues = std::string{};
        fields >> index >> local >> remote >> state >> queues;
        if (std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal) == port) {
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return sum;
}

auto openDescriptors(pid_t pid) -> std::size_t
{
    auto error = std::error_code{};
    const auto directory = std::filesystem::path("/proc") / std::to_string(pid) / "fd";
    auto count = std::size_t{0};
    for (auto entry = std::filesystem::directory_iterator(directory, error);
         !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        ++count;
    }
    return count;
}

} // namespace

CrowdedVm::CrowdedVm(CrowdedVmLimits limits)
    : m_limits(limits)
    , m_callers{"127.0.0.1", standins::freePort()}
    , m_readiness{"127.0.0.1", standins::freePort()}
    , m_admin{"127.0.0.1", standins::freePort()}
    , m_standIns([this] { runStandIns(); })
{
    REQUIRE(standins::waitUntil([this] { return m_storePort != 0; }, startLimit));
    startProcess();
    REQUIRE(answersAnOrdinaryCaller());
}

CrowdedVm::~CrowdedVm()
{
    m_process.reset();
    m_stopping = true;
    m_standIns.join();
}

auto CrowdedVm::runStandIns() -> void
{
    constexpr auto maxBodyBytes = std::size_t{64} * 1024 * 1024;
    EventLoop loop;
    standins::PlatformStore store(loop);
    standins::PlatformServer server(loop,
                                    {.id = "ledger-1",
                                     .slots = m_limits.serverSlots,
                                     .maxBodyBytes = maxBodyBytes,
                                     .largeResponseBytes = largeResponseBytes});
    if (!succeeds([&] { return store.start(); }) || !succeeds([&] { return server.start(); })) {
        return;
    }
    store.put("keyed.op", "config", configuration);
    auto sequence = 0;
    const auto announce = [&] {
        store.put("keyed.servers", "ledger-1", server.entry("ledger", "a", ++sequence));
    };
    announce();
    Timer announceTimer(loop, announce);
    announceTimer.startRepeating(announceInterval);
    Timer stopTimer(loop, [&] {
        if (m_stopping) {
            loop.stop();
        }
    });
    stopTimer.startRepeating(milliseconds(5));
    m_storePort = store.address().port;
    loop.run();
}

auto CrowdedVm::startProcess() -> void
{
    const auto address = [] { return "127.0.0.1:" + std::to_string(standins::freePort()); };
    auto settings = std::ostringstream{};
    settings << R"({"vm": "vm-0", "zone": "a", "listen": {"callers": ")" << toText(m_callers)
             << R"(", "readiness": ")" << toText(m_readiness) << R"(", "admin": ")"
             << toText(m_admin) << R"(", "fleet": ")" << address() << R"("}, "store": "127.0.0.1:)"
             << m_storePort << R"(", "limits": {"memory_mb": )" << m_limits.memoryMb
             << R"(, "descriptors": )" << m_limits.descriptors << "}}";
    const auto file = m_directory.path() + "/settings.json";
    REQUIRE(succeeds([&] { return standins::writeFile(file, settings.str()); }));
    REQUIRE(succeeds([&]() -> Result<void> {
        BOOST_LEAF_AUTO(
            process,
            standins::Process::start({.name = "vm-0",
                                      .program = standins::programPath("figlandingd-platform"),
                                      .arguments = {"--config", file},
                                      .directory = m_directory.path()}));
        m_process = std::make_unique<standins::Process>(std::move(process));
        return {};
    }));
}

auto CrowdedVm::send(const std::string &method, const std::string &target, std::string body)
    -> HttpOutcome
{
    return callAndWait(m_callers,
                       {.method = method,
                        .target = target,
                        .headers = {{"host", "x.example"},
                                    {"x-request-id", "ordinary-" + std::to_string(m_number++)},
                                    {"x-credential", "key"},
                                    {"x-deadline-ms", "8000"}},
                        .body = std::move(body)},
                       {.timeout = callTimeout, .connectTimeout = callTimeout});
}

auto CrowdedVm::answersAnOrdinaryCaller() -> bool
{
    const auto end = MonotonicClock::now() + serveLimit;
    while (MonotonicClock::now() < end && m_process->running()) {
        const auto outcome = send("GET", "/read/1");
        if (outcome.verdict == Verdict::Ran && outcome.response.status == 200) {
            return outcome.response.body == "done ledger-1";
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

auto CrowdedVm::answersAt(std::uint16_t port, const std::string &target) -> bool
{
    const auto end = MonotonicClock::now() + serveLimit;
    while (MonotonicClock::now() < end && m_process->running()) {
        const auto outcome =
            callAndWait({m_callers.ip, port}, {.method = "GET", .target = target, .headers = {}},
                        {.timeout = callTimeout, .connectTimeout = callTimeout});
        if (outcome.verdict == Verdict::Ran && outcome.response.status == 200) {
            return true;
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

auto CrowdedVm::awaitReading() -> void
{
    constexpr milliseconds limit{20'000};
    static_cast<void>(standins::waitUntil(
        [this] { return unreadBytes(m_callers.port) == 0 || !m_process->running(); }, limit));
}

auto CrowdedVm::checkLimits() -> void
{
    constexpr auto kbPerMb = std::size_t{1024};
    REQUIRE(m_process->running());
    const auto peakKb = statusField(m_process->pid(), "VmHWM");
    CHECK(peakKb > 0);
    CHECK(peakKb <= m_limits.memoryMb * kbPerMb);
    CHECK(openDescriptors(m_process->pid()) <= m_limits.descriptors);
}

auto CrowdedVm::header(const std::string &method, const std::string &target) -> std::string
{
    return method + " " + target
        + " HTTP/1.1\r\nhost: x.example\r\nx-credential: key\r\nx-deadline-ms: 8000\r\n"
          "x-request-id: crowd-"
        + std::to_string(m_number++) + "\r\n";
}

CrowdCaller::CrowdCaller(std::uint16_t port, int receiveBufferBytes)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    if (receiveBufferBytes > 0) {
        ::setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                     sizeof receiveBufferBytes);
    }
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto status =
        ::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address);
    m_cutOff = status != 0 && errno != EINPROGRESS;
}

auto CrowdCaller::send(std::string_view bytes) -> void
{
    while (!bytes.empty() && !m_cutOff) {
        const auto count = ::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        auto waiting = pollfd{.fd = m_socket.get(), .events = POLLOUT, .revents = 0};
        m_cutOff = (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN)
            || ::poll(&waiting, 1, sendLimitMs) <= 0;
    }
}

auto CrowdCaller::read(std::size_t bytes) -> bool
{
    auto buffer = std::string(bytes, '\0');
    const auto count = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

auto sendInTurns(const std::vector<std::unique_ptr<CrowdCaller>> &callers, std::string_view text,
                 std::size_t pieceBytes) -> void
{
    for (std::size_t begin = 0; begin < text.size(); begin += pieceBytes) {
        for (const auto &caller : callers) {
            caller->send(text.substr(begin, pieceBytes));
        }
    }
}

} // namespace figlanding::testing
