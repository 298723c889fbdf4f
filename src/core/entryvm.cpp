#include "citronpitch/entryvm.h"

#include "citronpitch/idempotencykey.h"
#include "citronpitch/wireconvert.h"
#include "core/dispatch/admission.h"

#include "wire/peer.pb.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire;

namespace {

constexpr Duration initialResendDelay = std::chrono::seconds(1);
constexpr Duration unreachableRetryDelay = std::chrono::seconds(1);
/// Retry delay for jobs that are refused during an evacuation; operators decide how long it lasts.
constexpr Duration evacuationRetryDelay = std::chrono::seconds(1);
constexpr Duration overloadRetryDelay = std::chrono::seconds(1);
constexpr Duration drainRetryDelay = std::chrono::seconds(2);

/// Time to wait for a lost link to be re-established before requests forwarded over it fail.
constexpr Duration reconnectTimeout = std::chrono::milliseconds(500);

/// Time after the deadline of a job during which an answer from the home VM is still accepted.
constexpr Duration answerDeadlineMargin = std::chrono::milliseconds(500);

/// Timeout of a forwarded fetch or cancellation.
constexpr Duration fetchTimeout = std::chrono::seconds(5);

Answer unknownAnswer(const std::string &key, Reason reason, std::string detail,
                     std::optional<TimePoint> retryAt)
{
    return {key, Outcome::Unknown, reason, std::move(detail), retryAt, {}};
}

Answer refusedAnswer(const std::string &key, const Refusal &refusal)
{
    return {key, Outcome::Refused, refusal.reason, refusal.detail, refusal.retryAt, {}};
}

std::string storageFailedDetail()
{
    return "journal: the data folder is not writable";
}

Answer pendingAnswer(const std::string &key)
{
    return {key, Outcome::Pending, Reason::None, "the job was accepted and is not answered yet", {}, {}};
}

} // namespace

EntryVm::EntryVm(const EntryVmOptions &options)
    : m_options(options)
    , m_membership(options.self.name, options.vms, options.suspicionTimeout)
    , m_claims(options.claimLimits)
    , m_dispatcher(options.dispatching)
{
    for (const auto &it : options.vms) {
        m_vmNames.push_back(it.name);
        if (it.hasDataFolder)
            m_durableVmNames.push_back(it.name);
    }
    updateShare({});
}

void EntryVm::handleRequest(TimePoint now, CallerId caller, CallerRequest request)
{
    const auto &submission = request.submission;
    const auto home = homeOfKey({submission.team, submission.key});
    const Waiter waiter{{}, 0, caller};
    if (home.empty()) {
        reply(waiter,
              unknownAnswer(submission.key, Reason::KeyNotKnown,
                            "key: no entry VM is the home VM of this key", {}));
        return;
    }
    if (home == m_options.self.name) {
        processRequest(now, waiter, std::move(request));
        return;
    }
    forward(now, home, caller, std::move(request));
}

void EntryVm::callerDisconnected(CallerId caller)
{
    m_claims.removeWaiter({{}, 0, caller});
    std::erase_if(m_forwards, [&](const auto &it) { return it.second.caller == caller; });
}

void EntryVm::handleAnnouncement(TimePoint now, const UpstreamAnnouncement &announcement)
{
    m_dispatcher.announce(now, announcement);
    for (const auto &it : m_membership.peers()) {
        const auto isSuspected = m_membership.findStatus(it.name)->state == VmState::Suspected;
        if (it.failureDomain != m_options.self.failureDomain || isSuspected)
            continue;
        auto message = newMessage(0);
        toWire(announcement, message->mutable_upstream());
        send(it.name, std::move(message));
    }
    place(now);
}

