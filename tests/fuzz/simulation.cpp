#include "fuzz/simulation.h"

#include "citronpitch/idempotencykey.h"

#include "wire/peer.pb.h"

#include <algorithm>

namespace Citronpitch {

namespace wire = citronpitch::wire;

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(50);
constexpr auto periodicSyncInterval = std::chrono::milliseconds(200);
constexpr auto renewalInterval = std::chrono::milliseconds(500);
constexpr auto upstreamLease = std::chrono::seconds(2);
constexpr auto clockSkew = std::chrono::seconds(2);
/// Less than half of the clock skew, so that the clocks of any two VMs differ by less than it.
constexpr auto maximumClockOffset = std::chrono::milliseconds(900);
constexpr auto maximumSyncDuration = std::chrono::milliseconds(8);
constexpr auto upstreamDelay = std::chrono::milliseconds(1);
constexpr auto maximumTaskDuration = std::chrono::milliseconds(800);
constexpr auto slowTaskDuration = std::chrono::seconds(6);
constexpr auto connectionLossDelay = std::chrono::milliseconds(300);
constexpr auto jobDeadline = std::chrono::seconds(15);
constexpr auto settleTime = std::chrono::seconds(45);
constexpr std::uint32_t keyCount = 24;
constexpr std::uint32_t keyKinds = 6;
constexpr std::uint32_t upstreamSlots = 3;

Configuration configuration()
{
    Configuration configuration;
    configuration.version = 1;
    configuration.classes.push_back({"casework", 990000, std::chrono::seconds(1), false});
    return configuration;
}

ClaimLimits claimLimits()
{
    ClaimLimits limits;
    limits.retention = std::chrono::seconds(40);
    limits.keyAge = std::chrono::seconds(60);
    limits.clockSkew = clockSkew;
    return limits;
}

} // namespace

Simulation::Simulation(const FaultInjection &faults)
    : m_faults(faults)
    , m_now(timePointOf(1'700'000'000'000'000))
{
    const std::vector<VmIdentity> identities{
        {"a1", "a", true}, {"a2", "a", true}, {"b1", "b", true}, {"c1", "c", true}, {"c2", "c", false}};
    for (const auto &it : identities) {
        m_vms.emplace_back();
        m_vms.back().identity = it;
    }
    m_upstreams = {{"ua1", "a"}, {"ua2", "a"}, {"ub1", "b"}, {"uc1", "c"}};
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        startVm(i);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        announceUpstream(i);
    advance(std::chrono::seconds(5));
}

void Simulation::submit(std::uint32_t vm, std::uint32_t key, std::uint32_t body, bool wait)
{
    request(vm, RequestKind::Submit, testJobOf(key, body), wait);
}

void Simulation::fetch(std::uint32_t vm, std::uint32_t key, bool wait)
{
    request(vm, RequestKind::Fetch, testJobOf(key, 0), wait);
}

void Simulation::cancel(std::uint32_t vm, std::uint32_t key)
{
    request(vm, RequestKind::Cancel, testJobOf(key, 0), true);
}

void Simulation::dropCaller()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        auto &callers = m_vms[i].callers;
        if (callers.empty())
            continue;
        const auto caller = callers.begin()->first;
        callers.erase(caller);
        m_oracle.callerDisconnected(caller);
        deliverEvent(i, m_vms[i].incarnation,
                     [caller](EntryVm &it, TimePoint) { it.callerDisconnected(caller); });
        return;
    }
}

void Simulation::cut(std::uint32_t from, std::uint32_t to, bool bothWays)
{
    ++m_counts.faults;
    const auto a = from % m_vms.size();
    const auto b = to % m_vms.size();
    m_cuts[{a, b}] = true;
    if (bothWays)
        m_cuts[{b, a}] = true;
}

void Simulation::heal()
{
    m_cuts.clear();
}

void Simulation::setLinks(const LinkQuality &quality)
{
    ++m_counts.faults;
    m_links = quality;
}

void Simulation::crash(std::uint32_t vm, CrashKind kind)
{
    crashVm(vm % m_vms.size(), kind);
}

void Simulation::crashAfter(std::uint32_t vm, std::uint32_t actions, CrashKind kind)
{
    auto &it = m_vms[vm % m_vms.size()];
    it.isCrashArmed = true;
    it.actionsUntilCrash = actions;
    it.armedCrash = kind;
}

