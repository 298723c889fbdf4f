#include "soak/soakrun.h"

#include "support/endlesssenders.h"
#include "support/procstatus.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace Citronpitch {

namespace {

constexpr Duration submitPeriod = std::chrono::milliseconds(40);
constexpr Duration orderPeriod = std::chrono::milliseconds(700);
/// Orders beside losses of power follow each other almost without pause, so that writes wait for their sync.
constexpr Duration densePeriod = std::chrono::milliseconds(100);
constexpr Duration readPeriod = std::chrono::milliseconds(150);
constexpr Duration watchPeriod = std::chrono::milliseconds(50);
/// Time after which starts in an evacuated domain have ceased, as the settings of PlatformFleet say.
constexpr Duration evacuationBound = std::chrono::milliseconds(5000);
constexpr Duration evacuationTime = std::chrono::milliseconds(8000);
constexpr Duration timeBetweenEvacuations = std::chrono::milliseconds(1500);
/// Time after a fault of a link until the VMs have learned of an evacuation.
constexpr Duration linkRecovery = std::chrono::seconds(3);
/// Executors of domain "a" are the first ones.
constexpr std::size_t executorsInEvacuatedDomain = 2;
constexpr Duration checkPeriod = std::chrono::milliseconds(250);
/// A caller that got no clear answer sends its job again after this time, to another VM.
constexpr Duration retryTime = std::chrono::milliseconds(1300);
/// Callers wait well beyond their deadlines, so that a request that is never answered is seen.
constexpr Duration callerTimeout = std::chrono::seconds(10);
constexpr Duration operatorTimeout = std::chrono::seconds(1);
/// Orders of operators that got no clear answer are sent again after this time.
constexpr Duration orderAgainTime = std::chrono::milliseconds(300);
/// First service, recovery after the faults, and shutdown; generous, since the machine may be busy.
constexpr Duration longestRecovery = std::chrono::seconds(40);
constexpr Duration longestShutdown = std::chrono::seconds(12);
constexpr Duration shortestDownTime = std::chrono::milliseconds(100);
/// Time that syncs of recorded disks take longer, so that several writes wait for one.
constexpr std::chrono::milliseconds syncDelay{60};
constexpr std::size_t largestJob = 4;
constexpr int statusOk = 200;
constexpr int statusTimeout = 408;
constexpr int statusOverloaded = 429;
constexpr int statusUnavailable = 503;
constexpr int lowestError = 400;
constexpr int lowestServerError = 500;

constexpr const char *failedBody = R"({"State":"failed"})";
/// The first task of one in this many jobs crashes each executor that starts it.
constexpr std::uint64_t deadlyJobPeriod = 40;

/// Executors of two kinds, of which one job in three requires one each.
const std::vector<std::vector<std::string>> executorLabels{{"k0"}, {"k1"}, {"k0"}, {"k1"}, {"k0"}, {"k1"}};
/// Every other job may have only this many tasks on one executor.
constexpr unsigned limitPerExecutor = 1;

std::uint64_t numberOf(const std::string &task)
{
    return std::strtoull(task.substr(0, task.find('.')).c_str(), nullptr, 16);
}

/// Label that the executors of a job must have; empty if none is required.
std::string labelOf(std::uint64_t number)
{
    const auto kind = number % (executorLabels.size() / 2);
    return kind < 2 ? "k" + std::to_string(kind) : std::string();
}

bool isLimited(std::uint64_t number)
{
    return number % 2 == 1;
}

/// Clients outside of the limits: how many connections at a time, and for how long.
constexpr std::size_t hostileConnections = 4;
constexpr Duration hostilePeriod = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds longestHostileTime{500};
constexpr std::size_t hostileBytes = std::size_t{8} << 20;
/// Memory of the machines of VMs.
constexpr std::size_t machineBytes = std::size_t{256} << 20;

/// Whether @p status ends an operator's order; after a timeout or under load the operator asks elsewhere.
bool isRefusal(int status)
{
    return status >= lowestError && status < lowestServerError && status != statusTimeout
        && status != statusOverloaded;
}

} // namespace