void EntryVm::attemptEnded(TimePoint now, AttemptId attempt, const AttemptResult &result)
{
    m_dispatcher.finish(now, attempt, result);
    const auto it = m_attempts.find(attempt);
    if (it != m_attempts.end()) {
        const auto [job, task] = it->second;
        m_attempts.erase(it);
        auto &progress = m_jobs.at(job);
        m_serviceLevelTracker.attemptEnded(now, job, progress.upstreamOf(task));
        const auto next = progress.attemptEnded(task, result, [this] { return m_dispatcher.takeRetry(); });
        if (next == NextStep::RequeueTask && m_hasStorageFailed)
            finishJob(now, job, progress.failedAnswer(Reason::StorageFailed, storageFailedDetail()));
        else if (next == NextStep::RequeueTask)
            m_dispatcher.requeue(now, job, progress.submission(), task);
        else if (next == NextStep::AnswerJob)
            finishJob(now, job, progress.finalAnswer());
    }
    place(now);
}

void EntryVm::handlePeerMessage(TimePoint now, const wire::PeerMessage &message)
{
    const bool isForOtherIncarnation =
        message.receiver_incarnation() != 0 && message.receiver_incarnation() != m_options.incarnation;
    if (!m_membership.messageReceived(now, message.sender(), message.incarnation()) || isForOtherIncarnation)
        return;
    switch (message.body_case()) {
    case wire::PeerMessage::kHeartbeat: {
        const auto &heartbeat = message.heartbeat();
        m_membership.heartbeatReceived(message.sender(), heartbeat.configuration_version(),
                                       heartbeat.free_slots(), heartbeat.queued_tasks(), heartbeat.leaving());
        updateLowestOpenForward(message.sender(), message.incarnation(), heartbeat.lowest_open());
        updateShare(now);
        break;
    }
    case wire::PeerMessage::kForwardedRequest:
        handleForwardedRequest(now, message);
        break;
    case wire::PeerMessage::kForwardedAnswer:
        handleForwardedAnswer(message);
        break;
    case wire::PeerMessage::kUpstream:
        if (const auto announcement = fromWire(message.upstream())) {
            m_dispatcher.announce(now, *announcement);
            place(now);
        }
        break;
    case wire::PeerMessage::kCapacityRequest:
        handleCapacityRequest(now, message);
        break;
    case wire::PeerMessage::kCapacityGrant:
        m_dispatcher.borrow(now, message.sender(), message.incarnation(), fromWire(message.capacity_grant()));
        place(now);
        break;
    default:
        break;
    }
}

void EntryVm::handleLinkChange(TimePoint now, const std::string &vm, bool isUp)
{
    if (!isUp) {
        m_endedLinks.emplace(vm, now + reconnectTimeout);
        return;
    }
    m_endedLinks.erase(vm);
    for (const auto &[number, forward] : m_forwards) {
        if (forward.home == vm)
            sendForward(number, forward);
    }
}

void EntryVm::journalSynced(TimePoint now, std::uint64_t token)
{
    const auto it = m_awaitingSync.find(token);
    if (it == m_awaitingSync.end())
        return;
    const auto job = it->second;
    m_awaitingSync.erase(it);
    if (m_jobs.contains(job))
        enqueueJob(now, job);
}

void EntryVm::storageFailed(TimePoint now)
{
    m_hasStorageFailed = true;
    std::vector<JobId> waiting;
    for (const auto &[job, progress] : m_jobs) {
        if (!progress.isEveryTaskPlaced())
            waiting.push_back(job);
    }
    for (const auto job : waiting)
        finishJob(now, job, m_jobs.at(job).failedAnswer(Reason::StorageFailed, storageFailedDetail()));
    m_awaitingSync.clear();
}

void EntryVm::setConfiguration(TimePoint now, const Configuration &configuration)
{
    m_configuration = configuration;
    m_dispatcher.setConfiguration(configuration);
    place(now);
}

void EntryVm::setConfigurationCurrent(bool isCurrent)
{
    m_dispatcher.setConfigurationCurrent(isCurrent);
}

