#pragma once

#include "citronpitch/configurationnode.h"

#include "fuzz/configurationdisk.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Citronpitch {

/// Counters of a ConfigurationCluster.
struct ClusterCounts
{
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::size_t messageBytes = 0;
    std::size_t largestMessageBytes = 0;
};

/// Options of a ConfigurationCluster.
struct ClusterPlan
{
    std::uint64_t seed = 1;
    std::size_t voters = 5;
    /// Changes replace a document of this size; zero: they are small.
    std::size_t documentBytes = 0;
    std::size_t learners = 2;
    std::uint64_t retainedEntries = 20;
    Duration firstElectionTimeout = ConfigurationNodeOptions().firstElectionTimeout;
    /// Number of VMs that may lose their disks at once, under dynamic membership: the group has
    /// 2 * toleratedLosses + 1 voters, at the start the first three VMs. Zero: static membership.
    std::size_t toleratedLosses = 0;
    /// Failure domain of each VM; empty: unknown.
    std::vector<std::size_t> failureDomains;
    ConfigurationTestFaults faults;
    JournalTestFaults journalFaults;
};

/**
 * @brief Simulates several ConfigurationNode instances in virtual time, with network and disk faults.
 *
 * Checks the invariants of the configuration after every event, against the answers to operators and the
 * configurations that became active. Used by fuzzConfiguration() and by the unit tests.
 */
class ConfigurationCluster
{
public:
    explicit ConfigurationCluster(const ClusterPlan &plan);
    ~ConfigurationCluster();

    /// Advances the virtual time by @p time.
    void advance(Duration time);

    /// Faults. Indexes of VMs are taken modulo the number of VMs.
    /// Ends the process of @p vm: some of the requested writes were written, and those remain.
    void kill(std::size_t vm);
    /// Kills @p vm, unless it is down; each write after the last sync is kept, lost or torn by itself.
    void losePower(std::size_t vm);
    /// Does nothing if the journal can't be read.
    void restart(std::size_t vm);
    /// Makes the disk of @p vm fail all writes, which the VM is told at once.
    void failDisk(std::size_t vm);
    bool hasDynamicMembership() const;
    /// Kills @p vm and wipes its disk, if a majority of the voters keeps its disks. Returns whether it did.
    bool wipeDisk(std::size_t vm);
    void freeze(std::size_t vm, Duration time);
    void partitionOneWay(std::size_t from, std::size_t to);
    void isolate(std::size_t vm);
    void healPartitions();
    void setLossPercent(unsigned percent);
    void setMaximumDelay(Duration longest);

    /// Proposes a change at @p vm that is based on its active version minus @p staleness.
    void propose(std::size_t vm, std::uint64_t staleness);
    /// Evacuates or restores one of two failure domains at @p vm, based on its active version minus
    /// @p staleness.
    void changeDomain(std::size_t vm, std::size_t domain, bool isStart, std::uint64_t staleness);
    /// Makes the leader assign group @p group to @p vm.
    void assignHolder(std::size_t group, std::size_t vm);

    /// Makes the leader divide a domain into @p count groups.
    void setPartition(std::size_t group, std::size_t count);
    /// Resends at @p vm the change that was proposed @p back changes ago.
    void resend(std::size_t vm, std::size_t back);

    /// Ends all faults and checks that a leader is elected and the newest version becomes active on all VMs
    /// in time.
    void settle();

    /// First violated invariant; empty if there is none.
    const std::string &failure() const;
    const ClusterCounts &counts() const;
    std::size_t size() const;
    const ConfigurationNode &node(std::size_t vm) const;
    bool isUp(std::size_t vm) const;
    /// Index of the leader that has committed an entry of its term; empty if there is none.
    std::optional<std::size_t> leader() const;
    TimePoint now() const;

private:
    /// A requested write, of which nothing or a part may have been written yet.
    struct DiskWrite
    {
        bool replaces = false;
        std::vector<std::string> records;
        std::uint64_t token = 0;
        TimePoint syncedAt;
    };

    struct Vm
    {
        std::string name;
        std::unique_ptr<ConfigurationNode> node;
        ConfigurationDisk disk;
        std::deque<DiskWrite> writes;
        bool isUp = false;
        bool isWiped = false;
        bool hasStarted = false;
        /// Last start after the loss of the disk; the earliest time point if there was none.
        TimePoint restartedAfterWipeAt;
        TimePoint frozenUntil;
        std::uint64_t activeVersion = 0;
    };

    struct InFlightMessage
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    /// A proposed change and the first answer to its operator.
    struct ProposedChange
    {
        ConfigurationChange change;
        std::optional<ChangeAnswer> firstAnswer;
    };

    std::size_t randomBelow(std::size_t limit);
    void startNode(std::size_t vm);
    void runTick();
    void executeActions(std::size_t vm);
    void execute(std::size_t vm, const AppendRecords &action);
    void execute(std::size_t vm, const ReplaceRecords &action);
    void execute(std::size_t vm, const SendConfigurationMessage &action);
    void execute(std::size_t vm, const ActivateConfiguration &action);
    void execute(std::size_t vm, const AnswerChange &action);
    /// Writes a random part of what was requested, without a sync, and forgets the rest.
    void writeSome(Vm &vm);
    static void sync(ConfigurationDisk &disk, const DiskWrite &write);
    void submit(std::size_t vm, std::size_t proposed);
    void checkActivated(std::size_t vm, const Configuration &configuration);
    /// A fencing token must never be given to two holders.
    void checkFences(const Configuration &configuration);
    /// A confirmed configuration must be as new as the changes accepted by the confirmed time.
    void checkConfirmedAge(const Vm &vm);
    void checkLeaders();
    /// The log of a new leader must contain every accepted change.
    void checkLeaderCompleteness(const Vm &vm);
    void checkAccepted(std::size_t vm, const ChangeAnswer &answer, const ConfigurationChange &change);
    /// An accepted evacuation or restore is in force at its version, and undid none that it was not based on.
    void checkDomainChange(std::size_t vm, const ChangeAnswer &answer, const ConfigurationChange &change);
    void checkFinalHistories();
    bool isSettled() const;
    bool hasMajorityWithout(std::size_t vm) const;
    /// Whether another lost disk is tolerated besides those whose VMs are not readmitted yet.
    bool toleratesAnotherLoss() const;
    bool isFrozen(const Vm &vm) const;
    void fail(const std::string &text);
    /// State of each VM for the failure message.
    std::string summary() const;

    ClusterPlan m_plan;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::multimap<TimePoint, InFlightMessage> m_inFlightMessages;
    std::set<std::pair<std::size_t, std::size_t>> m_partitions;
    unsigned m_lossPercent = 0;
    Duration m_maximumDelay = std::chrono::milliseconds(3);
    TimePoint m_now = timePointOf(1'000'000'000);
    std::uint64_t m_nextStorage = 100;
    std::vector<ProposedChange> m_proposedChanges;
    std::map<ChangeRequestId, std::size_t> m_requests;
    ChangeRequestId m_nextRequest = 1;
    std::map<std::uint64_t, std::string> m_acceptedIds;
    std::map<std::uint64_t, Configuration> m_activeVersions;
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    std::map<std::uint64_t, GroupHolder> m_fences;
    std::map<std::uint64_t, std::string> m_leaders;
    ClusterCounts m_counts;
    std::string m_failure;
};

} // namespace Citronpitch