SoakRun::SoakRun(const std::string &programs, const std::filesystem::path &folder, SoakPlan plan)
    : m_plan(std::move(plan))
    , m_fleet({programs + "/citronpitch-platform",
               folder,
               {"a", "b", "c", "d"},
               {"a", "b", "c"},
               {"a", "a", "b", "b", "c", "d"},
               true,
               nlohmann::json::object(),
               executorLabels,
               m_plan.losesPower ? programs + "/citronpitch-diskrecorder.so" : std::string(),
               syncDelay})
    , m_faultLog(folder / "faults.log")
    , m_client(m_io)
    , m_random(m_plan.seed)
    , m_states(m_fleet.vms())
    , m_isServing(m_fleet.vms())
    , m_isCurrent(m_fleet.vms())
{
    for (std::size_t i = 0; i < m_fleet.executors(); ++i) {
        m_fleet.executor(i).done = [this](const std::string &task) { m_ledger.done(task); };
        m_fleet.executor(i).started = [this, i](const std::string &task) {
            std::vector<std::string> others;
            for (std::size_t other = 0; other < m_fleet.executors(); ++other) {
                if (other != i && m_fleet.executor(other).isRunning(task))
                    others.push_back("executor " + std::to_string(other));
            }
            m_ledger.started(task, others);
            checkPlace(i, task);
            if (isDeadly(task))
                boost::asio::post(m_fleet.executorLoop(), [this, i] { m_fleet.executor(i).restart(); });
        };
        m_fleet.executor(i).crashed = [this](const auto &tasks) { m_ledger.crashed(tasks); };
    }
    m_fleet.startExecutors();
}

void SoakRun::run()
{
    every(submitPeriod, [this] { submitNext(); });
    every(m_plan.losesPower ? densePeriod : orderPeriod, [this] { orderNext(); });
    every(readPeriod, [this] { readNext(); });
    every(checkPeriod, [this] { evacuateNext(); });
    every(checkPeriod, [this] { checkEvacuation(); });
    every(watchPeriod, [this] { watchProcesses(); });
    every(hostilePeriod, [this] { sendHostileRequests(); });
    checkRecovery();
    m_io.run();
}

const SoakLedger &SoakRun::ledger() const
{
    return m_ledger;
}

void SoakRun::every(Duration period, const std::function<void()> &action)
{
    after(period, [this, period, action] {
        action();
        if (!m_isOver)
            every(period, action);
    });
}

void SoakRun::after(Duration time, const std::function<void()> &action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([timer, action](boost::system::error_code ec) {
        if (!ec)
            action();
    });
}

std::size_t SoakRun::draw(std::size_t limit)
{
    return m_random() % limit;
}

std::size_t SoakRun::drawEntry()
{
    return m_fleet.controls() + draw(m_fleet.vms() - m_fleet.controls());
}

TimePoint SoakRun::now() const
{
    return std::chrono::time_point_cast<Duration>(
        TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())));
}

void SoakRun::submitNext()
{
    Request request;
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(m_nextId++));
    request.id = id.data();
    request.tasks = static_cast<unsigned>(1 + draw(largestJob));
    request.vm = drawEntry();
    submit(std::move(request));
}

bool SoakRun::isDeadly(const std::string &task) const
{
    // A planned shutdown must not cut off requests, so nothing crashes beside it.
    return !m_plan.isPlannedOnly && numberOf(task) % deadlyJobPeriod == 0 && task.ends_with(".0.0.0");
}

void SoakRun::checkPlace(std::size_t executor, const std::string &task)
{
    const auto number = numberOf(task);
    const auto &labels = executorLabels[executor];
    const auto label = labelOf(number);
    if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end())
        m_ledger.fail("task " + task + " requires label " + label + " and started on executor "
                      + std::to_string(executor));
    unsigned running = 0;
    for (std::size_t i = 0; i < largestJob; ++i)
        running +=
            m_fleet.executor(executor).isRunning(task.substr(0, task.rfind('.') + 1) + std::to_string(i));
    if (isLimited(number) && running > limitPerExecutor)
        m_ledger.fail(std::to_string(running) + " tasks of the job of " + task + " run on executor "
                      + std::to_string(executor));
}