void EntryVm::tick(TimePoint now)
{
    for (const auto &it : m_membership.markSuspected(now))
        failForwards(now, it);
    updateShare(now);
    failForwardsOfEndedLinks(now);
    resendForwards(now);
    m_claims.expire(now);
    if (now >= m_nextHeartbeat)
        sendHeartbeats(now);
    place(now);
}

void EntryVm::drain(TimePoint now)
{
    m_isDraining = true;
    sendHeartbeats(now);
}

bool EntryVm::isIdle() const
{
    return m_jobs.empty() && m_forwards.empty();
}

std::vector<Action> EntryVm::takeActions()
{
    return std::exchange(m_actions, {});
}

const Dispatcher &EntryVm::dispatcher() const
{
    return m_dispatcher;
}

const Membership &EntryVm::membership() const
{
    return m_membership;
}

const Configuration &EntryVm::configuration() const
{
    return m_configuration;
}

const ServiceLevelTracker &EntryVm::serviceLevelTracker() const
{
    return m_serviceLevelTracker;
}

void EntryVm::processRequest(TimePoint now, const Waiter &waiter, CallerRequest request)
{
    switch (request.kind) {
    case RequestKind::Submit:
        processSubmit(now, waiter, std::move(request));
        break;
    case RequestKind::Fetch:
        processFetch(now, waiter, request);
        break;
    case RequestKind::Cancel:
        processCancel(now, waiter, request);
        break;
    }
}

void EntryVm::processSubmit(TimePoint now, const Waiter &waiter, CallerRequest request)
{
    const auto &submission = request.submission;
    const auto refuse = [&](Reason reason, std::string detail) {
        reply(waiter, refusedAnswer(submission.key, {reason, std::move(detail), {}}));
    };
    const auto state = m_claims.state(now, {submission.team, submission.key}, submission.bodyHash);
    if (state == ClaimState::Conflict)
        refuse(Reason::KeyConflict, "key: it was used with a different request body");
    else if (state == ClaimState::TableFull)
        refuse(Reason::KeyMemoryFull, "key: VM " + m_options.self.name + " has no capacity for another key");
    else if (state == ClaimState::DatedInFuture)
        refuse(Reason::KeyMalformed, "key: its date is ahead of the clock of VM " + m_options.self.name);
    else if (state == ClaimState::Unclaimed || (state == ClaimState::Answered && faults().rerunsAnsweredKeys))
        acceptJob(now, waiter, std::move(request));
    else
        processFetch(now, waiter, request);
}

void EntryVm::processFetch(TimePoint now, const Waiter &waiter, const CallerRequest &request)
{
    const ClaimKey key{request.submission.team, request.submission.key};
    switch (m_claims.state(now, key, std::nullopt)) {
    case ClaimState::Answered:
        reply(waiter, *m_claims.findAnswer(key));
        break;
    case ClaimState::Open:
        if (request.wait)
            m_claims.addWaiter(key, waiter);
        else
            reply(waiter, pendingAnswer(key.key));
        break;
    case ClaimState::Expired:
        reply(waiter,
              unknownAnswer(key.key, Reason::KeyExpired,
                            "key: it has expired; its answer is no longer retained", {}));
        break;
    case ClaimState::MemoryLost:
        reply(waiter,
              unknownAnswer(
                  key.key, Reason::MemoryLost,
                  "key: VM " + m_options.self.name + " has lost its records from the date of this key", {}));
        break;
    default:
        reply(waiter, unknownAnswer(key.key, Reason::KeyNotKnown, "key: unknown to its home VM", {}));
        break;
    }
}

void EntryVm::processCancel(TimePoint now, const Waiter &waiter, const CallerRequest &request)
{
    if (const auto job = m_claims.findOpenJob({request.submission.team, request.submission.key})) {
        const auto &progress = m_jobs.at(*job);
        finishJob(now, *job, progress.failedAnswer(Reason::Cancelled, "cancelled by the caller"));
    }
    processFetch(now, waiter, request);
}

