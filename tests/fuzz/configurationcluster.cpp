#include "fuzz/configurationcluster.h"

#include "citronpitch/upstreamgroup.h"

#include <algorithm>

namespace Citronpitch {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(5);
constexpr Duration settleTimeout = std::chrono::seconds(30);
constexpr std::uint64_t maximumSyncDelayMs = 8;
constexpr std::size_t initialVoterCount = 3;
/// Failure domains that are evacuated and restored.
constexpr std::size_t domains = 2;
constexpr std::size_t groups = 3;
/// Time in which a VM with a new disk must catch up, before the next disk loss must be tolerated.
constexpr Duration repairGracePeriod = std::chrono::seconds(4);

} // namespace

ConfigurationCluster::ConfigurationCluster(const ClusterPlan &plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_vms(plan.voters + plan.learners)
{
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        m_vms[i].name = "vm" + std::to_string(i);
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        startNode(i);
}

ConfigurationCluster::~ConfigurationCluster() = default;

void ConfigurationCluster::advance(Duration time)
{
    const auto end = m_now + time;
    while (m_now < end && m_failure.empty())
        runTick();
}

void ConfigurationCluster::kill(std::size_t vm)
{
    auto &it = m_vms[vm % m_vms.size()];
    if (!it.isUp)
        return;
    ++m_counts.faults;
    it.isUp = false;
    writeSome(it);
}

void ConfigurationCluster::losePower(std::size_t vm)
{
    kill(vm);
    m_vms[vm % m_vms.size()].disk.losePower(m_random);
}

void ConfigurationCluster::restart(std::size_t vm)
{
    auto &it = m_vms[vm % m_vms.size()];
    if (it.isUp)
        return;
    startNode(vm % m_vms.size());
}

void ConfigurationCluster::failDisk(std::size_t vm)
{
    auto &it = m_vms[vm % m_vms.size()];
    if (!it.isUp)
        return;
    ++m_counts.faults;
    writeSome(it);
    it.node->storageFailed();
}

bool ConfigurationCluster::hasDynamicMembership() const
{
    return m_plan.toleratedLosses > 0;
}

bool ConfigurationCluster::wipeDisk(std::size_t vm)
{
    vm %= m_vms.size();
    if (!hasMajorityWithout(vm) || (hasDynamicMembership() && !toleratesAnotherLoss()))
        return false;
    ++m_counts.faults;
    kill(vm);
    m_vms[vm].disk.wipe();
    m_vms[vm].isWiped = true;
    m_vms[vm].activeVersion = 0;
    return true;
}

void ConfigurationCluster::freeze(std::size_t vm, Duration time)
{
    ++m_counts.faults;
    m_vms[vm % m_vms.size()].frozenUntil = m_now + time;
}

void ConfigurationCluster::partitionOneWay(std::size_t from, std::size_t to)
{
    ++m_counts.faults;
    m_partitions.insert({from % m_vms.size(), to % m_vms.size()});
}

void ConfigurationCluster::isolate(std::size_t vm)
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        partitionOneWay(vm, i);
        partitionOneWay(i, vm);
    }
}

void ConfigurationCluster::healPartitions()
{
    m_partitions.clear();
}

void ConfigurationCluster::setLossPercent(unsigned percent)
{
    ++m_counts.faults;
    m_lossPercent = percent;
}

void ConfigurationCluster::setMaximumDelay(Duration longest)
{
    ++m_counts.faults;
    m_maximumDelay = longest;
}

void ConfigurationCluster::propose(std::size_t vm, std::uint64_t staleness)
{
    vm %= m_vms.size();
    if (!m_vms[vm].isUp)
        return;
    const auto &active = m_vms[vm].node->activeConfiguration();
    ConfigurationChange change;
    change.id = "change" + std::to_string(m_proposedChanges.size());
    change.author = m_vms[vm].name;
    change.basedOn = active.version - std::min(active.version, staleness);
    change.proposedAt = m_now;
    change.kind = ChangeKind::SetTeam;
    change.teams = {{"team" + std::to_string(randomBelow(5)), static_cast<std::uint32_t>(randomBelow(1000))}};
    if (m_plan.documentBytes > 0) {
        change.kind = ChangeKind::ReplaceDocument;
        change.document = {m_proposedChanges.size() + 1, std::string(m_plan.documentBytes, 'x')};
    }
    m_proposedChanges.push_back({change, {}});
    submit(vm, m_proposedChanges.size() - 1);
}

