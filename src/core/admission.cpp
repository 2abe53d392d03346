#include "figlanding/admission.h"

#include <algorithm>
#include <utility>

namespace figlanding {

namespace {

// Time constant of the decaying average of service times.
constexpr auto serviceTimeConstant = seconds(2);
// Minimum number of responses before requests are refused because of their estimated wait.
constexpr auto minSamplesForEstimate = 5;
// Fraction of the mean service time that must remain before the deadline when a request starts.
constexpr auto minServiceTimeFraction = 0.5;

auto scaled(double nanoseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(nanoseconds));
}

} // namespace

ServerAdmission::ServerAdmission(const AdmissionOptions &options)
    : m_options(options)
    , m_ramp(options.slots, options.coldStart)
    , m_queue(options.queue)
    , m_serviceTime(serviceTimeConstant)
{ }

auto ServerAdmission::slotsInUse(TimePoint now) const -> std::uint32_t
{
    const auto held = std::count_if(m_held.begin(), m_held.end(),
                                    [now](const HeldSlot &slot) { return slot.until > now; });
    return static_cast<std::uint32_t>(m_running.size()) + static_cast<std::uint32_t>(held);
}

auto ServerAdmission::slotFree(TimePoint now) const -> bool
{
    return !m_stopped && now >= m_blockedUntil && slotsInUse(now) < m_ramp.limit();
}

auto ServerAdmission::endsInTime(const AdmissionRequest &request, Duration wait,
                                 TimePoint now) const -> bool
{
    const auto minRemaining = m_serviceTime.count() < minSamplesForEstimate
        ? Duration{}
        : scaled(minServiceTimeFraction * m_serviceTime.value());
    return now + wait + minRemaining < request.deadline;
}

auto ServerAdmission::estimatedWait(const TeamId &team, TimePoint now) const
    -> std::optional<Duration>
{
    if (m_serviceTime.count() < minSamplesForEstimate) {
        return std::nullopt;
    }
    const auto blocked = std::max(Duration{}, m_blockedUntil - now);
    if (slotFree(now) && m_queue.size() == 0) {
        return blocked;
    }
    const auto rounds = static_cast<double>(m_queue.itemsAhead(team) + 1);
    const auto parallel = std::max(m_ramp.limit(), 1U);
    return blocked + scaled(rounds * m_serviceTime.value() / parallel);
}

auto ServerAdmission::submit(const AdmissionRequest &request, TimePoint now) -> AdmissionOutcome
{
    const auto wait = estimatedWait(request.team, now).value_or(Duration{});
    if (!endsInTime(request, wait, now)) {
        return AdmissionOutcome::DeadlineTooShort;
    }
    if (m_queue.size() == 0 && slotFree(now)) {
        m_running.emplace(request.id, request);
        return AdmissionOutcome::Started;
    }
    if (m_stopped) {
        return AdmissionOutcome::QueueFull;
    }
    auto pushed = m_queue.push(request.team, request);
    if (pushed.evicted) {
        refuse(std::move(*pushed.evicted), AdmissionOutcome::QueueFull);
    }
    return pushed.accepted ? AdmissionOutcome::Queued : AdmissionOutcome::QueueFull;
}

void ServerAdmission::finish(AdmissionId id, RequestEnd end, Duration serviceTime, TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const auto deadline = found->second.deadline;
    const auto inUse = slotsInUse(now);
    m_running.erase(found);
    std::erase_if(m_held, [now](const HeldSlot &slot) { return slot.until <= now; });
    if (end == RequestEnd::Lost && deadline > now) {
        m_held.push_back(HeldSlot{.id = id, .until = deadline});
    }
    recordEnd(end, serviceTime, inUse, now);
}