void EntryVm::acceptJob(TimePoint now, const Waiter &waiter, CallerRequest request)
{
    auto &submission = request.submission;
    if (m_isDraining) {
        const Refusal refusal{Reason::ShuttingDown, "VM " + m_options.self.name + " is shutting down",
                              now + drainRetryDelay};
        reply(waiter, refusedAnswer(submission.key, refusal));
        return;
    }
    if (m_hasStorageFailed) {
        reply(waiter, refusedAnswer(submission.key, {Reason::StorageFailed, storageFailedDetail(), {}}));
        return;
    }
    if (m_configuration.findEvacuation(m_options.self.failureDomain) != nullptr) {
        const Refusal refusal{Reason::DomainEvacuated,
                              "failure domain " + m_options.self.failureDomain + " is evacuated",
                              now + evacuationRetryDelay};
        m_serviceLevelTracker.jobRefused(now, submission.className, refusal.reason);
        reply(waiter, refusedAnswer(submission.key, refusal));
        return;
    }
    if (const auto refusal = m_dispatcher.refusal(now, submission)) {
        m_serviceLevelTracker.jobRefused(now, submission.className, refusal->reason);
        reply(waiter, refusedAnswer(submission.key, *refusal));
        return;
    }
    const JobId job = m_nextJob++;
    if (const auto *declaration = m_configuration.findClass(submission.className))
        m_serviceLevelTracker.jobAccepted(now, job, *declaration);
    const ClaimKey key{submission.team, submission.key};
    // After a power loss, recover() does not accept keys dated before the restart, whose records may be lost.
    // Keys without a date have no such cutoff, so their claims must be on disk before the job starts.
    const bool needsSync = !parseIdempotencyKey(key.key)->date && !faults().startsBeforeSync;
    m_claims.claim(key, submission.bodyHash, job);
    if (request.wait)
        m_claims.addWaiter(key, waiter);
    else
        reply(waiter, pendingAnswer(submission.key));
    auto record = std::make_shared<wire::ClaimJournalRecord>();
    toWire(submission, record->mutable_claim()->mutable_submission());
    record->mutable_claim()->set_claimed_at_us(microsecondsOf(now));
    const auto token = needsSync ? m_nextSyncToken++ : 0;
    m_actions.emplace_back(AppendClaimRecord{std::move(record), token});
    m_deadlines.insert({submission.deadline, job});
    m_jobs.emplace(job, JobProgress(std::move(submission), faults()));
    if (needsSync)
        m_awaitingSync.emplace(token, job);
    else
        enqueueJob(now, job);
}

void EntryVm::enqueueJob(TimePoint now, JobId job)
{
    m_dispatcher.add(now, job, m_jobs.at(job).submission());
    place(now);
}

void EntryVm::forward(TimePoint now, const std::string &home, CallerId caller, CallerRequest request)
{
    const auto ended = m_endedLinks.find(home);
    const bool isLinkEnded = ended != m_endedLinks.end() && ended->second <= now;
    if (!m_membership.isReachable(home) || isLinkEnded) {
        auto answer = unknownAnswer(request.submission.key, Reason::HomeUnreachable,
                                    "forward: VM " + home + " is unreachable", now + unreachableRetryDelay);
        if (faults().refusesWhenHomeUnreachable)
            answer.outcome = Outcome::Refused;
        reply({{}, 0, caller}, answer);
        return;
    }
    const auto deadline = request.kind == RequestKind::Submit
        ? request.submission.deadline + answerDeadlineMargin
        : now + fetchTimeout;
    const auto number = m_nextForward++;
    const auto it = m_forwards
                        .emplace(number,
                                 ForwardedRequest{home, caller, std::move(request), now + initialResendDelay,
                                                  initialResendDelay, deadline})
                        .first;
    sendForward(number, it->second);
}