void Simulation::restart(std::uint32_t vm)
{
    const auto i = vm % m_vms.size();
    if (!m_vms[i].entryVm)
        startVm(i);
}

void Simulation::pause(std::uint32_t vm)
{
    ++m_counts.faults;
    m_vms[vm % m_vms.size()].isPaused = true;
}

void Simulation::resume(std::uint32_t vm, bool ticksFirst)
{
    const auto i = vm % m_vms.size();
    auto &it = m_vms[i];
    if (!it.isPaused)
        return;
    it.isPaused = false;
    if (!it.entryVm)
        return;
    if (ticksFirst) {
        it.entryVm->tick(clockOf(it));
        executeActions(i);
    }
    const auto incarnation = it.incarnation;
    for (const auto &event : std::exchange(it.inbox, {}))
        deliverEvent(i, incarnation, event);
}

void Simulation::failDisk(std::uint32_t vm)
{
    ++m_counts.faults;
    m_vms[vm % m_vms.size()].disk.isFailing = true;
}

void Simulation::declareClass(std::uint32_t vm, bool isDeclared)
{
    ++m_counts.faults;
    const auto i = vm % m_vms.size();
    const auto declared = isDeclared ? configuration() : Configuration();
    deliverEvent(i, m_vms[i].incarnation,
                 [declared](EntryVm &it, TimePoint now) { it.setConfiguration(now, declared); });
}

void Simulation::setUpstream(std::uint32_t upstream, UpstreamMode mode)
{
    ++m_counts.faults;
    auto &it = m_upstreams[upstream % m_upstreams.size()];
    if (it.mode == UpstreamMode::Leaving)
        ++it.incarnation;
    it.mode = mode;
}

void Simulation::advance(Duration time)
{
    const auto until = m_now + time;
    while (!m_events.empty() && m_events.top().at <= until) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        ++m_counts.events;
        event.run();
    }
    m_now = until;
}

void Simulation::settle()
{
    heal();
    m_links = {};
    for (auto &it : m_upstreams) {
        it.incarnation += it.mode == UpstreamMode::Leaving ? 1 : 0;
        it.mode = UpstreamMode::Normal;
    }
    for (std::uint32_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].isCrashArmed = false;
        resume(i, true);
        restart(i);
        declareClass(i, true);
    }
    advance(settleTime);
    m_oracle.checkAllAnswered();
    for (const auto &it : m_vms) {
        if (!it.entryVm->isIdle())
            m_oracle.reportViolation("VM " + it.identity.name
                                     + " still has work after all faults were removed");
    }
}

const std::optional<std::string> &Simulation::violation() const
{
    return m_oracle.violation();
}

SimulationCounts Simulation::counts() const
{
    auto counts = m_counts;
    counts.starts = m_oracle.checkedStarts();
    counts.answers = m_oracle.checkedAnswers();
    return counts;
}

void Simulation::schedule(Duration after, std::function<void()> run)
{
    m_events.push({m_now + after, m_nextOrder++, std::move(run)});
}

JournalCompleteness Simulation::journalCompletenessOf(const Vm &vm) const
{
    const auto &disk = vm.disk;
    if (vm.incarnation == 0)
        return JournalCompleteness::Whole;
    if (!vm.identity.hasDataFolder || !disk.exists)
        return JournalCompleteness::Lost;
    return disk.lastBoot == vm.boot && !disk.isIncomplete ? JournalCompleteness::Whole
                                                          : JournalCompleteness::TailMayBeLost;
}

void Simulation::startVm(std::size_t vm)
{
    auto &it = m_vms[vm];
    it.clockOffset =
        it.identity.hasDataFolder ? randomDuration(2 * maximumClockOffset) - maximumClockOffset : Duration(0);
    const ClaimRecovery recovery{journalCompletenessOf(it), it.disk.records};
    const auto clock = static_cast<std::uint64_t>(microsecondsOf(clockOf(it)));
    it.incarnation = std::max(clock, it.incarnation + 1);
    EntryVmOptions options;
    options.self = it.identity;
    options.incarnation = it.incarnation;
    for (const auto &other : m_vms)
        options.vms.push_back(other.identity);
    options.claimLimits = claimLimits();
    options.faultInjection = m_faults;
    it.entryVm = std::make_unique<EntryVm>(options);
    it.entryVm->setConfiguration(clockOf(it), configuration());
    it.entryVm->recover(clockOf(it), recovery);
    it.disk = {true, false, false, it.entryVm->journalSnapshot(), 0, it.incarnation, it.boot};
    it.disk.synced = it.disk.records.size();
    if (!it.identity.hasDataFolder)
        it.disk = {};
    tickVm(vm, it.incarnation);
    syncPeriodically(vm, it.incarnation);
}

