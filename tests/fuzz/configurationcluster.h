#pragma once

#include "citronpitch/configurationnode.h"

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

/// What a ConfigurationCluster did so far.
struct ClusterCounts
{
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
};

/// What a ConfigurationCluster is made of.
struct ClusterPlan
{
    std::uint64_t seed = 1;
    std::size_t voters = 5;
    std::size_t learners = 2;
    std::uint64_t retainedEntries = 20;
    /// Members come and go, and this many may lose their disks at once: twice as many and one more of the
    /// voters named here vote, the first three at the start. Zero: the members are fixed.
    std::size_t toleratedLosses = 0;
    /// Failure domain of each VM; empty: none is known.
    std::vector<std::size_t> failureDomains;
    ConfigurationTestFaults faults;
};

/**
 * @brief Several ConfigurationNode instances under virtual time, with a faulty network and faulty disks.
 *
 * Checks the promises of the configuration after every event, against what operators were answered and what
 * the VMs have shown. Used by fuzzConfiguration() and by the unit tests.
 */
class ConfigurationCluster
{
public:
    explicit ConfigurationCluster(const ClusterPlan &plan);
    ~ConfigurationCluster();

    /// Lets @p time pass.
    void advance(Duration time);

    /// Faults. @p vm and the others are reduced modulo the number of VMs.
    void kill(std::size_t vm);
    void restart(std::size_t vm);
    /// The disk of @p vm refuses to write; the VM learns it at once.
    void failDisk(std::size_t vm);
    bool hasDynamicMembership() const;
    /// Kills and wipes the disk, where a majority of the voters keeps its own. Returns whether it did.
    bool wipeDisk(std::size_t vm);
    void freeze(std::size_t vm, Duration time);
    void partitionOneWay(std::size_t from, std::size_t to);
    void isolate(std::size_t vm);
    void healPartitions();
    void setLossPercent(unsigned percent);
    void setMaximumDelay(Duration longest);

    /// An operator at @p vm makes a change based on what that VM shows, less @p staleness versions.
    void propose(std::size_t vm, std::uint64_t staleness);
    /// The leader gives group @p group to @p vm.
    void assignHolder(std::size_t group, std::size_t vm);
    /// The operator resends the change that was made @p back changes ago, at @p vm.
    void resend(std::size_t vm, std::size_t back);

    /// Ends every fault and checks that a leader exists and that all VMs show the newest version in time.
    void settle();

    /// First broken promise; empty while all hold.
    const std::string &failure() const;
    const ClusterCounts &counts() const;
    std::size_t size() const;
    const ConfigurationNode &node(std::size_t vm) const;
    bool isUp(std::size_t vm) const;
    /// Number of the VM that leads and reaches a majority; nothing where none does.
    std::optional<std::size_t> leader() const;
    TimePoint now() const;

private:
    /// Something that was given to a disk and may not have reached it.
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
        std::vector<std::string> disk;
        std::deque<DiskWrite> writes;
        bool isUp = false;
        bool isWiped = false;
        bool hasStarted = false;
        /// When it was started after its disk was lost; the earliest moment where it never was.
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

    /// A change as its operator remembers it.
    struct ProposedChange
    {
        ConfigurationChange change;
        std::optional<ChangeAnswer> firstAnswer;
    };

    std::size_t randomBelow(std::size_t limit);
    void startNode(std::size_t vm);
    void runTick();
    void carryOut(std::size_t vm);
    void carryOut(std::size_t vm, const AppendRecords &action);
    void carryOut(std::size_t vm, const ReplaceRecords &action);
    void carryOut(std::size_t vm, const SendConfigurationMessage &action);
    void carryOut(std::size_t vm, const ActivateConfiguration &action);
    void carryOut(std::size_t vm, const AnswerChange &action);
    static void writeTo(std::vector<std::string> &disk, const DiskWrite &write);
    void submit(std::size_t vm, std::size_t proposed);
    void checkActivated(std::size_t vm, const Configuration &configuration);
    /// A fencing token belongs to one holder for ever.
    void checkFences(const Configuration &configuration);
    /// What a VM says to be certain of must be as new as what was accepted by then.
    void checkConfirmedAge(const Vm &vm);
    void checkLeaders();
    /// A new leader must hold every accepted change.
    void checkLeaderCompleteness(const Vm &vm);
    void checkAccepted(const ChangeAnswer &answer, const ConfigurationChange &change);
    void checkFinalHistories();
    bool isSettled() const;
    bool hasMajorityWithout(std::size_t vm) const;
    /// Whether one more lost disk has to be borne, on top of those that were not made up for yet.
    bool toleratesAnotherLoss() const;
    bool isFrozen(const Vm &vm) const;
    void fail(const std::string &text);
    /// What each VM thinks, for the text of a failure.
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