void ServerAdmission::recordEnd(RequestEnd end, Duration serviceTime, std::uint32_t inUse,
                                TimePoint now)
{
    switch (end) {
    case RequestEnd::Answered:
        m_serviceTime.add(static_cast<double>(serviceTime.count()), now);
        m_ramp.onSuccess(serviceTime, inUse, now);
        break;
    case RequestEnd::Shed:
        m_ramp.onShed(inUse, now);
        break;
    case RequestEnd::Lost:
        m_ramp.onFailure(now);
        break;
    case RequestEnd::NotSent:
        break;
    }
}

void ServerAdmission::confirmEnded(AdmissionId id)
{
    std::erase_if(m_held, [id](const HeldSlot &slot) { return slot.id == id; });
}

auto ServerAdmission::cancelQueued(AdmissionId id) -> bool
{
    auto removed = false;
    m_queue.removeIf([id](const AdmissionRequest &request) { return request.id == id; },
                     [&removed](const AdmissionRequest &) { removed = true; });
    return removed;
}

auto ServerAdmission::takeNext(TimePoint now) -> std::optional<AdmissionRequest>
{
    if (!slotFree(now)) {
        return std::nullopt;
    }
    auto next = m_queue.pop();
    while (next && !endsInTime(*next, Duration{}, now)) {
        refuse(std::move(*next), AdmissionOutcome::DeadlineTooShort);
        next = m_queue.pop();
    }
    if (next) {
        m_running.emplace(next->id, *next);
    }
    return next;
}

auto ServerAdmission::takeRefused(TimePoint now) -> std::vector<RefusedRequest>
{
    m_queue.removeIf(
        [this, now](const AdmissionRequest &request) {
            return !endsInTime(request, Duration{}, now);
        },
        [this](AdmissionRequest &&request) {
            refuse(std::move(request), AdmissionOutcome::DeadlineTooShort);
        });
    return std::exchange(m_refused, {});
}

void ServerAdmission::refuse(AdmissionRequest &&request, AdmissionOutcome reason)
{
    m_refused.push_back(RefusedRequest{.request = std::move(request), .reason = reason});
}

auto ServerAdmission::nextHeldSlotEnd() const -> std::optional<TimePoint>
{
    const auto first =
        std::min_element(m_held.begin(), m_held.end(),
                         [](const HeldSlot &a, const HeldSlot &b) { return a.until < b.until; });
    return first == m_held.end() ? std::nullopt : std::optional(first->until);
}

void ServerAdmission::blockUntil(TimePoint moment)
{
    m_blockedUntil = moment;
}

auto ServerAdmission::latestEnd(TimePoint now) const -> TimePoint
{
    auto latest = now;
    for (const auto &[id, request] : m_running) {
        latest = std::max(latest, request.deadline);
    }
    for (const auto &slot : m_held) {
        latest = std::max(latest, slot.until);
    }
    return latest;
}

auto ServerAdmission::handOver(TimePoint now) -> AdmissionHandOver
{
    m_stopped = true;
    while (auto request = m_queue.pop()) {
        refuse(std::move(*request), AdmissionOutcome::QueueFull);
    }
    return AdmissionHandOver{.running = slotsInUse(now),
                             .latestEnd = latestEnd(now),
                             .limit = m_ramp.limit(),
                             .bootId = m_ramp.bootId()};
}

void ServerAdmission::accept(const AdmissionHandOver &handOver, TimePoint now)
{
    if (now >= m_blockedUntil) {
        return;
    }
    m_blockedUntil = TimePoint{};
    m_held.insert(m_held.end(), handOver.running, HeldSlot{.until = handOver.latestEnd});
    m_ramp.adopt(handOver.limit, handOver.bootId);
}

auto ServerAdmission::tryReserveConnection() -> bool
{
    if (m_connections >= m_options.maxConnections) {
        return false;
    }
    ++m_connections;
    return true;
}

void ServerAdmission::releaseConnection()
{
    m_connections -= m_connections > 0 ? 1 : 0;
}

void ServerAdmission::setLimits(std::uint32_t slots, std::uint32_t maxConnections)
{
    m_options.slots = slots;
    m_options.maxConnections = maxConnections;
    m_ramp.setSlots(slots);
}

} // namespace figlanding