void ConfigurationCluster::changeDomain(std::size_t vm, std::size_t domain, bool isStart,
                                        std::uint64_t staleness)
{
    vm %= m_vms.size();
    if (!m_vms[vm].isUp)
        return;
    const auto &active = m_vms[vm].node->activeConfiguration();
    ConfigurationChange change;
    change.id = "change" + std::to_string(m_proposedChanges.size());
    change.basedOn = active.version - std::min(active.version, staleness);
    change.proposedAt = m_now;
    change.kind = isStart ? ChangeKind::EvacuateDomain : ChangeKind::RestoreDomain;
    change.domain = "domain" + std::to_string(domain % domains);
    m_proposedChanges.push_back({change, {}});
    submit(vm, m_proposedChanges.size() - 1);
}

void ConfigurationCluster::assignHolder(std::size_t group, std::size_t vm)
{
    const auto leaderIndex = leader();
    if (!leaderIndex || isFrozen(m_vms[*leaderIndex]))
        return;
    auto &node = *m_vms[*leaderIndex].node;
    const auto domain = "group" + std::to_string(group % groups);
    const auto names = groupsOfDomain(node.activeConfiguration().partitions, domain);
    const auto &name = names[vm % names.size()];
    const auto *holder = node.activeConfiguration().findHolder(name);
    node.assignHolder(m_now,
                      {name, m_vms[vm % m_vms.size()].name, vm, holder == nullptr ? 0 : holder->fence});
    executeActions(*leaderIndex);
}

void ConfigurationCluster::setPartition(std::size_t group, std::size_t count)
{
    const auto leaderIndex = leader();
    if (!leaderIndex || isFrozen(m_vms[*leaderIndex]))
        return;
    m_vms[*leaderIndex].node->setPartition(
        m_now, {"group" + std::to_string(group % groups), static_cast<std::uint32_t>(count)});
    executeActions(*leaderIndex);
}

void ConfigurationCluster::resend(std::size_t vm, std::size_t back)
{
    vm %= m_vms.size();
    if (m_proposedChanges.empty() || !m_vms[vm].isUp)
        return;
    submit(vm, m_proposedChanges.size() - 1 - back % m_proposedChanges.size());
}

void ConfigurationCluster::settle()
{
    m_lossPercent = 0;
    m_maximumDelay = std::chrono::milliseconds(3);
    healPartitions();
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].frozenUntil = m_now;
        restart(i);
    }
    const auto deadline = m_now + settleTimeout;
    while (m_now < deadline && m_failure.empty() && !isSettled())
        runTick();
    if (m_failure.empty() && !isSettled())
        fail("liveness: no leader, or the newest version is not active on every VM in time" + summary());
    if (m_failure.empty())
        checkFinalHistories();
}

const std::string &ConfigurationCluster::failure() const
{
    return m_failure;
}

const ClusterCounts &ConfigurationCluster::counts() const
{
    return m_counts;
}

std::size_t ConfigurationCluster::size() const
{
    return m_vms.size();
}

const ConfigurationNode &ConfigurationCluster::node(std::size_t vm) const
{
    return *m_vms[vm].node;
}

bool ConfigurationCluster::isUp(std::size_t vm) const
{
    return m_vms[vm].isUp;
}

std::optional<std::size_t> ConfigurationCluster::leader() const
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const auto &node = *m_vms[i].node;
        const bool leaderIndex = m_vms[i].isUp && node.role() == ConfigurationRole::Leader;
        if (leaderIndex && node.log().termAt(node.commitIndex()) == node.term())
            return i;
    }
    return std::nullopt;
}

TimePoint ConfigurationCluster::now() const
{
    return m_now;
}

std::size_t ConfigurationCluster::randomBelow(std::size_t limit)
{
    return m_random() % limit;
}

void ConfigurationCluster::startNode(std::size_t vm)
{
    auto &it = m_vms[vm];
    const auto records = it.disk.open(m_plan.journalFaults);
    if (!records) {
        if (!m_plan.journalFaults.rejectsGaps)
            fail("journal: " + it.name + " finds damage in what was synced, although no disk was damaged");
        return;
    }
    ConfigurationNodeOptions options;
    options.self = it.name;
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        options.members.push_back(
            {m_vms[i].name, i < m_plan.voters,
             i < m_plan.failureDomains.size() ? "domain" + std::to_string(m_plan.failureDomains[i]) : ""});
    options.newStorageId = ++m_nextStorage;
    options.seed = m_random();
    options.initial.teams = {{"founding", 1}};
    options.retainedEntries = m_plan.retainedEntries;
    options.firstElectionTimeout = m_plan.firstElectionTimeout;
    options.faults = m_plan.faults;
    options.toleratedLosses = m_plan.toleratedLosses;
    for (std::size_t i = 0;
         hasDynamicMembership() && !it.hasStarted && i < initialVoterCount && vm < m_plan.voters; ++i)
        options.initialVoters.push_back(m_vms[i].name);
    it.hasStarted = true;
    if (it.isWiped)
        it.restartedAfterWipeAt = m_now;
    it.node = std::make_unique<ConfigurationNode>(m_now, options, *records);
    it.isUp = true;
    it.isWiped = false;
    it.frozenUntil = m_now;
    checkActivated(vm, it.node->activeConfiguration());
    executeActions(vm);
}