void Simulation::crashVm(std::size_t vm, CrashKind kind)
{
    auto &it = m_vms[vm];
    if (!it.entryVm)
        return;
    ++m_counts.faults;
    it.entryVm.reset();
    it.isPaused = false;
    it.isCrashArmed = false;
    it.inbox.clear();
    for (const auto &[caller, isWaiting] : it.callers)
        m_oracle.callerDisconnected(caller);
    it.callers.clear();
    std::erase_if(m_running, [&](const auto &running) { return running.second.vm == vm; });
    if (kind == CrashKind::ProcessKill)
        return;
    ++it.boot;
    const auto unsynced = it.disk.records.size() - it.disk.synced;
    it.disk.records.resize(it.disk.synced + m_random() % (unsynced + 1));
    if (kind == CrashKind::DataFolderLoss)
        it.disk = {false};
}

void Simulation::tickVm(std::size_t vm, std::uint64_t incarnation)
{
    if (!m_vms[vm].entryVm || m_vms[vm].incarnation != incarnation)
        return;
    if (!m_vms[vm].isPaused)
        deliverEvent(vm, incarnation, [](EntryVm &it, TimePoint now) { it.tick(now); });
    schedule(tickInterval, [this, vm, incarnation] { tickVm(vm, incarnation); });
}

void Simulation::syncPeriodically(std::size_t vm, std::uint64_t incarnation)
{
    auto &it = m_vms[vm];
    if (!it.entryVm || it.incarnation != incarnation)
        return;
    if (!it.isPaused)
        it.disk.synced = it.disk.records.size();
    schedule(periodicSyncInterval, [this, vm, incarnation] { syncPeriodically(vm, incarnation); });
}

void Simulation::announceUpstream(std::size_t upstream)
{
    const auto &from = m_upstreams[upstream];
    const auto first = m_random() % m_vms.size();
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        auto &vm = m_vms[(first + i) % m_vms.size()];
        if (vm.identity.failureDomain != from.failureDomain || !vm.entryVm || vm.isPaused)
            continue;
        UpstreamAnnouncement announcement;
        announcement.name = from.name;
        announcement.address = "127.0.0.1";
        announcement.port = static_cast<std::uint16_t>(upstream + 1);
        announcement.slots = upstreamSlots;
        announcement.incarnation = from.incarnation;
        announcement.leaving = from.mode == UpstreamMode::Leaving;
        announcement.leaseDeadline = clockOf(vm) + upstreamLease;
        deliverEvent((first + i) % m_vms.size(), vm.incarnation, [announcement](EntryVm &it, TimePoint now) {
            it.handleAnnouncement(now, announcement);
        });
        break;
    }
    schedule(renewalInterval, [this, upstream] { announceUpstream(upstream); });
}

void Simulation::deliverEvent(std::size_t vm, std::uint64_t incarnation, const VmEvent &event)
{
    auto &it = m_vms[vm];
    if (!it.entryVm || it.incarnation != incarnation)
        return;
    if (it.isPaused) {
        it.inbox.push_back(event);
        return;
    }
    event(*it.entryVm, clockOf(it));
    executeActions(vm);
}

void Simulation::request(std::uint32_t vm, RequestKind kind, const TestJob &testJob, bool wait)
{
    const auto i = vm % m_vms.size();
    if (!m_vms[i].entryVm)
        return;
    const auto caller = m_nextRequest++;
    m_vms[i].callers[caller] = true;
    m_oracle.requested(caller, kind, testJob, wait);
    CallerRequest request;
    request.kind = kind;
    request.wait = wait;
    auto &submission = request.submission;
    submission.team = "team";
    submission.key = testJob.key;
    submission.className = "casework";
    submission.deadline = m_now + jobDeadline;
    submission.idempotent = testJob.idempotent;
    submission.bodyHash = testJob.body + 1;
    for (std::uint32_t task = 0; task < testJob.tasks; ++task)
        submission.tasks.push_back({testJob.payload(task), {}, {}});
    deliverEvent(i, m_vms[i].incarnation,
                 [caller, request](EntryVm &it, TimePoint now) { it.handleRequest(now, caller, request); });
}

