#include "citronpitch/jobrouter.h"

#include "citronpitch/upstreamgroup.h"
#include "core/dispatch/admission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

/// Retry delay for callers while no group is reachable.
constexpr Duration noGroupRetryDelay = std::chrono::seconds(1);

/// Assumed run time of tasks that were sent since the last load report.
constexpr Duration assumedTaskTime = std::chrono::milliseconds(150);

/// Time within which a refused job is tried in further groups even if its target leaves no time to wait; a
/// few round trips between failure domains.
constexpr Duration minimumPlacementTime = std::chrono::milliseconds(20);

/// Interval at which a part is sent again that could not be sent, as long as no other group can take it.
constexpr Duration undeliveredRetryInterval = std::chrono::milliseconds(20);

/// Holders acknowledge parts within 20 ms. One that has not done so for this long gets no new jobs while
/// other VMs can take them, as jobs that are sent to an unreachable VM end with an unknown outcome.
constexpr Duration acknowledgementTimeout = std::chrono::milliseconds(120);

/// Weight of the latest interval in the mean of what other VMs occupy.
constexpr double othersSmoothing = 0.3;

/// A group of this VM's domain has ample room for a job if it can start it this many times...
constexpr std::uint32_t ampleJobs = 2;
/// ...and one in this many of its slots is free. With less, the VMs of the domain would fill the same slots.
constexpr std::uint32_t ampleSlotsDivisor = 16;

/// Returns the failure domain of @p group, which is called DOMAIN or DOMAIN/GROUPS/INDEX.
std::string_view domainOf(std::string_view group)
{
    const auto index = group.rfind('/');
    if (index == std::string_view::npos || index == 0)
        return group;
    const auto groups = group.rfind('/', index - 1);
    return groups == std::string_view::npos ? group : group.substr(0, groups);
}

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Answer refusedAnswer(Reason reason, std::string detail, TimePoint retryAt)
{
    Answer answer;
    answer.outcome = Outcome::Refused;
    answer.reason = reason;
    answer.detail = std::move(detail);
    answer.retryAt = retryAt;
    return answer;
}

/// Retry time of callers that should not come back all at once.
TimePoint spreadRetryTime(TimePoint now, Duration delay, const Submission &submission)
{
    return jitteredRetryTime(now + delay, delay, submission);
}

Answer holderUnreachableAnswer(const std::string &vm)
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::HomeUnreachable;
    answer.detail = "router: VM " + vm + ", which dispatches the job, is unreachable";
    return answer;
}

Answer notDeliveredRefusal(TimePoint now, const std::string &vm)
{
    return refusedAnswer(Reason::HomeUnreachable,
                         "router: VM " + vm + ", which dispatches the job, is not connected",
                         now + noGroupRetryDelay);
}

} // namespace

JobRouter::JobRouter(JobRouterOptions options)
    : m_options(std::move(options))
{
}

void JobRouter::setHolders(const std::vector<GroupHolder> &holders)
{
    m_holders = holders;
}

void JobRouter::setEvacuations(const std::vector<DomainEvacuation> &evacuations)
{
    m_evacuations = evacuations;
}

void JobRouter::holderAlive(const std::string &vm, std::uint64_t incarnation, bool isDraining)
{
    auto &it = m_vms[vm];
    if (it.incarnation != incarnation)
        it = {};
    it.incarnation = incarnation;
    it.isDraining = isDraining;
}

void JobRouter::holderUnreachable(TimePoint now, const std::string &vm)
{
    m_vms.erase(vm);
    std::set<std::uint64_t> lost;
    std::vector<std::uint64_t> undelivered;
    for (const auto &[number, part] : m_parts) {
        if (part.vm != vm)
            continue;
        if (part.mayRun() || m_jobs.at(part.job).isStarted)
            lost.insert(part.job);
        else
            undelivered.push_back(number);
    }
    for (const auto it : lost)
        answer(it, holderUnreachableAnswer(vm));
    for (const auto number : undelivered) {
        // The job may have been answered because of another part.
        if (!m_parts.contains(number))
            continue;
        const auto part = takePart(number);
        if (placeAgain(now, part))
            ++m_totals.placedAfterDeliveryFailure;
        else
            partEnded(part, notDeliveredRefusal(now, vm));
    }
}