void EntryVm::sendForward(std::uint64_t number, const ForwardedRequest &forward)
{
    const auto *status = m_membership.findStatus(forward.home);
    auto message = newMessage(status->incarnation);
    auto *request = message->mutable_forwarded_request();
    request->set_lowest_open(lowestOpenForward());
    request->set_request(number);
    request->set_kind(static_cast<std::uint32_t>(forward.request.kind));
    request->set_wait(forward.request.wait);
    toWire(forward.request.submission, request->mutable_submission());
    send(forward.home, std::move(message));
}

void EntryVm::handleForwardedRequest(TimePoint now, const wire::PeerMessage &message)
{
    const auto &forwarded = message.forwarded_request();
    auto submission = fromWire(forwarded.submission());
    if (!submission || forwarded.kind() >= requestKindNames.size())
        return;
    const auto kind = static_cast<RequestKind>(forwarded.kind());
    const bool isForThisHome = homeOfKey({submission->team, submission->key}) == m_options.self.name;
    if (!isForThisHome || (kind == RequestKind::Submit && submission->tasks.empty()))
        return;
    updateLowestOpenForward(message.sender(), message.incarnation(), forwarded.lowest_open());
    const auto &cache = m_forwardReplyCaches[message.sender()];
    if (forwarded.request() < cache.lowestOpen)
        return;
    const Waiter waiter{message.sender(), message.incarnation(), forwarded.request()};
    const auto known = cache.replies.find(forwarded.request());
    if (known != cache.replies.end() && !faults().dropsCachedRefusals) {
        reply(waiter, Answer(known->second));
        return;
    }
    processRequest(now, waiter, {kind, std::move(*submission), forwarded.wait()});
}

void EntryVm::handleForwardedAnswer(const wire::PeerMessage &message)
{
    const auto &forwarded = message.forwarded_answer();
    const auto it = m_forwards.find(forwarded.request());
    const auto answer = fromWire(forwarded.answer());
    if (it == m_forwards.end() || !answer || it->second.home != message.sender())
        return;
    const auto caller = it->second.caller;
    m_forwards.erase(it);
    reply({{}, 0, caller}, *answer);
}

void EntryVm::failForwards(TimePoint now, const std::string &home)
{
    for (auto it = m_forwards.begin(); it != m_forwards.end();) {
        if (it->second.home != home) {
            ++it;
            continue;
        }
        const auto forward = it->second;
        it = m_forwards.erase(it);
        reply({{}, 0, forward.caller},
              unknownAnswer(forward.request.submission.key, Reason::HomeUnreachable,
                            "forward: VM " + home + " became unreachable", now + unreachableRetryDelay));
    }
}

void EntryVm::failForwardsOfEndedLinks(TimePoint now)
{
    for (const auto &[vm, deadline] : m_endedLinks) {
        if (deadline <= now)
            failForwards(now, vm);
    }
}

void EntryVm::place(TimePoint now)
{
    failOverdueJobs(now);
    // The upstreams of a VM are those of its failure domain. Queued tasks wait for the restore or the
    // deadline.
    if (m_configuration.findEvacuation(m_options.self.failureDomain) != nullptr)
        return;
    const auto placements = m_dispatcher.place(now);
    std::map<JobId, std::vector<std::uint32_t>> started;
    for (const auto &it : placements)
        started[it.job].push_back(it.task);
    for (const auto &[job, tasks] : started) {
        auto record = std::make_shared<wire::ClaimJournalRecord>();
        const auto &submission = m_jobs.at(job).submission();
        record->mutable_intent()->set_team(submission.team);
        record->mutable_intent()->set_key(submission.key);
        record->mutable_intent()->mutable_tasks()->Add(tasks.begin(), tasks.end());
        m_actions.emplace_back(AppendClaimRecord{std::move(record), 0});
    }
    for (const auto &it : placements)
        startAttempt(it);
    failShedJobs(now);
    sendCapacityRequests(now);
}

