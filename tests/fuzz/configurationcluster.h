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
    std::uint64_t keptEntries = 20;
    /// Members come and go, and this many may lose their disks at once: twice as many and one more of the
    /// voters named here vote, the first three at the start. Zero: the members are fixed.
    std::size_t toleratedLosses = 0;
    /// Failure domain of each VM; empty: none is known.
    std::vector<std::size_t> domainOf;
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
    void refuseWrites(std::size_t vm);
    bool isOpen() const;
    /// Kills and wipes the disk, where a majority of the voters keeps its own. Returns whether it did.
    bool loseDisk(std::size_t vm);
    void freeze(std::size_t vm, Duration time);
    void cutOneWay(std::size_t from, std::size_t to);
    void isolate(std::size_t vm);
    void healCuts();
    void setLoss(unsigned percent);
    void setDelay(Duration longest);

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
        TimePoint repairedFrom;
        TimePoint frozenUntil;
        std::uint64_t shownVersion = 0;
    };

    struct Parcel
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    /// A change as its operator remembers it.
    struct Asked
    {
        ConfigurationChange change;
        std::optional<ChangeAnswer> first;
    };

    std::size_t draw(std::size_t limit);
    void startNode(std::size_t vm);
    void runTurn();
    void carryOut(std::size_t vm);
    void carryOut(std::size_t vm, const AppendRecords &action);
    void carryOut(std::size_t vm, const ReplaceRecords &action);
    void carryOut(std::size_t vm, const SendConfigurationMessage &action);
    void carryOut(std::size_t vm, const ShowConfiguration &action);
    void carryOut(std::size_t vm, const AnswerChange &action);
    static void writeTo(std::vector<std::string> &disk, const DiskWrite &write);
    void ask(std::size_t vm, std::size_t asked);
    void checkShown(std::size_t vm, const Configuration &configuration);
    /// A fencing token belongs to one holder for ever.
    void checkFences(const Configuration &configuration);
    /// What a VM says to be certain of must be as new as what was accepted by then.
    void checkCertainty(const Vm &vm);
    void checkLeaders();
    /// A new leader must hold every accepted change.
    void checkLeaderHolds(const Vm &vm);
    void checkAccepted(const ChangeAnswer &answer, const ConfigurationChange &change);
    void checkEnd();
    bool isSettled() const;
    bool keepsMajorityWithout(std::size_t vm) const;
    /// Whether one more lost disk has to be borne, on top of those that were not made up for yet.
    bool bearsAnotherLoss() const;
    bool isFrozen(const Vm &vm) const;
    void fail(const std::string &text);
    /// What each VM thinks, for the text of a failure.
    std::string summary() const;

    ClusterPlan m_plan;
    std::mt19937_64 m_random;
    std::vector<Vm> m_vms;
    std::multimap<TimePoint, Parcel> m_parcels;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    unsigned m_lossPercent = 0;
    Duration m_longestDelay = std::chrono::milliseconds(3);
    TimePoint m_now = timePointOf(1'000'000'000);
    std::uint64_t m_nextStorage = 100;
    std::vector<Asked> m_asked;
    std::map<ChangeRequestId, std::size_t> m_requests;
    ChangeRequestId m_nextRequest = 1;
    std::map<std::uint64_t, std::string> m_acceptedIds;
    std::map<std::uint64_t, Configuration> m_shownVersions;
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    std::map<std::uint64_t, GroupHolder> m_fences;
    std::map<std::uint64_t, std::string> m_leaders;
    ClusterCounts m_counts;
    std::string m_failure;
};

} // namespace Citronpitch