void JobRouter::sendFailed(TimePoint now, std::uint64_t number)
{
    const auto it = m_parts.find(number);
    if (it == m_parts.end())
        return;
    ++it->second.failedSends;
    if (it->second.mayBeDelivered() || m_jobs.at(it->second.job).isStarted)
        return;
    auto part = takePart(number);
    if (auto *group = findReport(part.vm, part.group); group != nullptr && part.sends == 1)
        group->refusedTasks += static_cast<std::uint32_t>(part.routed.submission.tasks.size());
    auto elsewhere = part;
    elsewhere.refusals.groups[part.group] = part.routed.fence;
    if (placeAgain(now, std::move(elsewhere))) {
        ++m_totals.placedAfterDeliveryFailure;
        return;
    }
    if (now >= m_jobs.at(part.job).latestStart || !m_vms.contains(part.vm)) {
        partEnded(part, notDeliveredRefusal(now, part.vm));
        return;
    }
    // The link may come up again in time.
    part.resendAt = now + undeliveredRetryInterval;
    m_jobs.at(part.job).parts.insert(number);
    m_parts.emplace(number, std::move(part));
}

void JobRouter::partsReceived(TimePoint now, const std::string &vm, const std::vector<std::uint64_t> &numbers)
{
    const auto holder = m_vms.find(vm);
    if (holder == m_vms.end())
        return;
    holder->second.acknowledgesParts = true;
    for (const auto number : numbers) {
        holder->second.unacknowledged.erase(number);
        const auto part = m_parts.find(number);
        if (part == m_parts.end() || !m_jobs.at(part->second.job).isStarted)
            continue;
        part->second.isStartReceived = true;
        part->second.resendAt = now + m_options.resendInterval;
    }
}

void JobRouter::partReserved(TimePoint now, const std::string &vm, std::uint64_t number)
{
    const auto it = m_parts.find(number);
    if (it == m_parts.end() || it->second.vm != vm)
        return;
    if (const auto holder = m_vms.find(vm); holder != m_vms.end())
        holder->second.unacknowledged.erase(number);
    it->second.isReserved = true;
    auto &job = m_jobs.at(it->second.job);
    const bool areAllReserved = std::all_of(job.parts.begin(), job.parts.end(),
                                            [&](const auto part) { return m_parts.at(part).isReserved; });
    if (areAllReserved && !job.isStarted)
        startParts(now, job);
}

void JobRouter::startParts(TimePoint now, OpenJob &job)
{
    job.isStarted = true;
    m_totals.startedSplitJobs += job.parts.size() > 1 ? 1 : 0;
    for (const auto number : job.parts) {
        auto &part = m_parts.at(number);
        part.resendAt = now + m_options.reservationResendInterval;
        m_actions.emplace_back(SendStart{part.vm, number});
    }
}

void JobRouter::loadReported(TimePoint now, const std::string &vm, const std::vector<GroupLoad> &loads)
{
    const auto it = m_vms.find(vm);
    if (it == m_vms.end())
        return;
    const auto previous = std::exchange(it->second.groups, {});
    for (const auto &load : loads) {
        auto &group = it->second.groups[load.group];
        group.load = load;
        group.reportedAt = now;
        const auto before = previous.find(load.group);
        if (before == previous.end() || before->second.load.fence != load.fence
            || before->second.reportedAt >= now)
            continue;
        const auto &last = before->second;
        const auto own = static_cast<double>(last.sentTasks) - last.refusedTasks - last.endedTasks;
        const auto others = static_cast<double>(last.load.freeTasks) - own - load.freeTasks;
        group.othersPerSecond = last.othersPerSecond
            + othersSmoothing * (others / secondsOf(now - last.reportedAt) - last.othersPerSecond);
    }
}