void EntryVm::failShedJobs(TimePoint now)
{
    for (const auto job : m_dispatcher.takeShedJobs()) {
        const auto it = m_jobs.find(job);
        if (it == m_jobs.end())
            continue;
        auto answer = it->second.failedAnswer(
            Reason::DeadlineOutOfReach, "dispatch: the job can no longer be finished before its deadline");
        answer.retryAt =
            jitteredRetryTime(now + overloadRetryDelay, overloadRetryDelay, it->second.submission());
        finishJob(now, job, std::move(answer));
    }
}

void EntryVm::sendCapacityRequests(TimePoint now)
{
    for (const auto &it : m_dispatcher.capacityRequests(now)) {
        auto message = newMessage(0);
        toWire(it.request, message->mutable_capacity_request());
        send(it.vm, std::move(message));
    }
}

void EntryVm::handleCapacityRequest(TimePoint now, const wire::PeerMessage &message)
{
    const auto grant =
        m_dispatcher.lend(now, message.sender(), message.incarnation(), fromWire(message.capacity_request()));
    if (!grant)
        return;
    auto answer = newMessage(message.incarnation());
    toWire(*grant, answer->mutable_capacity_grant());
    send(message.sender(), std::move(answer));
    sendCapacityRequests(now);
}

void EntryVm::startAttempt(const Placement &placement)
{
    auto &progress = m_jobs.at(placement.job);
    progress.attemptStarted(placement.task, placement.attempt, placement.upstream);
    m_attempts.emplace(placement.attempt, OpenAttempt{placement.job, placement.task});
    const auto &submission = progress.submission();
    StartTask start;
    start.attempt = placement.attempt;
    start.upstream = placement.upstream;
    start.address = placement.address;
    start.port = placement.port;
    start.attemptName = m_options.self.name + "." + std::to_string(m_options.incarnation) + "."
        + std::to_string(placement.attempt);
    start.className = submission.className;
    start.payload = submission.tasks[placement.task].payload;
    start.deadline = submission.deadline;
    m_actions.emplace_back(std::move(start));
}

bool EntryVm::isAwaitingSync(JobId job) const
{
    return std::any_of(m_awaitingSync.begin(), m_awaitingSync.end(),
                       [job](const auto &it) { return it.second == job; });
}

void EntryVm::finishJob(TimePoint now, JobId job, Answer answer)
{
    // The claim is not on disk yet: after a power loss the key is unclaimed, and a resubmission runs the job.
    // No task has started, so the outcome "refused" stays correct in either case; "failed" would not.
    if (isAwaitingSync(job)) {
        answer.outcome = Outcome::Refused;
        answer.tasks.clear();
    }
    m_serviceLevelTracker.jobAnswered(now, job, answer);
    const auto it = m_jobs.find(job);
    const auto submission = it->second.submission();
    for (const auto attempt : it->second.openAttempts()) {
        m_attempts.erase(attempt);
        m_actions.emplace_back(StopTask{attempt});
    }
    m_dispatcher.remove(now, job);
    m_deadlines.erase({submission.deadline, job});
    m_jobs.erase(it);
    auto record = std::make_shared<wire::ClaimJournalRecord>();
    record->mutable_answer()->set_team(submission.team);
    record->mutable_answer()->set_key(submission.key);
    record->mutable_answer()->set_answered_at_us(microsecondsOf(now));
    toWire(answer, record->mutable_answer()->mutable_answer());
    m_actions.emplace_back(AppendClaimRecord{std::move(record), 0});
    for (const auto &waiter : m_claims.answer(now, {submission.team, submission.key}, answer))
        reply(waiter, answer);
}