void Simulation::executeActions(std::size_t vm)
{
    auto &it = m_vms[vm];
    if (it.isExecuting)
        return;
    it.isExecuting = true;
    for (auto actions = it.entryVm->takeActions(); !actions.empty();) {
        for (const auto &action : actions) {
            if (!consumeAction(vm)) {
                it.isExecuting = false;
                return;
            }
            std::visit([&](const auto &a) { execute(vm, a); }, action);
        }
        actions = it.entryVm->takeActions();
    }
    it.isExecuting = false;
}

bool Simulation::consumeAction(std::size_t vm)
{
    auto &it = m_vms[vm];
    if (!it.isCrashArmed)
        return true;
    if (it.actionsUntilCrash > 0) {
        --it.actionsUntilCrash;
        return true;
    }
    crashVm(vm, it.armedCrash);
    return false;
}

void Simulation::execute(std::size_t vm, const StartTask &action)
{
    auto &it = m_vms[vm];
    if (it.disk.isIncomplete) {
        it.entryVm->attemptEnded(clockOf(it), action.attempt, {AttemptOutcome::NotSent, 0, {}});
        return;
    }
    m_running[action.attemptName] = {vm, action.payload};
    const auto upstream = static_cast<std::size_t>(action.port - 1);
    const auto mode = m_upstreams[upstream].mode;
    if (mode == UpstreamMode::Unreachable)
        endAttempt(vm, action, {AttemptOutcome::NotSent, 0, {}}, upstreamDelay);
    else if (mode == UpstreamMode::BreaksBeforeStart)
        endAttempt(vm, action, {AttemptOutcome::Broken, 0, {}}, upstreamDelay);
    else if (mode == UpstreamMode::Declines || mode == UpstreamMode::Leaving)
        endAttempt(vm, action, {AttemptOutcome::Declined, 503, {}}, 10 * upstreamDelay);
    else
        schedule(randomDuration(upstreamDelay),
                 [this, upstream, vm, action] { startAt(upstream, vm, action); });
}

void Simulation::startAt(std::size_t upstream, std::size_t vm, const StartTask &action)
{
    const auto running = std::count_if(m_running.begin(), m_running.end(), [&](const auto &it) {
        return it.first != action.attemptName && it.second.payload == action.payload;
    });
    m_oracle.started(action.payload, static_cast<std::uint32_t>(running));
    const AttemptResult success{AttemptOutcome::Answered, 200, expectedResult(action.payload)};
    switch (m_upstreams[upstream].mode) {
    case UpstreamMode::FailsEverything:
        endAttempt(vm, action, {AttemptOutcome::Answered, 500, "error"}, upstreamDelay);
        break;
    case UpstreamMode::BreaksAfterStart:
        endAttempt(vm, action, {AttemptOutcome::Broken, 0, {}}, connectionLossDelay);
        break;
    case UpstreamMode::Slow:
        endAttempt(vm, action, success, slowTaskDuration);
        break;
    case UpstreamMode::Silent:
        break;
    default:
        endAttempt(vm, action, success, randomDuration(maximumTaskDuration));
        break;
    }
}

void Simulation::endAttempt(std::size_t vm, const StartTask &action, const AttemptResult &result,
                            Duration after)
{
    const auto incarnation = std::stoull(action.attemptName.substr(action.attemptName.find('.') + 1));
    schedule(after, [this, vm, incarnation, action, result] {
        deliverEvent(vm, incarnation, [this, action, result](EntryVm &it, TimePoint now) {
            if (m_running.erase(action.attemptName) > 0)
                it.attemptEnded(now, action.attempt, result);
        });
    });
}

void Simulation::execute(std::size_t vm, const StopTask &action)
{
    auto &it = m_vms[vm];
    const auto name =
        it.identity.name + "." + std::to_string(it.incarnation) + "." + std::to_string(action.attempt);
    if (m_running.erase(name) > 0)
        it.entryVm->attemptEnded(clockOf(it), action.attempt, {AttemptOutcome::Broken, 0, {}});
}

