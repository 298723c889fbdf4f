#include "fleet/fleetwire.h"

#include "wire/fleet.pb.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// Longer than any time in a message, and short enough that sums of many fit into 64 bits.
constexpr Duration maximumTime = std::chrono::hours(24 * 30);
/// The limit of the decoder of heartbeats; leases are added to clocks.
constexpr std::int64_t maximumClockMs = (std::int64_t{1} << 53) - 1;
constexpr std::size_t maximumVmNameBytes = 256;

Duration durationOf(std::int64_t microseconds)
{
    return std::clamp(Duration(microseconds), -maximumTime, maximumTime);
}

bool isClock(std::int64_t clockMs)
{
    return clockMs >= 0 && clockMs <= maximumClockMs;
}

} // namespace

void toWire(TimePoint now, const RoutedJob &from, const std::string &group, wire::RunJob *to)
{
    to->set_number(from.origin.number);
    to->set_group(group);
    to->set_key(from.submission.key);
    to->set_class_name(from.submission.className);
    to->set_pool(from.pool);
    to->set_remaining_us((from.submission.deadline - now).count());
    to->set_attempts(from.attempts);
    to->set_first_task(from.firstTask);
    to->set_reserve(from.reserve);
    to->set_fence(from.fence);
    to->set_is_resent(from.isResent);
    to->set_required_label(from.submission.constraints.requiredLabel);
    to->set_max_per_upstream(from.submission.constraints.maximumPerUpstream);
    const SharedText *previous = nullptr;
    for (const auto &it : from.submission.tasks) {
        auto *task = to->add_tasks();
        // All tasks of a job may have the same payload, so a repeated one is not sent again.
        if (previous != nullptr && *previous == it.payload)
            task->set_has_previous_payload(true);
        else
            task->set_payload(it.payload);
        previous = &it.payload;
        task->set_millicores(it.need.millicores);
        task->set_memory_bytes(it.need.memoryBytes);
        task->set_accelerators(it.need.accelerators);
        task->set_declared_us(it.declaredTime.count());
    }
}

void toWire(TimePoint now, const FinishedJob &from, wire::JobEnded *to)
{
    to->set_number(from.origin.number);
    to->set_outcome(static_cast<std::uint32_t>(from.answer.outcome));
    to->set_reason(static_cast<std::uint32_t>(from.answer.reason));
    to->set_detail(from.answer.detail);
    if (from.answer.retryAt)
        to->set_return_after_us(std::max<std::int64_t>(1, (*from.answer.retryAt - now).count()));
}

void toWire(TimePoint now, TimePoint arrivedAt, const FleetAnnouncement &from, wire::Announcement *to)
{
    const auto &upstream = from.upstream;
    to->set_name(upstream.name);
    to->set_address(upstream.address);
    to->set_port(upstream.port);
    to->set_domain(from.domain);
    to->set_pool(from.pool);
    to->set_rack(upstream.rack);
    to->set_incarnation(upstream.incarnation);
    to->set_sequence(from.sequence);
    to->set_millicores(upstream.capacity.millicores);
    to->set_memory_bytes(upstream.capacity.memoryBytes);
    to->set_accelerators(upstream.capacity.accelerators);
    to->set_is_leaving(upstream.leaving);
    to->set_is_gone(from.hasLeft);
    to->set_clock_ms(from.clockMs);
    to->set_age_us((now - arrivedAt).count());
    to->mutable_labels()->Assign(upstream.labels.begin(), upstream.labels.end());
}

void toWire(TimePoint now, TimePoint arrivedAt, const FleetAnnouncement &from, wire::Renewal *to)
{
    to->set_name(from.upstream.name);
    to->set_incarnation(from.upstream.incarnation);
    to->set_sequence(from.sequence);
    to->set_clock_ms(from.clockMs);
    to->set_age_us((now - arrivedAt).count());
    to->set_digest(from.digest());
}

void toWire(TimePoint now, const TaskCrash &from, wire::TaskCrash *to)
{
    to->set_task(from.task);
    to->set_upstream(from.upstream);
    to->set_incarnation(from.incarnation);
    to->set_state(static_cast<std::uint32_t>(from.state));
    to->set_remaining_us((from.expiresAt - now).count());
}

void toWire(const GroupLoad &from, wire::GroupLoad *to)
{
    to->set_group(from.group);
    to->set_fence(from.fence);
    to->set_is_open(from.isOpen);
    to->set_free_tasks(from.freeTasks);
    to->set_parallel(from.parallelTasks);
    to->set_waiting_us(from.waitingWork.count());
    for (const auto &it : from.classes) {
        auto *of = to->add_classes();
        of->set_class_name(it.className);
        of->set_free_tasks(it.freeTasks);
        of->set_wait_us(it.expectedWait.count());
        if (it.longestWait)
            of->set_longest_wait_us(it.longestWait->count());
    }
    for (const auto &it : from.labels) {
        auto *of = to->add_labels();
        of->set_pool(it.pool);
        of->set_label(it.label);
        of->set_free_tasks(it.freeTasks);
        of->set_parallel(it.parallelTasks);
        of->set_upstreams(it.upstreams);
        of->set_waiting_us(it.waitingWork.count());
    }
    to->set_upstreams(from.upstreams);
}