void EntryVm::failOverdueJobs(TimePoint now)
{
    while (!faults().ignoresDeadlines && !m_deadlines.empty() && m_deadlines.begin()->deadline <= now) {
        const auto job = m_deadlines.begin()->job;
        finishJob(now, job,
                  m_jobs.at(job).failedAnswer(Reason::DeadlinePassed, "the deadline of the job passed"));
    }
}

void EntryVm::resendForwards(TimePoint now)
{
    for (auto it = m_forwards.begin(); it != m_forwards.end();) {
        auto &forward = it->second;
        if (forward.deadline <= now) {
            const Waiter waiter{{}, 0, forward.caller};
            const auto answer = unknownAnswer(forward.request.submission.key, Reason::HomeUnreachable,
                                              "forward: VM " + forward.home + " did not answer in time",
                                              now + unreachableRetryDelay);
            it = m_forwards.erase(it);
            reply(waiter, answer);
            continue;
        }
        if (forward.resendAt <= now) {
            forward.resendAfter *= 2;
            forward.resendAt = now + forward.resendAfter;
            sendForward(it->first, forward);
        }
        ++it;
    }
}

void EntryVm::sendHeartbeats(TimePoint now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (const auto &it : m_membership.peers()) {
        auto message = newMessage(0);
        auto *heartbeat = message->mutable_heartbeat();
        heartbeat->set_configuration_version(m_configuration.version);
        heartbeat->set_free_slots(m_dispatcher.freeSlots(now));
        heartbeat->set_queued_tasks(m_dispatcher.queuedTasks());
        heartbeat->set_leaving(m_isDraining);
        heartbeat->set_lowest_open(lowestOpenForward());
        send(it.name, std::move(message));
    }
}

void EntryVm::updateShare(TimePoint now)
{
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    std::vector<std::string> peers;
    for (const auto &it : m_options.vms) {
        if (it.failureDomain != m_options.self.failureDomain)
            continue;
        if (it.name == m_options.self.name)
            part = parts;
        else if (!mayHoldShare(now, it.name))
            continue;
        if (m_membership.isReachable(it.name))
            peers.push_back(it.name);
        ++parts;
    }
    m_dispatcher.setPeers(peers);
    m_dispatcher.setShare(now, part, parts);
}

bool EntryVm::mayHoldShare(TimePoint now, const std::string &vm) const
{
    const auto *status = m_membership.findStatus(vm);
    // This VM sends announcements to a peer until it is suspected; the last one is valid for the upstream
    // lease.
    // A peer that has not been seen yet may have received announcements until this VM started.
    const auto started = timePointOf(static_cast<std::int64_t>(m_options.incarnation));
    const auto lastMessageAt = std::max(status->lastMessageAt, started);
    return now < lastMessageAt + m_options.suspicionTimeout + m_options.upstreamLease;
}

void EntryVm::reply(const Waiter &waiter, const Answer &answer)
{
    if (waiter.vm.empty()) {
        const auto caller = waiter.request - (faults().misroutesAnswers && waiter.request > 1 ? 1 : 0);
        m_actions.emplace_back(AnswerCaller{caller, answer});
        return;
    }
    cacheReply(waiter, answer);
    auto message = newMessage(waiter.incarnation);
    message->mutable_forwarded_answer()->set_request(waiter.request);
    toWire(answer, message->mutable_forwarded_answer()->mutable_answer());
    send(waiter.vm, std::move(message));
}

void EntryVm::send(const std::string &vm, std::shared_ptr<wire::PeerMessage> message)
{
    m_actions.emplace_back(SendPeerMessage{vm, std::move(message)});
}

std::shared_ptr<wire::PeerMessage> EntryVm::newMessage(std::uint64_t receiverIncarnation) const
{
    auto message = std::make_shared<wire::PeerMessage>();
    message->set_sender(m_options.self.name);
    message->set_incarnation(m_options.incarnation);
    message->set_receiver_incarnation(receiverIncarnation);
    return message;
}

} // namespace Citronpitch