void ConfigurationCluster::runTick()
{
    m_now += tickInterval;
    while (!m_inFlightMessages.empty() && m_inFlightMessages.begin()->first <= m_now) {
        const auto message = std::move(m_inFlightMessages.begin()->second);
        m_inFlightMessages.erase(m_inFlightMessages.begin());
        auto &it = m_vms[message.to];
        if (!it.isUp)
            continue;
        if (isFrozen(it)) {
            m_inFlightMessages.emplace(it.frozenUntil + tickInterval, message);
            continue;
        }
        ++m_counts.events;
        it.node->receive(m_now, m_vms[message.from].name, message.bytes);
        executeActions(message.to);
        checkConfirmedAge(it);
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        auto &it = m_vms[i];
        while (it.isUp && !isFrozen(it) && !it.writes.empty() && it.writes.front().syncedAt <= m_now) {
            const auto write = std::move(it.writes.front());
            it.writes.pop_front();
            sync(it.disk, write);
            it.node->synced(m_now, write.token);
            executeActions(i);
        }
        if (!it.isUp || isFrozen(it))
            continue;
        it.node->tick(m_now);
        executeActions(i);
        checkConfirmedAge(it);
    }
    checkLeaders();
}

void ConfigurationCluster::executeActions(std::size_t vm)
{
    for (const auto &it : m_vms[vm].node->takeActions())
        std::visit([&](const auto &action) { execute(vm, action); }, it);
}

void ConfigurationCluster::execute(std::size_t vm, const AppendRecords &action)
{
    const auto delay = std::chrono::milliseconds(1 + randomBelow(maximumSyncDelayMs));
    m_vms[vm].writes.push_back({false, action.records, action.token, m_now + delay});
}

void ConfigurationCluster::execute(std::size_t vm, const ReplaceRecords &action)
{
    const auto delay = std::chrono::milliseconds(1 + randomBelow(maximumSyncDelayMs));
    m_vms[vm].writes.push_back({true, action.records, action.token, m_now + delay});
}

void ConfigurationCluster::execute(std::size_t vm, const SendConfigurationMessage &action)
{
    const auto to = static_cast<std::size_t>(std::stoul(action.vm.substr(2)));
    m_counts.messageBytes += action.bytes.size();
    m_counts.largestMessageBytes = std::max(m_counts.largestMessageBytes, action.bytes.size());
    if (m_partitions.contains({vm, to}) || randomBelow(100) < m_lossPercent)
        return;
    const auto copies = m_lossPercent > 0 && randomBelow(100) < m_lossPercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto delay = Duration(1 + randomBelow(static_cast<std::size_t>(m_maximumDelay.count())));
        m_inFlightMessages.emplace(m_now + delay, InFlightMessage{vm, to, action.bytes});
    }
}

void ConfigurationCluster::execute(std::size_t vm, const ActivateConfiguration &action)
{
    checkActivated(vm, action.configuration);
}

void ConfigurationCluster::execute(std::size_t vm, const AnswerChange &action)
{
    auto &proposed = m_proposedChanges[m_requests.at(action.request)];
    const auto &answer = action.answer;
    if (answer.outcome == ChangeOutcome::Unknown || answer.outcome == ChangeOutcome::NoLeader)
        return;
    if (proposed.firstAnswer && !(*proposed.firstAnswer == answer)) {
        fail("answers: " + proposed.change.id + " got two different answers");
        return;
    }
    if (proposed.firstAnswer)
        return;
    proposed.firstAnswer = answer;
    if (answer.outcome == ChangeOutcome::Accepted)
        checkAccepted(vm, answer, proposed.change);
    else
        ++m_counts.refused;
}