void Simulation::execute(std::size_t vm, const AnswerCaller &action)
{
    if (m_vms[vm].callers.erase(action.caller) > 0 || m_faults.misroutesAnswers)
        m_oracle.answered(action.caller, action.answer);
}

void Simulation::execute(std::size_t vm, const SendPeerMessage &action)
{
    const auto to = indexOfVm(action.vm);
    const auto bytes = action.message->SerializeAsString();
    const bool isCut = m_cuts.contains({vm, to});
    if (isCut || chance(m_links.dropPercent))
        return;
    schedule(randomDuration(m_links.maximumDelay), [this, vm, to, bytes] { deliver(vm, to, bytes); });
    if (chance(m_links.duplicatePercent))
        schedule(randomDuration(10 * m_links.maximumDelay),
                 [this, vm, to, bytes] { deliver(vm, to, bytes); });
}

void Simulation::deliver(std::size_t from, std::size_t to, const std::string &bytes)
{
    if (m_cuts.contains({from, to}))
        return;
    wire::PeerMessage message;
    message.ParseFromString(bytes);
    deliverEvent(to, m_vms[to].incarnation,
                 [message](EntryVm &it, TimePoint now) { it.handlePeerMessage(now, message); });
}

void Simulation::execute(std::size_t vm, const AppendClaimRecord &action)
{
    auto &it = m_vms[vm];
    if (!it.identity.hasDataFolder) {
        if (action.syncToken != 0)
            it.entryVm->journalSynced(clockOf(it), action.syncToken);
        return;
    }
    if (it.disk.isIncomplete)
        return;
    if (it.disk.isFailing) {
        it.disk.isIncomplete = true;
        it.entryVm->storageFailed(clockOf(it));
        return;
    }
    it.disk.records.push_back(action.record->SerializeAsString());
    if (action.syncToken == 0)
        return;
    const auto size = it.disk.records.size();
    schedule(randomDuration(maximumSyncDuration),
             [this, vm, size, incarnation = it.incarnation, token = action.syncToken] {
                 auto &synced = m_vms[vm];
                 if (!synced.entryVm || synced.incarnation != incarnation || synced.disk.isIncomplete)
                     return;
                 synced.disk.synced = std::max(synced.disk.synced, size);
                 deliverEvent(vm, incarnation, [token](EntryVm &entryVm, TimePoint now) {
                     entryVm.journalSynced(now, token);
                 });
             });
}

TestJob Simulation::testJobOf(std::uint32_t key, std::uint32_t body)
{
    const auto n = key % keyCount;
    TestJob testJob{keyText(n), body % 2, 1 + (n + body % 2) % 4, false};
    testJob.idempotent = n % 5 == 0;
    return testJob;
}

const std::string &Simulation::keyText(std::uint32_t key)
{
    const auto it = m_keys.find(key);
    if (it != m_keys.end())
        return it->second;
    const auto kind = key % keyKinds;
    const auto &issuer = m_vms[key / keyKinds % m_vms.size()];
    const auto uuid = [&](TimePoint date) {
        return issueIdempotencyKey(issuer.identity.name, date, key, key);
    };
    std::string text = "order-" + std::to_string(key);
    if (kind == 1 || kind == 2)
        text = uuid(clockOf(issuer));
    else if (kind == 3)
        text = uuid(m_now).substr(issuer.identity.name.size() + 1);
    else if (kind == 4 && key > keyCount / 2)
        text = uuid(m_now + std::chrono::seconds(10));
    return m_keys.emplace(key, text).first->second;
}

std::size_t Simulation::indexOfVm(const std::string &name) const
{
    const auto it =
        std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &vm) { return vm.identity.name == name; });
    return static_cast<std::size_t>(it - m_vms.begin());
}

TimePoint Simulation::clockOf(const Vm &vm) const
{
    return m_now + vm.clockOffset;
}

Duration Simulation::randomDuration(Duration longest)
{
    return Duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest.count() + 1)));
}

bool Simulation::chance(std::uint32_t percent)
{
    return percent > 0 && m_random() % 100 < percent;
}

} // namespace Citronpitch