void SoakRun::sendHostileRequests()
{
    if (m_hostileRequests.valid()
        && m_hostileRequests.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        return;
    const auto inputs = endlessRequests();
    auto input = inputs[draw(inputs.size())];
    input.maximumBytes = hostileBytes;
    input.maximumTime = std::min(input.maximumTime, longestHostileTime);
    const auto endpoint = m_fleet.callers(drawEntry());
    m_hostileRequests = std::async(std::launch::async,
                                   [endpoint, input] { sendEndlessly(endpoint, input, hostileConnections); });
}

void SoakRun::submit(Request request)
{
    // As a balancer would: a VM that was seen to be gone or to shut down gets no new connections.
    for (std::size_t i = 0; i < m_fleet.vms() && m_states[request.vm].isEnding; ++i)
        request.vm = drawEntry();
    request.sentAt = now();
    m_ledger.submitted(request.id, request.tasks);
    auto job = platformJob(request.tasks);
    job["Steps"][0]["RequiredLabel"] = labelOf(numberOf(request.id));
    job["Steps"][0]["MaxPerServer"] = isLimited(numberOf(request.id)) ? limitPerExecutor : 0;
    auto sent = platformSubmission(request.id, job);
    sent.timeout = callerTimeout;
    m_client.send(m_fleet.callers(request.vm), sent,
                  [this, request](const ClientResponse &response) { ended(request, response); });
}

void SoakRun::ended(const Request &request, const ClientResponse &response)
{
    const bool isAnswered = response.outcome == ExchangeOutcome::Answered;
    const int status = isAnswered ? response.response.status : 0;
    if (status == statusOk && response.response.body == failedBody)
        m_ledger.failed(request.id);
    else
        m_ledger.answered(request.id, status);
    if (status == statusOk)
        m_isServing[request.vm] = true;
    if (!isAnswered && isCutByShutdown(request))
        m_ledger.cutOff(request.id, m_fleet.nameOf(request.vm));
    const bool isClear = isAnswered && status < lowestServerError;
    if (isClear || status == statusUnavailable || request.isSecond || m_isOver)
        return;
    auto again = request;
    again.isSecond = true;
    again.vm = drawEntry();
    after(retryTime, [this, again] { submit(again); });
}

bool SoakRun::isCutByShutdown(const Request &request) const
{
    // A connection that a VM closes while a request is on its way to it is no request that it took.
    const auto &state = m_states[request.vm];
    return m_plan.isPlannedOnly && request.sentAt < state.terminatedAt;
}

void SoakRun::orderNext()
{
    if (m_isOrderOpen)
        return;
    m_isOrderOpen = true;
    // Now and then an operator sends an order again that an other one has overtaken.
    if (m_version > 1 && draw(4) == 0) {
        order(1 + draw(m_version - 1));
        return;
    }
    ++m_version;
    m_ledger.ordered(m_version, platformConfiguration(m_version).dump());
    order(m_version);
}

void SoakRun::order(std::uint64_t version)
{
    ClientRequest request{"POST", "/config/replace", {}, platformConfiguration(version).dump()};
    request.timeout = operatorTimeout;
    m_client.send(
        m_fleet.control(draw(m_fleet.controls())), request, [this, version](const ClientResponse &response) {
            const auto status = response.outcome == ExchangeOutcome::Answered ? response.response.status : 0;
            if (status == statusOk) {
                m_ledger.accepted(now(), version);
                m_isOrderOpen = false;
                return;
            }
            if (isRefusal(status)) {
                m_ledger.orderRefused(version, status);
                m_isOrderOpen = false;
                return;
            }
            if (!m_isOver)
                after(orderAgainTime, [this, version] { order(version); });
        });
}

void SoakRun::evacuateNext()
{
    const auto wait = m_isEvacuated ? evacuationTime : timeBetweenEvacuations;
    if (!m_isLoaded || m_isOver || m_isEvacuationCallOpen || now() - m_evacuationChangedAt < wait)
        return;
    m_isEvacuationCallOpen = true;
    m_startsInEvacuatedDomain.reset();
    callEvacuation(!m_isEvacuated);
}

void SoakRun::callEvacuation(bool isStart)
{
    ClientRequest request{"POST", isStart ? "/evacuation/a/start" : "/evacuation/a/finish", {}, {}};
    request.timeout = operatorTimeout;
    m_client.send(
        m_fleet.control(draw(m_fleet.controls())), request, [this, isStart](const ClientResponse &response) {
            const bool isAnswered = response.outcome == ExchangeOutcome::Answered;
            if (isAnswered && response.response.status == statusOk) {
                m_isEvacuationCallOpen = false;
                m_isEvacuated = isStart;
                m_evacuationChangedAt = now();
                return;
            }
            if (isAnswered && isRefusal(response.response.status))
                m_ledger.fail("evacuation: answered with " + std::to_string(response.response.status));
            if (!m_isOver)
                after(orderAgainTime, [this, isStart] { callEvacuation(isStart); });
        });
}

void SoakRun::checkEvacuation()
{
    const bool isInForce = m_isEvacuated && !m_isEvacuationCallOpen
        && now() - m_evacuationChangedAt >= evacuationBound && now() >= m_linksFaultyUntil;
    if (!isInForce) {
        m_startsInEvacuatedDomain.reset();
        return;
    }
    const auto starts = startsInEvacuatedDomain();
    if (m_startsInEvacuatedDomain && starts != *m_startsInEvacuatedDomain)
        m_ledger.fail("evacuation: " + std::to_string(starts - *m_startsInEvacuatedDomain)
                      + " starts after the bound");
    m_startsInEvacuatedDomain = starts;
}

unsigned SoakRun::startsInEvacuatedDomain()
{
    unsigned n = 0;
    for (std::size_t i = 0; i < executorsInEvacuatedDomain; ++i)
        n += m_fleet.executor(i).starts();
    return n;
}

void SoakRun::readNext()
{
    const auto vm = draw(m_fleet.controls());
    const auto life = m_states[vm].life;
    const auto sentAt = now();
    ClientRequest request{"GET", "/config/read"};
    request.timeout = operatorTimeout;
    m_client.send(m_fleet.control(vm), request, [this, vm, life, sentAt](const ClientResponse &response) {
        if (response.outcome != ExchangeOutcome::Answered || response.response.status != statusOk)
            return;
        if (life == m_states[vm].life)
            m_ledger.read(sentAt, m_fleet.nameOf(vm), life, response.response.body);
        m_isCurrent[vm] = m_ledger.isNewest(response.response.body);
    });
}

void SoakRun::inject(const SoakStep &step)
{
    if (m_isOver || !m_isLoaded)
        return;
    note(step);
    switch (step.fault) {
    case SoakFault::RestartExecutor:
    case SoakFault::SilenceExecutor:
    case SoakFault::MuteExecutor:
    case SoakFault::DelayStarts:
        injectIntoExecutor(step);
        return;
    default:
        injectIntoVm(step);
    }
}

void SoakRun::note(const SoakStep &step)
{
    const auto sinceMidnight = std::chrono::system_clock::now().time_since_epoch() % std::chrono::hours(24);
    const std::chrono::hh_mm_ss time(std::chrono::floor<std::chrono::milliseconds>(sinceMidnight));
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d", static_cast<int>(time.hours().count()),
                  static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
                  static_cast<int>(time.subseconds().count()));
    m_faultLog << text.data() << " " << enumName(soakFaultNames, step.fault) << " vm "
               << step.target % m_fleet.vms() << " executor " << step.target % m_fleet.executors() << " "
               << step.time / std::chrono::milliseconds(1) << " ms" << std::endl;
}