void ConfigurationCluster::writeSome(Vm &vm)
{
    const auto written = vm.writes.empty() ? 0 : randomBelow(vm.writes.size() + 1);
    for (std::size_t i = 0; i < vm.writes.size() && i <= written; ++i) {
        const auto &[replaces, records, token, syncedAt] = vm.writes[i];
        const bool isWhole = i < written;
        if (replaces && isWhole)
            vm.disk.replace(records);
        if (replaces)
            continue;
        const auto count = isWhole ? records.size() : randomBelow(records.size() + 1);
        for (std::size_t n = 0; n < count; ++n)
            vm.disk.append(records[n]);
    }
    vm.writes.clear();
}

void ConfigurationCluster::sync(ConfigurationDisk &disk, const DiskWrite &write)
{
    if (write.replaces)
        disk.replace(write.records);
    for (std::size_t i = 0; !write.replaces && i < write.records.size(); ++i)
        disk.append(write.records[i]);
    disk.sync();
}

void ConfigurationCluster::submit(std::size_t vm, std::size_t proposed)
{
    const auto request = m_nextRequest++;
    m_requests[request] = proposed;
    m_vms[vm].node->propose(m_now, request, m_proposedChanges[proposed].change);
    executeActions(vm);
}

void ConfigurationCluster::checkActivated(std::size_t vm, const Configuration &configuration)
{
    auto &it = m_vms[vm];
    if (configuration.version < it.activeVersion)
        fail("revert: " + it.name + " activated version " + std::to_string(it.activeVersion) + " and then "
             + std::to_string(configuration.version));
    it.activeVersion = configuration.version;
    checkFences(configuration);
    auto declared = configuration;
    declared.holders.clear();
    declared.partitions.clear();
    const auto [first, isNew] = m_activeVersions.emplace(configuration.version, declared);
    if (!isNew && !(first->second == declared))
        fail("order: version " + std::to_string(configuration.version) + " differs between VMs");
}

void ConfigurationCluster::checkFences(const Configuration &configuration)
{
    for (const auto &it : configuration.holders) {
        if (!isCurrentGroup(it.group, configuration.partitions))
            fail("partitions: " + it.group + " has a holder although its domain has other groups");
        const auto [first, isNew] = m_fences.emplace(it.fence, it);
        if (!isNew && !(first->second == it))
            fail("fences: token " + std::to_string(it.fence) + " was given to two holders");
    }
}

void ConfigurationCluster::checkConfirmedAge(const Vm &vm)
{
    const auto age = vm.node->confirmedAge(m_now);
    if (!age)
        return;
    for (auto it = m_acceptedAt.rbegin(); it != m_acceptedAt.rend(); ++it) {
        if (it->second > m_now - *age)
            continue;
        if (vm.node->activeConfiguration().version < it->first)
            fail("stale: " + vm.name + " confirmed version "
                 + std::to_string(vm.node->activeConfiguration().version) + " after version "
                 + std::to_string(it->first) + " was accepted");
        return;
    }
}

void ConfigurationCluster::checkLeaders()
{
    for (const auto &it : m_vms) {
        if (!it.isUp || it.node->role() != ConfigurationRole::Leader)
            continue;
        const auto [first, isNew] = m_leaders.emplace(it.node->term(), it.name);
        if (isNew)
            checkLeaderCompleteness(it);
        if (first->second != it.name)
            fail("leaders: term " + std::to_string(it.node->term()) + " has two leaders");
    }
}

void ConfigurationCluster::checkLeaderCompleteness(const Vm &vm)
{
    std::set<std::string> held;
    for (const auto &it : vm.node->state().history())
        held.insert(it.id);
    const auto &log = vm.node->log();
    for (auto it = vm.node->commitIndex() + 1; it <= log.lastIndex(); ++it)
        held.insert(log.at(it).change.id);
    for (const auto &[version, id] : m_acceptedIds) {
        if (!held.contains(id))
            fail("lost: " + vm.name + " became the leader of term " + std::to_string(vm.node->term())
                 + " without accepted change " + id);
    }
}

void ConfigurationCluster::checkAccepted(std::size_t vm, const ChangeAnswer &answer,
                                         const ConfigurationChange &change)
{
    ++m_counts.accepted;
    if (isDomainChange(change.kind)) {
        checkDomainChange(vm, answer, change);
        return;
    }
    if (answer.version != change.basedOn + 1)
        fail("compare-and-set: " + change.id + " was accepted on another version than it was based on");
    m_acceptedAt.emplace(answer.version, m_now);
    const auto [first, isNew] = m_acceptedIds.emplace(answer.version, change.id);
    if (!isNew && first->second != change.id)
        fail("lost: version " + std::to_string(answer.version) + " was given to two changes");
}