bool JobRouter::submit(TimePoint now, CallerId caller, RoutedJob job)
{
    const auto known = m_byKey.find(job.submission.key);
    if (known != m_byKey.end()) {
        m_jobs.at(known->second).callers.push_back(caller);
        m_byCaller[caller] = known->second;
        return false;
    }
    const auto number = m_nextNumber++;
    auto &open = m_jobs[number];
    open.key = job.submission.key;
    open.deadline = job.submission.deadline;
    open.callers.push_back(caller);
    open.tasks = job.submission.tasks.size();
    m_openTasks += open.tasks;
    m_byKey[open.key] = number;
    m_byCaller[caller] = number;
    if (m_openTasks > m_options.maximumOpenTasks) {
        answer(number,
               refusedAnswer(Reason::Overloaded, "router: too many tasks wait for an answer at this entry VM",
                             spreadRetryTime(now, noGroupRetryDelay, job.submission)));
        return true;
    }
    const auto groups = candidates(now, job);
    if (groups.empty()) {
        answer(number, noCandidateRefusal(now, job));
        return true;
    }
    open.latestStart = latestStart(now, groups, open.deadline);
    if (const auto refused = refusal(now, groups, job.submission)) {
        ++m_totals.refusedAtOnce;
        answer(number, *refused);
        return true;
    }
    auto first = job.submission.tasks.begin();
    const auto shares = split(groups, job);
    m_totals.splitJobs += shares.size() > 1 ? 1 : 0;
    for (const auto &it : shares) {
        auto part = job;
        part.reserve = shares.size() > 1;
        part.firstTask = static_cast<std::uint32_t>(first - job.submission.tasks.begin());
        part.submission.tasks.assign(first, first + it.tasks);
        first += it.tasks;
        sendPart(now, number, std::move(part), *it.candidate, {});
    }
    return true;
}

void JobRouter::callerDisconnected(CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end())
        return;
    const auto number = it->second;
    m_byCaller.erase(it);
    auto &job = m_jobs.at(number);
    std::erase(job.callers, caller);
    if (!job.callers.empty())
        return;
    cancelParts(number);
    removeJob(number);
}

void JobRouter::holderAnswered(TimePoint now, const std::string &vm, std::uint64_t number, Answer answer)
{
    m_cancelled.erase(number);
    const auto it = m_parts.find(number);
    if (it == m_parts.end() || it->second.vm != vm)
        return;
    auto part = takePart(number);
    const bool isRefused = answer.outcome == Outcome::Refused;
    const auto tasks = static_cast<std::uint32_t>(part.routed.submission.tasks.size());
    if (auto *group = findReport(part.vm, part.group))
        (isRefused ? group->refusedTasks : group->endedTasks) += tasks;
    if (isRefused) {
        part.refusals.groups[part.group] = part.routed.fence;
        if (answer.retryAt)
            part.refusals.retryAt =
                std::min(part.refusals.retryAt.value_or(*answer.retryAt), *answer.retryAt);
        // The part could not have waited there, so it may still wait in another group.
        if (answer.reason == Reason::NoSuitableUpstream)
            part.refusals.hasTriedToWait = false;
        if (!m_jobs.at(part.job).isStarted && placeAgain(now, part)) {
            ++m_totals.placedAfterRefusal;
            return;
        }
        answer.retryAt = part.refusals.retryAt;
    }
    partEnded(part, std::move(answer));
}

void JobRouter::partEnded(const Part &part, Answer answer)
{
    auto &job = m_jobs.at(part.job);
    if (answer.outcome == Outcome::Complete) {
        if (job.parts.empty())
            this->answer(part.job, answer);
        return;
    }
    if (answer.outcome == Outcome::Refused && job.isStarted) {
        // Other parts may have run, so the job can't be refused as a whole.
        answer.outcome = Outcome::Failed;
        answer.reason = Reason::DeadlineOutOfReach;
        answer.retryAt.reset();
    }
    this->answer(part.job, answer);
}