void SoakRun::injectIntoVm(const SoakStep &step)
{
    const auto vm = step.target % m_fleet.vms();
    auto &state = m_states[vm];
    switch (step.fault) {
    case SoakFault::DelayLinks:
    case SoakFault::ResetLinks:
    case SoakFault::SilenceLinks:
    case SoakFault::RefuseLinks:
        m_linksFaultyUntil = std::max(m_linksFaultyUntil, now() + step.time + linkRecovery);
        break;
    default:
        break;
    }
    const auto links = [this, vm]() -> FaultPlan & { return m_fleet.linkProxy(vm).faults(); };
    switch (step.fault) {
    case SoakFault::Kill:
        kill(vm, step.time);
        return;
    case SoakFault::KillControl:
        for (std::size_t i = 0; i < m_fleet.controls(); ++i)
            kill(i, step.time / 2);
        return;
    case SoakFault::LosePower:
        losePower(step);
        return;
    case SoakFault::LoseDisk:
        // A fleet of this size bears the loss of one disk, and it is not seen here when that is made up for.
        if (!m_fleet.isControl(vm) || state.isEnding || std::exchange(m_hasLostDisk, true))
            return;
        state.hasLostDisk = true;
        kill(vm, step.time);
        return;
    case SoakFault::Terminate:
        if (state.isEnding || state.isPaused)
            return;
        state.isEnding = true;
        state.terminatedAt = now();
        m_fleet.process(vm).signal(SIGTERM);
        return;
    case SoakFault::Pause:
        if (state.isEnding || std::exchange(state.isPaused, true))
            return;
        m_fleet.process(vm).signal(SIGSTOP);
        after(step.time, [this, vm, life = state.life] {
            if (m_states[vm].life == life && std::exchange(m_states[vm].isPaused, false))
                m_fleet.process(vm).signal(SIGCONT);
        });
        return;
    case SoakFault::DelayLinks:
        links().delayMicroseconds = step.time.count() / 20;
        after(step.time, [links] { links().delayMicroseconds = 0; });
        return;
    case SoakFault::ResetLinks:
        m_fleet.linkProxy(vm).closeAll();
        return;
    case SoakFault::SilenceLinks:
        links().swallowToServer = true;
        after(step.time, [links] { links().swallowToServer = false; });
        return;
    case SoakFault::RefuseLinks:
        links().refuse = true;
        m_fleet.linkProxy(vm).closeAll();
        after(step.time, [links] { links().refuse = false; });
        return;
    default:
        return;
    }
}

