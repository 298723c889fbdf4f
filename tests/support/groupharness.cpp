#include "support/groupharness.h"

#include "core/dispatch/capacity.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

constexpr Duration step = std::chrono::milliseconds(1);
constexpr Duration delay = std::chrono::milliseconds(1);
/// Time from a start to the crash of its upstream; the answer to the start arrives before.
constexpr Duration crashDelay = std::chrono::milliseconds(3);
/// One lease on a clock that is 2 % slow, and the step of the harness.
const Duration longestStop = UpstreamRunsOptions{}.lease * 1000 / 980 + step;
constexpr unsigned thousand = 1000;
constexpr int minimumLateMs = 2000;
constexpr int maximumLateMs = 12000;

} // namespace

GroupHarness::GroupHarness(std::uint64_t seed)
    : m_random(seed)
{
    takeOver();
}

SimulatedUpstream &GroupHarness::add(const SimulatedUpstreamOptions &options)
{
    auto &it = m_upstreams[options.name];
    it = std::make_unique<SimulatedUpstream>(m_now, options);
    it->onStarted = [this, name = options.name](const std::string &task) {
        ++starts[task];
        checkLimit(name, task);
        if (crashesUnder[task] >= crashLimit)
            ++startsAfterCrashes[task];
        if (crashes && crashes(task))
            m_crashing.emplace(name, m_now + (answersBeforeCrash ? crashDelay : Duration::zero()));
    };
    announce(options.name);
    return *it;
}