std::optional<TaskCrash> fromWire(TimePoint now, const wire::TaskCrash &from)
{
    if (from.state() >= crashStateNames.size())
        return std::nullopt;
    return TaskCrash{from.task(), from.upstream(), from.incarnation(), static_cast<CrashState>(from.state()),
                     now + std::min(durationOf(from.remaining_us()), crashRetention)};
}

std::optional<RoutedJob> fromWire(TimePoint now, const wire::RunJob &from)
{
    if (from.tasks_size() == 0 || static_cast<std::size_t>(from.tasks_size()) > maximumTasksPerJob)
        return std::nullopt;
    if (from.first_task() > maximumTasksPerJob)
        return std::nullopt;
    RoutedJob job;
    job.origin.number = from.number();
    job.pool = from.pool();
    job.attempts = from.attempts();
    job.firstTask = from.first_task();
    job.reserve = from.reserve();
    job.fence = from.fence();
    job.isResent = from.is_resent();
    job.submission.constraints = {from.required_label(), from.max_per_upstream()};
    job.submission.key = from.key();
    job.submission.className = from.class_name();
    job.submission.deadline = now + durationOf(from.remaining_us());
    auto &tasks = job.submission.tasks;
    for (const auto &it : from.tasks()) {
        const bool isRepeated = it.has_previous_payload() && !tasks.empty();
        tasks.push_back({isRepeated ? tasks.back().payload : SharedText(it.payload()),
                         durationOf(it.declared_us()),
                         {it.millicores(), it.memory_bytes(), it.accelerators()}});
    }
    return job;
}

std::optional<Answer> fromWire(TimePoint now, const wire::JobEnded &from)
{
    if (from.outcome() >= outcomeNames.size() || from.reason() >= reasonNames.size())
        return std::nullopt;
    Answer answer;
    answer.outcome = static_cast<Outcome>(from.outcome());
    answer.reason = static_cast<Reason>(from.reason());
    answer.detail = from.detail();
    if (from.return_after_us() > 0)
        answer.retryAt = now + durationOf(from.return_after_us());
    return answer;
}

std::optional<FleetAnnouncement> fromWire(const wire::Announcement &from)
{
    const bool isPort = from.port() > 0 && from.port() <= std::numeric_limits<std::uint16_t>::max();
    if (!isPort || from.name().empty() || !isClock(from.clock_ms()))
        return std::nullopt;
    FleetAnnouncement announcement;
    auto &upstream = announcement.upstream;
    upstream.name = from.name();
    upstream.address = from.address();
    upstream.port = static_cast<std::uint16_t>(from.port());
    upstream.capacity = {from.millicores(), from.memory_bytes(), from.accelerators()};
    upstream.rack = from.rack();
    upstream.incarnation = from.incarnation();
    upstream.leaving = from.is_leaving();
    announcement.domain = from.domain();
    announcement.pool = from.pool();
    announcement.sequence = from.sequence();
    announcement.clockMs = from.clock_ms();
    announcement.hasLeft = from.is_gone();
    upstream.labels.assign(from.labels().begin(), from.labels().end());
    return announcement;
}

std::optional<AnnouncementRenewal> fromWire(const wire::Renewal &from)
{
    if (!isClock(from.clock_ms()))
        return std::nullopt;
    return AnnouncementRenewal{from.name(), from.incarnation(), from.sequence(), from.clock_ms(),
                               from.digest()};
}

TimePoint arrivalOf(TimePoint now, std::int64_t microseconds)
{
    return now - durationOf(microseconds);
}

bool isVmName(std::string_view name)
{
    constexpr std::string_view punctuation = ".-:%_[]";
    const auto isAlphanumeric = [](char it) { return std::isalnum(static_cast<unsigned char>(it)) != 0; };
    return !name.empty() && name.size() <= maximumVmNameBytes
        && (isAlphanumeric(name.front()) || name.front() == '[' || name.front() == ':')
        && std::all_of(name.begin(), name.end(), [&](char it) {
               return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
           });
}

GroupLoad fromWire(const wire::GroupLoad &from)
{
    GroupLoad load{from.group(),      from.fence(),    from.is_open(),
                   from.free_tasks(), from.parallel(), durationOf(from.waiting_us())};
    for (const auto &it : from.classes()) {
        ClassLoad of{it.class_name(), it.free_tasks(), durationOf(it.wait_us()), {}};
        if (it.has_longest_wait_us())
            of.longestWait = durationOf(it.longest_wait_us());
        load.classes.push_back(std::move(of));
    }
    for (const auto &it : from.labels())
        load.labels.push_back({it.pool(), it.label(), it.free_tasks(), it.parallel(), it.upstreams(),
                               durationOf(it.waiting_us())});
    load.upstreams = from.upstreams();
    return load;
}

} // namespace Citronpitch