void SoakRun::injectIntoExecutor(const SoakStep &step)
{
    const auto number = step.target % m_fleet.executors();
    auto &executor = m_fleet.executor(number);
    auto &proxy = m_fleet.executorProxy(number).faults();
    const auto onExecutor = [this](const std::function<void()> &action) {
        boost::asio::post(m_fleet.executorLoop(), action);
    };
    switch (step.fault) {
    case SoakFault::RestartExecutor:
        onExecutor([&executor] { executor.restart(); });
        return;
    case SoakFault::SilenceExecutor:
        proxy.swallowToServer = true;
        after(step.time, [&proxy] { proxy.swallowToServer = false; });
        return;
    case SoakFault::MuteExecutor:
        proxy.swallowToClient = true;
        after(step.time, [&proxy] { proxy.swallowToClient = false; });
        return;
    default:
        onExecutor([&executor, delay = step.time] { executor.delayStarts(delay); });
        after(step.time, [onExecutor, &executor] {
            onExecutor([&executor] { executor.delayStarts(Duration::zero()); });
        });
    }
}

void SoakRun::kill(std::size_t vm, Duration downTime)
{
    auto &state = m_states[vm];
    if (std::exchange(state.isEnding, true))
        return;
    m_fleet.process(vm).signal(SIGKILL);
    m_fleet.process(vm).wait();
    if (state.hasLostDisk)
        m_fleet.loseDisk(vm);
    after(std::max(downTime, shortestDownTime), [this, vm] { restart(vm); });
}

void SoakRun::losePower(const SoakStep &step)
{
    const auto lost = step.target % m_fleet.controls();
    const bool isDiskDrawn = step.target / m_fleet.controls() % 2 == 0;
    // The rule of LoseDisk: one disk in a run.
    const bool losesDisk = isDiskDrawn && !m_states[lost].isEnding && !m_hasLostDisk;
    if (losesDisk) {
        m_hasLostDisk = true;
        m_states[lost].hasLostDisk = true;
    }
    for (std::size_t i = 0; i < m_fleet.controls(); ++i) {
        auto &state = m_states[i];
        // A process that is ending by itself is killed, too; the others that end were killed already.
        if (state.terminatedAt != TimePoint() && !m_fleet.process(i).hasEnded()) {
            state.terminatedAt = {};
            state.isEnding = false;
        }
        kill(i, step.time / 2);
    }
    std::mt19937_64 random(step.target);
    for (std::size_t i = 0; i < m_fleet.controls(); ++i) {
        const auto loss = powerLossNames[random() % powerLossNames.size()];
        const auto seed = random();
        if (losesDisk && i == lost) {
            m_faultLog << "  " << m_fleet.nameOf(i) << " loses its disk" << std::endl;
            continue;
        }
        const auto unsynced = m_fleet.losePower(i, loss.value, seed);
        m_faultLog << "  " << m_fleet.nameOf(i) << " " << loss.name << " of " << unsynced
                   << " unsynced writes and renames" << std::endl;
    }
}