void JobRouter::tick(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[number, job] : m_jobs) {
        if (job.deadline <= now)
            late.push_back(number);
    }
    for (const auto number : late) {
        Answer failed;
        failed.outcome = Outcome::Failed;
        failed.reason = Reason::DeadlinePassed;
        failed.detail = "router: the deadline passed";
        answer(number, failed);
    }
    for (auto &[number, part] : m_parts) {
        if (now < part.resendAt)
            continue;
        const bool isStarted = m_jobs.at(part.job).isStarted;
        const bool isUrgent = part.routed.reserve && !(isStarted ? part.isStartReceived : part.isReserved);
        part.resendAt = now + (isUrgent ? m_options.reservationResendInterval : m_options.resendInterval);
        if (isStarted) {
            m_actions.emplace_back(SendStart{part.vm, number});
            continue;
        }
        // A reservation that is not known any more has not run.
        part.routed.isResent = part.mayRun();
        ++part.sends;
        m_actions.emplace_back(SendJob{part.vm, part.group, part.routed});
    }
    std::erase_if(m_cancelled, [&](const auto &it) { return it.second.routed.submission.deadline <= now; });
    for (auto &[number, part] : m_cancelled) {
        if (now < part.resendAt)
            continue;
        part.resendAt = now + m_options.cancelResendInterval;
        m_actions.emplace_back(SendCancel{part.vm, number});
    }
}

std::vector<RouterAction> JobRouter::takeActions()
{
    return std::exchange(m_actions, {});
}

std::uint64_t JobRouter::lowestOpenJob() const
{
    return m_parts.empty() ? m_nextNumber : m_parts.begin()->first;
}

const JobRouterTotals &JobRouter::totals() const
{
    return m_totals;
}

bool JobRouter::hasPartsOn(const std::string &vm) const
{
    const auto isOnVm = [&](const auto &it) { return it.second.vm == vm; };
    return std::any_of(m_parts.begin(), m_parts.end(), isOnVm)
        || std::any_of(m_cancelled.begin(), m_cancelled.end(), isOnVm);
}

bool JobRouter::canServe() const
{
    return !candidates({}, RoutedJob()).empty();
}

Answer JobRouter::noCandidateRefusal(TimePoint now, const RoutedJob &job) const
{
    if (!canServe())
        return refusedAnswer(Reason::Overloaded, "router: no control VM is reachable",
                             now + noGroupRetryDelay);
    const auto &label = job.submission.constraints.requiredLabel;
    return refusedAnswer(Reason::NoSuitableUpstream,
                         "router: no upstream in service has label \"" + label + "\"",
                         spreadRetryTime(now, noGroupRetryDelay, job.submission));
}

bool JobRouter::applyConstraints(const ReportedGroup &group, const RoutedJob &job, Candidate &candidate)
{
    const auto &constraints = job.submission.constraints;
    const auto &label = constraints.requiredLabel;
    auto upstreams = group.load.upstreams;
    if (!label.empty()) {
        const auto &labels = group.load.labels;
        const auto it = std::find_if(labels.begin(), labels.end(), [&](const auto &of) {
            return of.label == label && of.pool == job.pool;
        });
        candidate.isLabelUnknown = it == labels.end();
        if (!candidate.isLabelUnknown) {
            if (it->upstreams == 0)
                return false;
            upstreams = it->upstreams;
            // The upstreams with the label may be paused for a moment.
            const auto parallel = std::max(it->parallelTasks, 1U);
            const auto sent = group.sentByLabel.find(label);
            const auto taken = sent == group.sentByLabel.end() ? 0 : sent->second;
            const auto free = it->freeTasks - std::min(it->freeTasks, taken);
            candidate.parallelTasks = std::min(candidate.parallelTasks, parallel);
            candidate.startableTasks = std::min(candidate.startableTasks, free);
            candidate.waitingWork = std::max(candidate.waitingWork, it->waitingWork);
            candidate.classWait = std::max(candidate.classWait, it->waitingWork / parallel);
        }
    }
    if (upstreams > 0) {
        candidate.parallelTasks = constraints.limited(candidate.parallelTasks, upstreams);
        candidate.startableTasks = constraints.limited(candidate.startableTasks, upstreams);
    }
    return true;
}

