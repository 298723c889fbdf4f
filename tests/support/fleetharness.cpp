#include "support/fleetharness.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace Citronpitch {

using std::chrono::milliseconds;

namespace {

constexpr Duration step = milliseconds(1);
constexpr Duration tickInterval = milliseconds(10);
constexpr Duration announcementInterval = milliseconds(1500);
constexpr Duration announcementLease = std::chrono::seconds(6);
constexpr Duration handoverTimeout = milliseconds(1500);
constexpr Duration toleratedMessageDelay = milliseconds(20);
constexpr unsigned maximumSubmissions = 4;
constexpr unsigned thousand = 1000;
constexpr int upstreamsPerDomain = 3;
constexpr std::uint64_t slowUpstreamFactor = 5;
constexpr std::uint64_t faultKinds = 14;

} // namespace

FleetHarness::FleetHarness(std::uint64_t seed, int domains, std::optional<Duration> taskTime)
    : m_random(seed)
    , m_domains(domains)
{
    for (int i = 0; i < domains; ++i) {
        const auto n = std::to_string(i);
        for (const auto *role : {"e", "c", "b"}) {
            auto &vm = m_vms[role + n];
            vm.self = {role + n, *role == 'e' ? VmRole::Entry : VmRole::Control, "d" + n, 0};
            m_names.push_back(role + n);
        }
        m_holders["d" + n] = {"d" + n, "c" + n, 1, ++m_lastFence};
        for (int j = 0; j < upstreamsPerDomain; ++j) {
            SimulatedUpstreamOptions options;
            options.name = "u" + n + "." + std::to_string(j);
            // Runs that are still in progress when callers retry are on slow upstreams.
            const auto slowdown = random(2) == 0 ? 1U : slowUpstreamFactor;
            options.taskTime = taskTime.value_or(milliseconds((60 + random(840)) * slowdown));
            options.clockRate = random(2) == 0 ? 1000 : 980;
            auto &it = m_upstreams[options.name];
            it = std::make_unique<SimulatedUpstream>(m_now, options);
            it->onStarted = [this, name = options.name](const std::string &task) {
                ++starts[task];
                trace(name + " starts " + task);
            };
        }
    }
    for (auto &[name, vm] : m_vms)
        boot(vm);
    advance(std::chrono::seconds(1));
}

Duration FleetHarness::delay()
{
    return milliseconds(1 + random(3));
}

std::uint64_t FleetHarness::random(std::uint64_t below)
{
    return m_random() % below;
}