void SoakRun::restart(std::size_t vm)
{
    auto &state = m_states[vm];
    const auto life = state.life + 1;
    state = {};
    state.life = life;
    m_fleet.start(vm, false);
}

void SoakRun::watchProcesses()
{
    for (std::size_t i = 0; i < m_fleet.vms() && !m_isOver; ++i) {
        auto &state = m_states[i];
        if (!m_fleet.process(i).hasEnded()) {
            if (const auto bytes = peakResidentBytes(m_fleet.process(i).id()); bytes > machineBytes)
                m_ledger.fail(m_fleet.nameOf(i) + " held " + std::to_string(bytes) + " bytes");
            continue;
        }
        if (!state.isEnding) {
            m_ledger.fail(m_fleet.nameOf(i) + " ended by itself, with code "
                          + std::to_string(m_fleet.process(i).wait()));
            state.isEnding = true;
            restart(i);
        } else if (state.terminatedAt != TimePoint()) {
            if (const int code = m_fleet.process(i).wait(); code != 0)
                m_ledger.fail(m_fleet.nameOf(i) + " ended its shutdown with code " + std::to_string(code));
            restart(i);
        }
    }
}

void SoakRun::checkRecovery()
{
    m_isServing.assign(m_fleet.vms(), false);
    m_isCurrent.assign(m_fleet.vms(), false);
    const auto deadline = now() + longestRecovery;
    // Runs until everything serves; then the faults begin, or the run ends.
    const auto look = std::make_shared<std::function<void()>>();
    *look = [this, deadline, look] {
        const bool isLate = now() >= deadline;
        if (!isRecovered() && !isLate) {
            after(checkPeriod, *look);
            return;
        }
        if (isLate)
            m_ledger.fail(m_isLoaded ? "no recovery after the faults" : "no service after the start");
        if (m_isLoaded || isLate) {
            shutDown();
            return;
        }
        m_isLoaded = true;
        for (const auto &it : m_plan.steps)
            after(it.at, [this, it] { inject(it); });
        after(m_plan.length, [this] { endFaults(); });
    };
    (*look)();
}

bool SoakRun::isRecovered()
{
    for (std::size_t i = 0; i < m_fleet.vms(); ++i) {
        if (m_states[i].isEnding || !(m_fleet.isControl(i) ? m_isCurrent[i] : m_isServing[i]))
            return false;
    }
    return true;
}

void SoakRun::endFaults()
{
    // Faults that last end by their own timers, at most one fault's time from now.
    m_isServing.assign(m_fleet.vms(), false);
    checkRecovery();
}

void SoakRun::shutDown()
{
    m_isOver = true;
    for (std::size_t i = m_fleet.vms(); i > 0; --i) {
        m_fleet.process(i - 1).signal(SIGCONT);
        m_fleet.process(i - 1).signal(SIGTERM);
    }
    const auto deadline = now() + longestShutdown;
    const auto look = std::make_shared<std::function<void()>>();
    *look = [this, deadline, look] {
        std::size_t running = 0;
        for (std::size_t i = 0; i < m_fleet.vms(); ++i)
            running += m_fleet.process(i).hasEnded() ? 0 : 1;
        if (running > 0 && now() < deadline) {
            after(checkPeriod, *look);
            return;
        }
        if (running > 0)
            m_ledger.fail(std::to_string(running) + " processes did not end when asked to");
        m_io.stop();
    };
    (*look)();
}

} // namespace Citronpitch