std::vector<JobRouter::Candidate> JobRouter::candidates(TimePoint now, const RoutedJob &job) const
{
    std::vector<Candidate> list;
    std::vector<Candidate> silent;
    for (const auto &it : m_holders) {
        // A holder that has not learned of the evacuation yet still reports capacity.
        if (isGroupEvacuated(it.group, m_evacuations))
            continue;
        const auto vm = m_vms.find(it.vm);
        if (vm == m_vms.end() || vm->second.incarnation != it.incarnation || vm->second.isDraining)
            continue;
        const auto known = vm->second.groups.find(it.group);
        if (known == vm->second.groups.end())
            continue;
        const auto &group = known->second;
        const auto &load = group.load;
        if (!load.isOpen || load.fence != it.fence || load.parallelTasks == 0)
            continue;
        const auto age = std::max(now - group.reportedAt, Duration());
        const auto takenByOthers =
            static_cast<std::uint32_t>(std::max(group.othersPerSecond, 0.0) * secondsOf(age));
        // The slots of ended tasks make up for tasks sent since the report, unless queued tasks take them.
        const auto ended = load.waitingWork > Duration() ? 0 : group.endedTasks;
        const auto taken = group.sentTasks - std::min(group.sentTasks, ended) + takenByOthers;
        const auto remaining = [taken](std::uint32_t slots) { return slots - std::min(slots, taken); };
        Candidate candidate{it.group,        it.vm, it.fence, load.parallelTasks, remaining(load.freeTasks),
                            load.waitingWork};
        for (const auto &of : load.classes) {
            if (of.className != job.submission.className)
                continue;
            candidate.startableTasks = remaining(of.freeTasks);
            candidate.classWait = std::max(of.expectedWait - age, Duration());
            candidate.longestWait = of.longestWait;
        }
        if (applyConstraints(group, job, candidate))
            (isSilent(now, vm->second) ? silent : list).push_back(std::move(candidate));
    }
    return list.empty() ? silent : list;
}

bool JobRouter::isSilent(TimePoint now, const Holder &holder) const
{
    return holder.acknowledgesParts && !holder.unacknowledged.empty()
        && now - m_parts.at(*holder.unacknowledged.begin()).sentAt > acknowledgementTimeout;
}

JobRouter::Part JobRouter::takePart(std::uint64_t number)
{
    auto part = std::move(m_parts.extract(number).mapped());
    m_jobs.at(part.job).parts.erase(number);
    if (const auto holder = m_vms.find(part.vm); holder != m_vms.end())
        holder->second.unacknowledged.erase(number);
    return part;
}

bool JobRouter::isInOwnDomain(const Candidate &candidate) const
{
    return domainOf(candidate.group) == m_options.domain;
}

bool JobRouter::hasAmpleRoom(const Candidate &candidate, std::uint32_t tasks) const
{
    return isInOwnDomain(candidate) && candidate.startableTasks >= ampleJobs * tasks
        && candidate.startableTasks >= candidate.parallelTasks / ampleSlotsDivisor;
}

const JobRouter::Candidate *JobRouter::chooseWithRoom(const std::vector<Candidate> &groups,
                                                      std::uint32_t tasks) const
{
    std::vector<const Candidate *> ample;
    std::vector<const Candidate *> withRoom;
    for (const auto &it : groups) {
        if (hasAmpleRoom(it, tasks))
            ample.push_back(&it);
        if (it.startableTasks >= tasks)
            withRoom.push_back(&it);
    }
    const auto &list = ample.empty() ? withRoom : ample;
    std::uint64_t total = 0;
    for (const auto *it : list)
        total += it->startableTasks;
    if (total == 0)
        return nullptr;
    auto position = XXH3_64bits_withSeed(&m_nextNumber, sizeof m_nextNumber, m_options.seed) % total;
    const auto chosen = std::find_if(list.begin(), list.end(), [&](const auto *it) {
        if (position < it->startableTasks)
            return true;
        position -= it->startableTasks;
        return false;
    });
    return *chosen;
}

bool JobRouter::wouldRefuse(const Candidate &candidate, std::uint32_t tasks)
{
    // A group without queued work refuses nothing, even if the target is tight.
    return candidate.startableTasks < tasks && candidate.longestWait && candidate.classWait > Duration()
        && candidate.classWait > *candidate.longestWait;
}