void GroupHarness::takeOver()
{
    GroupDispatcherOptions options;
    options.group = "domain";
    options.fence = ++m_fence;
    options.nameTask = [](const std::string &key, std::uint32_t task) {
        return key + "." + std::to_string(task);
    };
    m_dispatcher.reset();
    m_ledger = std::make_unique<CrashLedger>();
    for (const auto &it : m_reportedCrashes)
        m_ledger->merge(it);
    m_dispatcher = std::make_unique<GroupDispatcher>(std::move(options), *m_ledger);
    m_dispatcher->setClasses({{"work", 990'000, std::chrono::milliseconds(300)}});
    for (const auto &[name, it] : m_upstreams)
        announce(name);
}

FleetAnnouncement GroupHarness::announcementOf(const std::string &name, Duration lease)
{
    const auto &model = *m_upstreams.at(name);
    FleetAnnouncement announcement;
    announcement.upstream.name = name;
    announcement.upstream.address = "10.0.0.1";
    announcement.upstream.port = 1;
    const auto slots = m_slots.find(name);
    const auto n = slots == m_slots.end() ? 2 : slots->second;
    if (countsResources)
        announcement.upstream.capacity.millicores = n * defaultMillicores;
    else
        announcement.upstream.slots = n;
    announcement.upstream.incarnation = model.incarnation();
    announcement.upstream.labels = m_announcedLabels[name] = labels[name];
    announcement.upstream.leaseDeadline = m_now + lease;
    announcement.domain = "domain";
    announcement.pool = "pool";
    announcement.sequence = ++m_sequence;
    announcement.clockMs = model.clockMs(m_now);
    return announcement;
}

void GroupHarness::announce(const std::string &name, bool isLeaving, Duration lease)
{
    auto announcement = announcementOf(name, lease);
    announcement.upstream.leaving = isLeaving;
    m_dispatcher->announce(m_now, announcement);
    executeActions();
}

FleetAnnouncement GroupHarness::departureOf(const std::string &name)
{
    auto announcement = announcementOf(name, announcementLease);
    announcement.upstream.leaving = true;
    announcement.hasLeft = true;
    return announcement;
}

void GroupHarness::leave(const std::string &name)
{
    m_dispatcher->announce(m_now, departureOf(name));
    executeActions();
}

void GroupHarness::setSlots(const std::string &name, std::uint32_t slots)
{
    m_slots[name] = slots;
    announce(name);
}

void GroupHarness::setUnreachable(const std::string &name, bool isUnreachable)
{
    m_unreachable[name] = isUnreachable;
}

void GroupHarness::submit(const std::string &key, std::uint64_t number, std::size_t tasks, Duration timeout,
                          Duration age, bool reserve)
{
    RoutedJob job;
    job.reserve = reserve;
    job.origin = {"entry", 1, number};
    job.pool = "pool";
    job.attempts = 2;
    job.submission.key = key;
    job.submission.className = "work";
    job.submission.deadline = m_now + timeout;
    job.submission.tasks.resize(tasks);
    job.submission.constraints = m_constraints.try_emplace(key, constraints).first->second;
    job.age = age;
    m_dispatcher->submit(m_now, job);
    executeActions();
}

bool GroupHarness::start(std::uint64_t number)
{
    const bool isKnown = m_dispatcher->start(m_now, {"entry", 1, number});
    executeActions();
    return isKnown;
}

void GroupHarness::advance(Duration time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        m_now += step;
        beginCrashes();
        endCrashes();
        for (auto &[name, it] : m_upstreams)
            it->advance(m_now);
        handleEvents(true);
        m_dispatcher->tick(m_now);
        for (auto &it : m_ledger->takeNews())
            m_reportedCrashes.push_back(std::move(it));
        executeActions();
        checkRuns();
    }
}

void GroupHarness::pause(Duration time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        m_now += step;
        for (auto &[name, it] : m_upstreams)
            it->advance(m_now);
        handleEvents(false);
        checkRuns();
    }
    handleEvents(true);
}

GroupDispatcher &GroupHarness::dispatcher()
{
    return *m_dispatcher;
}

TimePoint GroupHarness::now() const
{
    return m_now;
}

SimulatedUpstream &GroupHarness::upstream(const std::string &name)
{
    return *m_upstreams.at(name);
}

void GroupHarness::executeActions()
{
    for (const auto &action : m_dispatcher->takeActions()) {
        if (const auto *order = std::get_if<RunOrder>(&action)) {
            sendOrder(*order);
        } else if (const auto *reservation = std::get_if<ReservedJob>(&action)) {
            reserved.insert(reservation->origin.number);
        } else if (const auto *finished = std::get_if<FinishedJob>(&action)) {
            answers.try_emplace(finished->origin.number, finished->answer);
            answeredAt.try_emplace(finished->origin.number, m_now);
        }
    }
}

void GroupHarness::checkLabel(const RunOrder &order)
{
    const auto &label = m_constraints[order.task.substr(0, order.task.rfind('.'))].requiredLabel;
    const auto &announced = m_announcedLabels[order.upstream];
    if (!label.empty() && std::find(announced.begin(), announced.end(), label) == announced.end())
        ++misplacedStarts;
}

void GroupHarness::checkLimit(const std::string &upstream, const std::string &task)
{
    const auto job = task.substr(0, task.rfind('.') + 1);
    const auto limit = m_constraints[job.substr(0, job.size() - 1)].maximumPerUpstream;
    if (limit == 0 || m_strayRuns.contains({upstream, task}))
        return;
    std::uint32_t n = 0;
    for (const auto &[running, run] : m_upstreams.at(upstream)->running())
        n += running.starts_with(job) && !m_strayRuns.contains({upstream, running}) ? 1 : 0;
    misplacedStarts += n > limit ? 1 : 0;
}

void GroupHarness::sendOrder(const RunOrder &order)
{
    if (order.kind == OrderKind::Start)
        checkLabel(order);
    const auto draw = m_random() % thousand;
    const auto timeout = m_now + order.timeout;
    Event event{Event::Kind::Execute, m_fence, order, {}, true};
    if (order.kind == OrderKind::Stop)
        m_stopDeadlines.try_emplace({order.upstream, order.task, order.run}, m_now + longestStop);
    const bool isLostStop = order.kind == OrderKind::Stop && draw < faults.lostStops;
    if (m_unreachable[order.upstream] || isLostStop) {
        event.kind = Event::Kind::Answer;
        m_events.emplace(timeout, event);
        return;
    }
    if (draw >= faults.lostAnswers + faults.lateOrders) {
        m_events.emplace(m_now + delay, event);
        return;
    }
    Event noAnswer{Event::Kind::Answer, m_fence, order, {}, true};
    m_events.emplace(timeout, noAnswer);
    event.isAnswered = false;
    event.isLate = draw < faults.lateOrders;
    const auto late = std::chrono::milliseconds(
        minimumLateMs + static_cast<int>(m_random() % (maximumLateMs - minimumLateMs)));
    m_events.emplace(event.isLate ? m_now + late : m_now + delay, event);
}

void GroupHarness::handleEvents(bool areAnswersRead)
{
    for (auto it = m_events.begin(); it != m_events.end() && it->first <= m_now;) {
        if (it->second.kind == Event::Kind::Answer && !areAnswersRead) {
            ++it;
            continue;
        }
        const auto event = it->second;
        it = m_events.erase(it);
        handle(event);
    }
}

void GroupHarness::handle(const Event &event)
{
    if (event.kind == Event::Kind::Answer) {
        if (event.fence == m_fence)
            m_dispatcher->orderEnded(m_now, event.order.id, event.result);
        executeActions();
        return;
    }
    auto answer = event;
    answer.kind = Event::Kind::Answer;
    if (m_unreachable[event.order.upstream] && !(deliversLateOrders && event.isLate)) {
        if (event.isAnswered)
            m_events.emplace(m_now + event.order.timeout, answer);
        return;
    }
    const auto incarnation = m_upstreams.at(event.order.upstream)->incarnation();
    auto &reached = m_reachedIncarnations[event.order.upstream];
    if (!event.isLate)
        reached = incarnation;
    else if (event.order.kind == OrderKind::Start && reached != incarnation)
        m_strayRuns.emplace(event.order.upstream, event.order.task);
    if (m_replaced.contains(event.order.upstream))
        answer.result.verdict = OrderVerdict::OtherIncarnation;
    else
        answer.result = m_upstreams.at(event.order.upstream)->execute(m_now, event.order);
    if (const auto it = m_crashing.find(event.order.upstream);
        it != m_crashing.end() && it->second <= m_now) {
        m_crashing.erase(it);
        crash(event.order.upstream);
        answer.result = {};
    }
    if (event.isAnswered)
        m_events.emplace(m_now + delay, answer);
}

void GroupHarness::crash(const std::string &name)
{
    auto &upstream = *m_upstreams.at(name);
    for (const auto &[task, run] : upstream.running())
        ++crashesUnder[task];
    upstream.restart(m_now);
    setUnreachable(name, true);
    m_backAt[name] = m_now + downTime;
}

void GroupHarness::beginCrashes()
{
    for (auto it = m_crashing.begin(); it != m_crashing.end();) {
        const auto [name, at] = *it;
        const bool isDue = at <= m_now;
        it = isDue ? m_crashing.erase(it) : std::next(it);
        if (isDue)
            crash(name);
    }
}

void GroupHarness::endCrashes()
{
    while (true) {
        const auto it = std::find_if(m_backAt.begin(), m_backAt.end(),
                                     [this](const auto &entry) { return entry.second <= m_now; });
        if (it == m_backAt.end())
            return;
        const auto name = it->first;
        m_backAt.erase(it);
        setUnreachable(name, false);
        if (changesNameAfterCrash) {
            m_replaced.insert(name);
            add({name + "'"});
            continue;
        }
        m_upstreams.at(name)->restart(m_now);
        announce(name);
    }
}

void GroupHarness::checkRuns()
{
    std::map<std::string, unsigned> runs;
    std::map<std::string, unsigned> strays;
    for (const auto &[name, it] : m_upstreams) {
        for (const auto &[task, run] : it->running()) {
            if (m_strayRuns.contains({name, task}))
                ++strays[task];
            else if (++runs[task] == 2)
                ++concurrentRuns;
            const auto stop = m_stopDeadlines.find({name, task, run});
            if (stop != m_stopDeadlines.end() && stop->second < m_now) {
                ++overdueRuns;
                m_stopDeadlines.erase(stop);
            }
        }
    }
    for (const auto &[task, n] : strays)
        strayRuns += runs[task] + n > 1 ? 1 : 0;
    std::erase_if(m_strayRuns, [this](const auto &it) {
        return !m_upstreams.at(it.first)->running().contains(it.second);
    });
}

} // namespace Citronpitch