void FleetHarness::at(TimePoint time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

void FleetHarness::trace(const std::string &text) const
{
    if (isTraced)
        std::printf("%8.3f %s\n", std::chrono::duration<double>(m_now.time_since_epoch()).count() - thousand,
                    text.c_str());
}

void FleetHarness::boot(Vm &vm)
{
    auto self = vm.self;
    ++self.incarnation;
    vm = {};
    vm.self = self;
    vm.isUp = true;
    PeerDirectoryOptions options;
    options.self = self;
    for (const auto &[name, it] : m_vms) {
        if (it.self.role == VmRole::Control)
            options.seeds.push_back(name);
    }
    vm.directory = std::make_unique<PeerDirectory>(options);
    if (self.role == VmRole::Entry)
        vm.router = std::make_unique<JobRouter>(JobRouterOptions{.domain = self.domain, .seed = m_random()});
    else
        vm.crashes = std::make_unique<CrashLedger>();
    vm.nextTickAt = m_now + tickInterval;
    configure(vm);
}

void FleetHarness::turn(Vm &vm)
{
    if (!vm.isUp || m_now < vm.nextTurnAt)
        return;
    const auto handle = [&](std::deque<std::function<void()>> &inputs) {
        for (const auto &it : std::exchange(inputs, {}))
            it();
    };
    const bool isTickDue = m_now >= vm.nextTickAt;
    // Sockets and the timer that are ready in the same turn are handled in any order.
    const auto order = random(6);
    for (std::uint64_t i = 0; i < 3; ++i) {
        switch ((order % 3 + (order < 3 ? i : 3 - i)) % 3) {
        case 0:
            handle(vm.messages);
            break;
        case 1:
            handle(vm.answers);
            break;
        default:
            if (isTickDue)
                tick(vm);
        }
    }
    vm.nextTurnAt = m_now + (m_now < vm.slowUntil ? vm.turn : step);
}

void FleetHarness::tick(Vm &vm)
{
    vm.lag.timerHandled(vm.nextTickAt, m_now);
    vm.nextTickAt = m_now + tickInterval;
    if (m_now >= vm.nextHeartbeatAt)
        sendHeartbeats(vm);
    vm.directory->tick(m_now);
    reportChanges(vm);
    if (vm.router) {
        vm.router->tick(m_now);
        execute(vm);
        return;
    }
    for (auto it = vm.takeovers.begin(); it != vm.takeovers.end();) {
        const auto &[group, takeover] = *it;
        const auto &previous = takeover.previousHolder;
        const auto own = vm.groups.find(group);
        const bool hasEnded = previous == vm.self.name
            ? own == vm.groups.end() || own->second->isIdle()
            : !vm.directory->isAlive(previous) || !vm.reportedGroups[previous].contains(group);
        if (hasEnded || m_now >= takeover.deadline) {
            takeOver(vm, group, takeover.fence);
            it = vm.takeovers.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &[group, it] : vm.groups) {
        it->setOverloaded(vm.lag.isOverloaded());
        it->tick(m_now, vm.lag.lag(m_now));
    }
    std::erase_if(vm.groups, [&](const auto &it) {
        return vm.holders.at(it.first).fence > it.second->fence() && it.second->isIdle();
    });
    for (const auto &[to, numbers] : std::exchange(vm.receipts, {}))
        send(vm, to, [from = vm.self.name, numbers = numbers, this](Vm &receiver, Duration) {
            receiver.router->partsReceived(m_now, from, numbers);
        });
    for (const auto &crash : vm.crashes->takeNews()) {
        for (const auto &[name, peer] : vm.directory->peers()) {
            if (peer.isAlive && peer.peer.role == VmRole::Control)
                send(vm, name, [crash](Vm &receiver, Duration) { receiver.crashes->merge(crash); });
        }
    }
    execute(vm);
}

void FleetHarness::sendHeartbeats(Vm &vm)
{
    vm.nextHeartbeatAt = m_now + vm.directory->heartbeatInterval();
    std::vector<GroupLoad> loads;
    for (const auto &[group, it] : vm.groups)
        loads.push_back(it->load(m_now));
    const auto lowestOpen = vm.router ? vm.router->lowestOpenJob() : 0;
    const auto body = [this, self = vm.self, loads, lowestOpen,
                       controlVms = vm.directory->controlVms()](Vm &receiver, Duration) {
        receiver.directory->heartbeatReceived(m_now, self, false, controlVms);
        reportChanges(receiver);
        if (receiver.router) {
            if (!receiver.directory->isAlive(self.name))
                return;
            receiver.router->holderAlive(self.name, self.incarnation, false);
            receiver.router->loadReported(m_now, self.name, loads);
            return;
        }
        receiver.reportedGroups[self.name].clear();
        for (const auto &it : loads)
            receiver.reportedGroups[self.name].insert(it.group);
        for (const auto &[group, it] : receiver.groups) {
            if (self.role == VmRole::Entry)
                it->cancelAbandoned(m_now, self.name, self.incarnation, lowestOpen);
        }
    };
    for (const auto &it : vm.directory->heartbeatTargets())
        send(vm, it, body, true);
}

void FleetHarness::reportChanges(Vm &vm)
{
    for (const auto &it : vm.directory->takeChanges()) {
        trace(vm.self.name + (it.isAlive ? " reaches " : " suspects ") + it.peer.name);
        if (it.isAlive)
            continue;
        if (vm.router)
            vm.router->holderUnreachable(m_now, it.peer.name);
        vm.reportedGroups.erase(it.peer.name);
        vm.receipts.erase(it.peer.name);
        for (const auto &[group, dispatcher] : vm.groups)
            dispatcher->entryVmUnreachable(m_now, it.peer.name);
    }
}

bool FleetHarness::send(Vm &from, const std::string &to, Body body, bool isHeartbeat)
{
    const std::pair link(from.self.name, to);
    auto arrival = m_now + delay();
    if (const auto it = m_cuts.find(link); it != m_cuts.end() && it->second.first > m_now) {
        if (it->second.second)
            return true;
        arrival = it->second.first + milliseconds(random(200));
    }
    auto &last = m_lastArrivals[link];
    last = arrival = std::max(arrival, last);
    const auto *peer = from.directory->find(to);
    const auto receiverIncarnation = peer == nullptr ? 0 : peer->peer.incarnation;
    const auto echoedAt = peer == nullptr ? 0 : peer->sentAt;
    auto &receiver = m_vms.at(to);
    at(arrival, [=, this, &receiver, sender = from.self, sentAt = microsecondsOf(m_now)] {
        if (!receiver.isUp)
            return;
        receiver.messages.emplace_back([=, this, &receiver] {
            const bool isForThis = receiverIncarnation == receiver.self.incarnation;
            if (!receiver.directory->messageReceived(m_now, sender.name, sender.incarnation, sentAt,
                                                     isForThis ? timePointOf(echoedAt) : TimePoint())
                || (!isHeartbeat && !isForThis))
                return;
            reportChanges(receiver);
            body(receiver, receiver.directory->messageDelay(sender.name).value_or(std::chrono::hours(1)));
            execute(receiver);
        });
    });
    return receiver.isUp;
}

void FleetHarness::configure(Vm &vm)
{
    const auto previous = std::exchange(vm.holders, m_holders);
    std::vector<GroupHolder> list;
    for (const auto &[group, it] : m_holders) {
        list.push_back(it);
        if (vm.router)
            continue;
        const auto current = vm.groups.find(group);
        if (current != vm.groups.end() && current->second->fence() < it.fence)
            current->second->close(m_now);
        if (it.vm != vm.self.name || it.incarnation != vm.self.incarnation) {
            vm.takeovers.erase(group);
            continue;
        }
        const bool isHeld = current != vm.groups.end() && current->second->fence() == it.fence;
        if (isHeld || (vm.takeovers.contains(group) && vm.takeovers[group].fence == it.fence))
            continue;
        const auto before = previous.find(group);
        if (before == previous.end())
            takeOver(vm, group, it.fence);
        else
            vm.takeovers[group] = {it.fence, before->second.vm, m_now + handoverTimeout};
    }
    if (vm.router)
        vm.router->setHolders(list);
    execute(vm);
}

void FleetHarness::takeOver(Vm &vm, const std::string &group, std::uint64_t fence)
{
    trace(vm.self.name + " takes over " + group);
    GroupDispatcherOptions options;
    options.group = group;
    options.fence = fence;
    options.nameTask = [](const std::string &key, std::uint32_t task) {
        return key + "." + std::to_string(task);
    };
    auto &it = vm.groups[group];
    it = std::make_unique<GroupDispatcher>(std::move(options), *vm.crashes);
    it->setClasses({{"work", 990'000, std::chrono::seconds(2)}});
    announceAll(vm, group);
}

void FleetHarness::announceAll(Vm &vm, const std::string &group)
{
    for (const auto &[name, model] : m_upstreams) {
        if (group != "d" + name.substr(1, name.find('.') - 1) || isCut(name, vm.self.name))
            continue;
        FleetAnnouncement announcement;
        announcement.upstream.name = name;
        announcement.upstream.address = "10.0.0.1";
        announcement.upstream.port = 1;
        announcement.upstream.slots = 2;
        announcement.upstream.incarnation = model->incarnation();
        announcement.upstream.leaseDeadline = m_now + announcementLease;
        announcement.domain = group;
        announcement.pool = "pool";
        announcement.sequence = ++m_sequence;
        announcement.clockMs = model->clockMs(m_now);
        vm.messages.emplace_back([this, &vm, group, announcement] {
            if (const auto it = vm.groups.find(group); it != vm.groups.end())
                it->second->announce(m_now, announcement);
            execute(vm);
        });
    }
}

void FleetHarness::execute(Vm &vm)
{
    if (vm.router) {
        executeRouter(vm);
        return;
    }
    for (const auto &[group, it] : vm.groups) {
        for (const auto &action : it->takeActions()) {
            if (const auto *order = std::get_if<RunOrder>(&action))
                sendOrder(vm, group, *order);
            else if (const auto *finished = std::get_if<FinishedJob>(&action))
                finish(vm, *finished);
            else if (const auto *reserved = std::get_if<ReservedJob>(&action))
                send(vm, reserved->origin.vm,
                     [this, from = vm.self.name, n = reserved->origin.number](Vm &receiver, Duration) {
                         receiver.router->partReserved(m_now, from, n);
                     });
            else if (const auto *lost = std::get_if<LostRun>(&action))
                trace(vm.self.name + " lost " + lost->task + " run " + std::to_string(lost->run) + " on "
                      + lost->upstream + ": " + std::string(enumName(runLossNames, lost->loss)));
        }
    }
}

void FleetHarness::finish(Vm &vm, const FinishedJob &finished)
{
    send(vm, finished.origin.vm, [this, from = vm.self.name, finished](Vm &receiver, Duration) {
        receiver.router->holderAnswered(m_now, from, finished.origin.number, finished.answer);
    });
}

void FleetHarness::executeRouter(Vm &vm)
{
    for (auto actions = vm.router->takeActions(); !actions.empty(); actions = vm.router->takeActions()) {
        for (const auto &action : actions) {
            if (const auto *job = std::get_if<SendJob>(&action)) {
                const auto remaining = job->job.submission.deadline - m_now;
                const auto body = [this, routed = job->job, group = job->group, remaining,
                                   origin = JobOrigin{vm.self.name, vm.self.incarnation,
                                                      job->job.origin.number}](Vm &receiver, Duration age) {
                    auto copy = routed;
                    copy.origin = origin;
                    copy.age = age;
                    copy.submission.deadline =
                        m_now + remaining - (age > toleratedMessageDelay ? age : Duration());
                    const auto it = receiver.groups.find(group);
                    if (it != receiver.groups.end()) {
                        if (!copy.reserve)
                            receiver.receipts[origin.vm].push_back(origin.number);
                        it->second->submit(m_now, copy);
                        return;
                    }
                    Answer refused;
                    refused.outcome = Outcome::Refused;
                    refused.reason = Reason::ShuttingDown;
                    finish(receiver, {origin, copy.isResent ? formerHolderAnswer() : refused});
                };
                trace(vm.self.name + " sends " + job->job.submission.key + " to " + job->vm + " for "
                      + job->group + ", number " + std::to_string(job->job.origin.number) + ", tasks from "
                      + std::to_string(job->job.firstTask) + (job->job.isResent ? ", resent" : ""));
                if (!send(vm, job->vm, body))
                    vm.router->sendFailed(m_now, job->job.origin.number);
            } else if (const auto *start = std::get_if<SendStart>(&action)) {
                send(vm, start->vm,
                     [this, origin = JobOrigin{vm.self.name, vm.self.incarnation, start->number}](
                         Vm &receiver, Duration) {
                         receiver.receipts[origin.vm].push_back(origin.number);
                         for (const auto &[group, it] : receiver.groups) {
                             if (it->start(m_now, origin))
                                 return;
                         }
                         finish(receiver, {origin, formerHolderAnswer()});
                     });
            } else if (const auto *cancel = std::get_if<SendCancel>(&action)) {
                trace(vm.self.name + " cancels number " + std::to_string(cancel->number) + " on "
                      + cancel->vm);
                send(vm, cancel->vm,
                     [this, origin = JobOrigin{vm.self.name, vm.self.incarnation, cancel->number}](
                         Vm &receiver, Duration) {
                         for (const auto &[group, it] : receiver.groups)
                             it->cancel(m_now, origin);
                     });
            } else if (const auto *result = std::get_if<AnswerCaller>(&action)) {
                answer(result->caller, result->answer);
            }
        }
    }
}

void FleetHarness::sendOrder(Vm &vm, const std::string &group, const RunOrder &order)
{
    const auto fence = vm.groups.at(group)->fence();
    const auto ended = [this, &vm, group, fence, id = order.id,
                        incarnation = vm.self.incarnation](const OrderResult &result) {
        if (!vm.isUp || vm.self.incarnation != incarnation)
            return;
        vm.answers.emplace_back([=, this, &vm] {
            const auto it = vm.groups.find(group);
            if (it != vm.groups.end() && it->second->fence() == fence)
                it->second->orderEnded(m_now, id, result);
            execute(vm);
        });
    };
    at(m_now + order.timeout, [ended] { ended({}); });
    if (order.kind != OrderKind::Poll)
        trace(vm.self.name + (order.kind == OrderKind::Stop ? " stops " : " orders ") + order.task + " run "
              + std::to_string(order.run) + " on " + order.upstream);
    const auto draw = random(thousand);
    if (draw < faults.lost || (order.kind == OrderKind::Stop && draw < faults.lost + faults.lostStops))
        return;
    const bool isLate = draw >= thousand - faults.late;
    const auto arrival = m_now + (isLate ? Duration(milliseconds(2000 + random(10'000))) : delay());
    at(arrival,
       [this, name = vm.self.name, order, isLate, ended] { executeOrder(name, order, isLate, ended); });
}

void FleetHarness::executeOrder(const std::string &vm, const RunOrder &order, bool isLate,
                                const std::function<void(OrderResult)> &answer)
{
    if (isCut(vm, order.upstream))
        return;
    auto &upstream = *m_upstreams.at(order.upstream);
    auto &reached = m_reachedIncarnations[order.upstream];
    if (!isLate)
        reached = upstream.incarnation();
    else if (order.kind == OrderKind::Start && reached != upstream.incarnation())
        m_strays.emplace(order.upstream, order.task);
    const auto result = upstream.execute(m_now, order);
    if (isLate)
        return;
    at(m_now + delay(), [this, vm, name = order.upstream, result, answer] {
        if (!isCut(name, vm))
            answer(result);
    });
}

void FleetHarness::submit(const std::string &key, std::size_t tasks, Duration timeout, const std::string &vm)
{
    m_clients.push_back({key, tasks, timeout});
    submitAgain(m_clients.size() - 1, vm);
}

void FleetHarness::submitAgain(std::size_t client, const std::string &vm)
{
    auto &it = m_clients[client];
    std::vector<std::string> names;
    for (const auto &[name, known] : m_vms) {
        if (known.router && known.isUp && name != it.lastVm)
            names.push_back(name);
    }
    if (names.empty() || it.submissions++ >= maximumSubmissions)
        return;
    const auto name = vm.empty() ? names[random(names.size())] : vm;
    it.lastVm = name;
    const auto connection = ++m_lastConnection;
    m_connections[connection] = {client, name};
    trace("caller submits " + it.key + " at " + name);
    auto &entry = m_vms.at(name);
    entry.messages.emplace_back([this, &entry, connection, client] {
        if (!m_connections.contains(connection))
            return;
        const auto &of = m_clients[client];
        RoutedJob job;
        job.pool = "pool";
        job.attempts = 2;
        job.submission.key = of.key;
        job.submission.className = "work";
        job.submission.deadline = m_now + of.timeout;
        job.submission.tasks.resize(of.tasks);
        job.origin = {entry.self.name, entry.self.incarnation, 0};
        entry.router->submit(m_now, connection, std::move(job));
        execute(entry);
    });
    at(m_now + it.timeout, [this, connection] { close(connection); });
}

void FleetHarness::close(std::uint64_t connection)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end())
        return;
    const auto [client, name] = it->second;
    m_connections.erase(it);
    trace("connection of " + m_clients[client].key + " to " + name + " ends");
    m_clients[client].areAllRefused = false;
    auto &entry = m_vms.at(name);
    entry.messages.emplace_back([this, &entry, connection] {
        entry.router->callerDisconnected(connection);
        execute(entry);
    });
    at(m_now + retryTime, [this, client = client] { submitAgain(client, {}); });
}

void FleetHarness::answer(std::uint64_t connection, const Answer &answer)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end())
        return;
    const auto client = it->second.client;
    trace(it->second.vm + " answers " + m_clients[client].key + ": "
          + std::string(enumName(outcomeNames, answer.outcome)) + " " + answer.detail);
    m_connections.erase(it);
    ++answeredJobs;
    if (answer.outcome == Outcome::Refused)
        return;
    m_clients[client].areAllRefused = false;
    const bool isFinal = answer.outcome == Outcome::Complete
        || (answer.outcome == Outcome::Failed && answer.reason == Reason::TaskFailed);
    if (!isFinal)
        at(m_now + retryTime, [this, client] { submitAgain(client, {}); });
}

void FleetHarness::resetConnections(const std::string &vm)
{
    std::vector<std::uint64_t> list;
    for (const auto &[connection, it] : m_connections) {
        if (it.vm == vm)
            list.push_back(connection);
    }
    for (const auto it : list)
        close(it);
}

void FleetHarness::pause(const std::string &vm, Duration time)
{
    trace(vm + " is paused");
    auto &it = m_vms.at(vm).nextTurnAt;
    it = std::max(it, m_now + time);
}

void FleetHarness::slow(const std::string &vm, Duration time, Duration turn)
{
    trace(vm + " is slow: " + std::to_string(turn / milliseconds(1)) + " ms");
    m_vms.at(vm).slowUntil = m_now + time;
    m_vms.at(vm).turn = turn;
}

void FleetHarness::kill(const std::string &name, Duration time)
{
    auto &vm = m_vms.at(name);
    if (!std::exchange(vm.isUp, false))
        return;
    trace(name + " is killed");
    resetConnections(name);
    vm.messages.clear();
    vm.answers.clear();
    for (auto &[other, it] : m_vms) {
        if (!isCut(name, other))
            it.messages.emplace_back([this, name, &it = it] { it.directory->linkClosed(m_now, name); });
    }
    at(m_now + time, [this, &vm] { boot(vm); });
}

void FleetHarness::cut(const std::string &from, const std::string &to, Duration time, bool areLost)
{
    trace(from + " is cut from " + to);
    m_cuts[{from, to}] = {m_now + time, areLost};
}

void FleetHarness::cutBothWays(const std::string &one, const std::string &other, Duration time, bool areLost)
{
    cut(one, other, time, areLost);
    cut(other, one, time, areLost);
}

bool FleetHarness::isCut(const std::string &from, const std::string &to) const
{
    const auto it = m_cuts.find({from, to});
    return it != m_cuts.end() && it->second.first > m_now;
}

void FleetHarness::restart(const std::string &upstream)
{
    trace(upstream + " restarts");
    m_upstreams.at(upstream)->restart(m_now);
    const auto group = "d" + upstream.substr(1, upstream.find('.') - 1);
    at(m_now + milliseconds(random(300)), [this, group] {
        for (auto &[name, vm] : m_vms) {
            if (vm.isUp && vm.groups.contains(group))
                announceAll(vm, group);
        }
    });
}

void FleetHarness::reassign(const std::string &group)
{
    std::vector<const Vm *> list;
    for (const auto &[name, it] : m_vms) {
        if (it.isUp && !it.router && name != m_holders[group].vm && m_now >= it.nextTurnAt)
            list.push_back(&it);
    }
    if (list.empty())
        return;
    const auto *to = list[random(list.size())];
    m_holders[group] = {group, to->self.name, to->self.incarnation, ++m_lastFence};
    trace(group + " is assigned to " + to->self.name);
    for (auto &[name, vm] : m_vms)
        at(m_now + milliseconds(random(300)), [this, &vm = vm] {
            if (vm.isUp)
                vm.messages.emplace_back([this, &vm] { configure(vm); });
        });
}

void FleetHarness::advance(Duration time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        m_now += step;
        for (auto &[name, it] : m_upstreams)
            it->advance(m_now);
        while (!m_events.empty() && m_events.begin()->first <= m_now)
            m_events.extract(m_events.begin()).mapped()();
        if (m_now.time_since_epoch() % announcementInterval == Duration()) {
            for (auto &[name, vm] : m_vms) {
                for (const auto &[group, it] : vm.groups) {
                    if (vm.isUp)
                        announceAll(vm, group);
                }
            }
        }
        for (auto &[name, vm] : m_vms)
            turn(vm);
        checkRuns();
    }
}

void FleetHarness::advanceWithFaults(Duration time)
{
    const auto end = m_now + time;
    auto nextFault = m_now;
    auto nextJob = m_now;
    const auto faultInterval = 50 + random(400);
    std::size_t jobs = 0;
    // A few kinds of faults, so that they meet.
    for (auto n = 2 + random(5); n > 0; --n)
        m_faultKinds.push_back(random(faultKinds));
    while (m_now < end) {
        if (m_now >= nextJob) {
            submit("j" + std::to_string(++jobs), 1 + random(4), milliseconds(400 + random(2600)));
            nextJob = m_now + milliseconds(40 + random(120));
        }
        if (m_now >= nextFault) {
            injectFault();
            nextFault = m_now + milliseconds(random(2 * faultInterval));
        }
        advance(step);
    }
}

void FleetHarness::injectFault()
{
    const auto n = std::to_string(random(static_cast<std::uint64_t>(m_domains)));
    const auto entry = "e" + n;
    const auto group = "d" + std::to_string(random(static_cast<std::uint64_t>(m_domains)));
    const auto holder = m_holders[group].vm;
    const auto upstream = "u" + group.substr(1) + "." + std::to_string(random(upstreamsPerDomain));
    const auto other = m_names[random(m_names.size())];
    const auto time = milliseconds(100 + random(random(2) == 0 ? 900 : 3000));
    const bool areLost = random(2) == 0;
    switch (m_faultKinds[random(m_faultKinds.size())]) {
    case 0:
        resetConnections(entry);
        break;
    case 1:
        pause(entry, time);
        break;
    case 2:
        kill(entry, time);
        break;
    case 3:
        pause(holder, time);
        break;
    case 4:
        slow(holder, time, milliseconds(10 + random(190)));
        break;
    case 5:
        kill(holder, time);
        at(m_now + milliseconds(700 + random(500)), [this, group] { reassign(group); });
        break;
    case 6:
        if (other != holder)
            cutBothWays(other, holder, time, areLost);
        break;
    case 7:
        if (other != holder)
            random(2) == 0 ? cut(other, holder, time, areLost) : cut(holder, other, time, areLost);
        break;
    case 8:
        cutBothWays(holder, upstream, time);
        break;
    case 9:
        random(2) == 0 ? cut(upstream, holder, time) : cut(holder, upstream, time);
        break;
    case 10:
        faults = {static_cast<unsigned>(random(200)), static_cast<unsigned>(random(200)),
                  static_cast<unsigned>(random(700))};
        at(m_now + time, [this] { faults = {}; });
        break;
    case 11:
        restart(upstream);
        break;
    case 12:
        reassign(group);
        break;
    default:
        // A domain is cut off: the links of its entry VM break with the connections of its callers.
        for (const auto &it : m_names) {
            if (it != entry)
                cutBothWays(entry, it, time, areLost);
        }
        resetConnections(entry);
        faults.lostStops = static_cast<unsigned>(random(2) == 0 ? thousand : random(thousand));
        // Around the time at which the holder suspects the entry VM.
        at(m_now + milliseconds(300 + random(300)),
           [this, own = m_holders["d" + n].vm, pauseTime = milliseconds(random(700))] {
               pause(own, pauseTime);
           });
        at(m_now + std::chrono::seconds(2), [this] { faults.lostStops = 0; });
    }
}

std::vector<std::string> FleetHarness::refusedButStarted() const
{
    std::vector<std::string> list;
    for (const auto &it : m_clients) {
        const auto first = starts.lower_bound(it.key + ".");
        const bool hasStarted = first != starts.end() && first->first.starts_with(it.key + ".");
        const bool isOpen = std::any_of(m_connections.begin(), m_connections.end(), [&](const auto &known) {
            return m_clients[known.second.client].key == it.key;
        });
        if (hasStarted && it.areAllRefused && !isOpen)
            list.push_back(it.key);
    }
    return list;
}

void FleetHarness::checkRuns()
{
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, unsigned> strays;
    for (const auto &[name, it] : m_upstreams) {
        for (const auto &[task, run] : it->running()) {
            if (m_strays.contains({name, task}))
                ++strays[task];
            else
                runs[task].push_back(name);
        }
    }
    for (const auto &[task, upstreams] : runs) {
        if (upstreams.size() < 2 || !m_concurrent.insert(task).second)
            continue;
        concurrentRuns.push_back(task + " on " + upstreams[0] + " and " + upstreams[1]);
        trace("TWICE " + concurrentRuns.back());
    }
    for (const auto &[task, n] : strays)
        strayRuns += runs[task].size() + n > 1 ? 1 : 0;
    std::erase_if(m_strays, [this](const auto &it) {
        return !m_upstreams.at(it.first)->running().contains(it.second);
    });
}

} // namespace Citronpitch