TimePoint JobRouter::latestStart(TimePoint now, const std::vector<Candidate> &groups, TimePoint deadline)
{
    auto longest = minimumPlacementTime;
    for (const auto &it : groups) {
        if (!it.longestWait)
            return deadline;
        longest = std::max(longest, *it.longestWait);
    }
    return std::min(now + longest, deadline);
}

std::optional<Answer> JobRouter::refusal(TimePoint now, const std::vector<Candidate> &groups,
                                         const Submission &submission)
{
    const auto tasks = submission.tasks.size();
    std::size_t startable = 0;
    auto excess = Duration::max();
    for (const auto &it : groups) {
        startable += it.startableTasks;
        if (startable >= tasks || !wouldRefuse(it, static_cast<std::uint32_t>(tasks)))
            return std::nullopt;
        excess = std::min(excess, it.classWait - *it.longestWait);
    }
    return refusedAnswer(Reason::Overloaded, "router: no group can run the job within its target",
                         spreadRetryTime(now, std::max(excess, noGroupRetryDelay), submission));
}

Duration JobRouter::expectedWait(const Candidate &candidate, std::uint32_t tasks) const
{
    auto wait = isInOwnDomain(candidate) ? Duration::zero() : m_options.remoteDomainCost;
    if (candidate.startableTasks >= tasks)
        return wait;
    const auto missing = tasks - candidate.startableTasks;
    if (candidate.longestWait)
        return wait + candidate.classWait + assumedTaskTime * missing / candidate.parallelTasks;
    return wait + (candidate.waitingWork + assumedTaskTime * missing) / candidate.parallelTasks;
}

const JobRouter::Candidate *JobRouter::shortestWait(const std::vector<Candidate> &groups,
                                                    std::uint32_t tasks) const
{
    const auto it = std::min_element(groups.begin(), groups.end(), [&](const auto &left, const auto &right) {
        return expectedWait(left, tasks) < expectedWait(right, tasks);
    });
    return &*it;
}

std::vector<JobRouter::Share> JobRouter::split(const std::vector<Candidate> &groups,
                                               const RoutedJob &job) const
{
    auto tasks = static_cast<std::uint32_t>(job.submission.tasks.size());
    if (const auto *withRoom = chooseWithRoom(groups, tasks))
        return {{withRoom, tasks}};
    const auto *whole = shortestWait(groups, tasks);
    // A part that a group can't run could only be placed in a group without another part.
    const bool isAnyLabelUnknown =
        std::any_of(groups.begin(), groups.end(), [](const auto &it) { return it.isLabelUnknown; });
    if (isAnyLabelUnknown)
        return {{whole, tasks}};
    // No group can start the whole job immediately: each gets as many tasks as it has free slots, and the
    // group with the shortest expected wait gets the rest.
    std::vector<const Candidate *> byStartableTasks;
    for (const auto &it : groups)
        byStartableTasks.push_back(&it);
    std::stable_sort(
        byStartableTasks.begin(), byStartableTasks.end(),
        [](const auto *left, const auto *right) { return left->startableTasks > right->startableTasks; });
    std::vector<Share> shares;
    for (const auto *it : byStartableTasks) {
        const auto n = std::min(it->startableTasks, tasks);
        if (n == 0)
            break;
        shares.push_back({it, n});
        tasks -= n;
    }
    if (tasks == 0)
        return shares;
    if (job.submission.constraints.maximumPerUpstream > 0) {
        addRounds(shares, groups, tasks);
        return shares;
    }
    const auto known =
        std::find_if(shares.begin(), shares.end(), [&](const auto &it) { return it.candidate == whole; });
    if (known == shares.end())
        shares.push_back({whole, tasks});
    else
        known->tasks += tasks;
    return shares;
}