void ConfigurationCluster::checkDomainChange(std::size_t vm, const ChangeAnswer &answer,
                                             const ConfigurationChange &change)
{
    const auto &history = m_vms[vm].node->state().history();
    const bool hasEffect =
        std::any_of(history.begin(), history.end(), [&](const auto &it) { return it.id == change.id; });
    bool isEvacuated = false;
    for (const auto &it : history) {
        if (it.version > answer.version)
            break;
        if (!isDomainChange(it.kind) || it.subject != change.domain)
            continue;
        isEvacuated = it.kind == ChangeKind::EvacuateDomain;
        // A change that is based on version zero is accepted on any version.
        const bool isOverlooked =
            change.basedOn > 0 && it.version > change.basedOn && it.version < answer.version;
        if (hasEffect && isOverlooked)
            fail("domain: " + change.id + " undid " + it.id + ", which it is not based on");
    }
    if (isEvacuated != (change.kind == ChangeKind::EvacuateDomain))
        fail("domain: " + change.id + " was accepted and is not in force");
    if (!hasEffect)
        return;
    m_acceptedAt.emplace(answer.version, m_now);
    const auto [first, isNew] = m_acceptedIds.emplace(answer.version, change.id);
    if (!isNew && first->second != change.id)
        fail("lost: version " + std::to_string(answer.version) + " was given to two changes");
}

void ConfigurationCluster::checkFinalHistories()
{
    for (const auto &vm : m_vms) {
        const auto &history = vm.node->state().history();
        for (const auto &[version, id] : m_acceptedIds) {
            const auto it =
                std::find_if(history.begin(), history.end(),
                             [&, wanted = version](const auto &h) { return h.version == wanted; });
            if (it == history.end() || it->id != id) {
                fail("lost: accepted change " + id + " is missing at " + vm.name);
                return;
            }
        }
    }
}

bool ConfigurationCluster::isSettled() const
{
    const auto leaderIndex = leader();
    if (!leaderIndex)
        return false;
    const auto &newest = *m_vms[*leaderIndex].node;
    const bool isCommitted = newest.commitIndex() == newest.log().lastIndex();
    return isCommitted && std::all_of(m_vms.begin(), m_vms.end(), [&](const Vm &it) {
               return it.isUp && it.node->leader() == m_vms[*leaderIndex].name && it.writes.empty()
                   && it.node->activeConfiguration() == newest.state().configuration();
           });
}

bool ConfigurationCluster::hasMajorityWithout(std::size_t vm) const
{
    for (const auto &view : m_vms) {
        const auto &voters = view.node->log().voters();
        std::size_t kept = 0;
        for (const auto &voter : voters) {
            const auto it =
                std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &v) { return v.name == voter.name; });
            const bool isLost = it->name == m_vms[vm].name || it->isWiped;
            kept += !isLost && it->node->voterId() == voter.storageId ? 1 : 0;
        }
        if (kept < voters.size() / 2 + 1)
            return false;
    }
    return true;
}

bool ConfigurationCluster::toleratesAnotherLoss() const
{
    const auto lost = std::count_if(m_vms.begin(), m_vms.end(), [&](const Vm &it) {
        return it.isWiped || m_now - it.restartedAfterWipeAt < repairGracePeriod;
    });
    return static_cast<std::size_t>(lost) < m_plan.toleratedLosses;
}

bool ConfigurationCluster::isFrozen(const Vm &vm) const
{
    return vm.frozenUntil > m_now;
}

std::string ConfigurationCluster::summary() const
{
    std::string text;
    for (const auto &it : m_vms) {
        const auto &node = *it.node;
        text += "\n" + it.name + " " + std::string(enumName(configurationRoleNames, node.role())) + " term "
            + std::to_string(node.term()) + " last " + std::to_string(node.log().lastIndex()) + " commit "
            + std::to_string(node.commitIndex()) + " identity " + std::to_string(node.voterId()) + " leader "
            + node.leader() + " version " + std::to_string(node.activeConfiguration().version) + " voters";
        for (const auto &voter : node.log().voters())
            text += " " + voter.name + "/" + std::to_string(voter.storageId);
        for (const auto &[vm, progress] : node.progress())
            text += " " + vm + ":" + std::to_string(progress.matchIndex) + "+"
                + std::to_string(progress.nextIndex);
        text += " snapshot " + std::to_string(node.log().snapshotIndex());
    }
    return text;
}

void ConfigurationCluster::fail(const std::string &text)
{
    if (m_failure.empty())
        m_failure = text;
}

} // namespace Citronpitch