void JobRouter::addRounds(std::vector<Share> &shares, const std::vector<Candidate> &groups,
                          std::uint32_t tasks)
{
    std::vector<std::uint32_t> tasksOf(groups.size());
    for (const auto &it : shares)
        tasksOf[static_cast<std::size_t>(it.candidate - groups.data())] = it.tasks;
    const auto loadWithOneMore = [&](std::size_t i) {
        return static_cast<double>(tasksOf[i] + 1) / groups[i].parallelTasks;
    };
    for (; tasks > 0; --tasks) {
        std::size_t next = 0;
        for (std::size_t i = 1; i < groups.size(); ++i)
            next = loadWithOneMore(i) < loadWithOneMore(next) ? i : next;
        ++tasksOf[next];
    }
    shares.clear();
    for (std::size_t i = 0; i < groups.size(); ++i) {
        if (tasksOf[i] > 0)
            shares.push_back({&groups[i], tasksOf[i]});
    }
}

void JobRouter::sendPart(TimePoint now, std::uint64_t job, RoutedJob routed, const Candidate &to,
                         Refusals refusals)
{
    const auto number = m_nextNumber++;
    routed.origin.number = number;
    routed.fence = to.fence;
    routed.isResent = false;
    if (auto *group = findReport(to.vm, to.group)) {
        const auto tasks = static_cast<std::uint32_t>(routed.submission.tasks.size());
        group->sentTasks += tasks;
        if (const auto &label = routed.submission.constraints.requiredLabel; !label.empty())
            group->sentByLabel[label] += tasks;
    }
    m_jobs.at(job).parts.insert(number);
    m_actions.emplace_back(SendJob{to.vm, to.group, routed});
    const auto resendInterval =
        routed.reserve ? m_options.reservationResendInterval : m_options.resendInterval;
    m_parts[number] = {job, std::move(routed), to.vm, to.group, now + resendInterval, std::move(refusals),
                       now};
    m_vms.at(to.vm).unacknowledged.insert(number);
}

bool JobRouter::placeAgain(TimePoint now, Part part)
{
    const auto &job = m_jobs.at(part.job);
    if (now >= job.latestStart)
        return false;
    auto groups = candidates(now, part.routed);
    // A group gets at most one part of a job.
    std::erase_if(groups, [&](const auto &it) {
        const auto refused = part.refusals.groups.find(it.group);
        return (refused != part.refusals.groups.end() && refused->second >= it.fence)
            || std::any_of(job.parts.begin(), job.parts.end(),
                           [&](const auto number) { return m_parts.at(number).group == it.group; });
    });
    if (groups.empty())
        return false;
    const auto tasks = static_cast<std::uint32_t>(part.routed.submission.tasks.size());
    const auto *to = chooseWithRoom(groups, tasks);
    if (to == nullptr) {
        to = shortestWait(groups, tasks);
        if (wouldRefuse(*to, tasks) || std::exchange(part.refusals.hasTriedToWait, true))
            return false;
    }
    sendPart(now, part.job, std::move(part.routed), *to, std::move(part.refusals));
    return true;
}

JobRouter::ReportedGroup *JobRouter::findReport(const std::string &vm, const std::string &group)
{
    const auto holder = m_vms.find(vm);
    if (holder == m_vms.end())
        return nullptr;
    const auto it = holder->second.groups.find(group);
    return it == holder->second.groups.end() ? nullptr : &it->second;
}

void JobRouter::cancelParts(std::uint64_t job)
{
    for (const auto number : std::exchange(m_jobs.at(job).parts, {})) {
        const auto it = m_parts.find(number);
        if (const auto holder = m_vms.find(it->second.vm); holder != m_vms.end())
            holder->second.unacknowledged.erase(number);
        m_actions.emplace_back(SendCancel{it->second.vm, number});
        it->second.resendAt = {};
        m_cancelled.insert(m_parts.extract(it));
    }
}

void JobRouter::answer(std::uint64_t number, const Answer &answer)
{
    cancelParts(number);
    const auto it = m_jobs.find(number);
    for (const auto caller : it->second.callers) {
        m_byCaller.erase(caller);
        m_actions.emplace_back(AnswerCaller{caller, answer});
    }
    removeJob(number);
}

void JobRouter::removeJob(std::uint64_t number)
{
    const auto it = m_jobs.find(number);
    m_openTasks -= it->second.tasks;
    m_byKey.erase(it->second.key);
    m_jobs.erase(it);
}

} // namespace Citronpitch
