#include "fuzz/configurationmodel.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace Citronpitch {

namespace {

constexpr int maximumCaseSize = 120;
constexpr std::uint64_t stepsPerCase = 30;

enum class StepKind {
    Advance,
    Propose,
    Race,
    ChangeDomain,
    RaceDomain,
    Resend,
    Kill,
    KillLeader,
    Restart,
    LoseDisk,
    Freeze,
    CutOneWay,
    Isolate,
    Heal,
    Loss,
    Delay,
    LosePower,
    PowerLoss,
};

inline constexpr std::array stepKindNames{
    EnumName<StepKind>{StepKind::Advance, "advance"},
    EnumName<StepKind>{StepKind::Propose, "propose"},
    EnumName<StepKind>{StepKind::Race, "race"},
    EnumName<StepKind>{StepKind::ChangeDomain, "changeDomain"},
    EnumName<StepKind>{StepKind::RaceDomain, "raceDomain"},
    EnumName<StepKind>{StepKind::Resend, "resend"},
    EnumName<StepKind>{StepKind::Kill, "kill"},
    EnumName<StepKind>{StepKind::KillLeader, "killLeader"},
    EnumName<StepKind>{StepKind::Restart, "restart"},
    EnumName<StepKind>{StepKind::LoseDisk, "loseDisk"},
    EnumName<StepKind>{StepKind::Freeze, "freeze"},
    EnumName<StepKind>{StepKind::CutOneWay, "cutOneWay"},
    EnumName<StepKind>{StepKind::Isolate, "isolate"},
    EnumName<StepKind>{StepKind::Heal, "heal"},
    EnumName<StepKind>{StepKind::Loss, "loss"},
    EnumName<StepKind>{StepKind::Delay, "delay"},
    EnumName<StepKind>{StepKind::LosePower, "losePower"},
    EnumName<StepKind>{StepKind::PowerLoss, "powerLoss"},
};

/// RapidCheck needs a model; the invariants are checked by ConfigurationCluster instead.
struct EmptyModel
{
    /// Whether the steps evacuate and restore failure domains.
    bool changesDomains = true;
};

/**
 * @brief Executes one random step: a fault, an operator's request, or an advance of the time.
 */
class FuzzStep : public rc::state::Command<EmptyModel, ConfigurationCluster>
{
public:
    explicit FuzzStep(const EmptyModel &model)
        : m_kind(
            *rc::gen::weightedElement<StepKind>({{20, StepKind::Advance},
                                                 {14, StepKind::Propose},
                                                 {6, StepKind::Race},
                                                 {model.changesDomains ? 6U : 0U, StepKind::ChangeDomain},
                                                 {model.changesDomains ? 3U : 0U, StepKind::RaceDomain},
                                                 {6, StepKind::Resend},
                                                 {4, StepKind::Kill},
                                                 {4, StepKind::KillLeader},
                                                 {9, StepKind::Restart},
                                                 {3, StepKind::LoseDisk},
                                                 {3, StepKind::Freeze},
                                                 {3, StepKind::CutOneWay},
                                                 {3, StepKind::Isolate},
                                                 {5, StepKind::Heal},
                                                 {2, StepKind::Loss},
                                                 {2, StepKind::Delay},
                                                 {4, StepKind::LosePower},
                                                 {3, StepKind::PowerLoss}}))
        , m_vm(*rc::gen::inRange<std::size_t>(0, 100))
        , m_other(*rc::gen::inRange<std::size_t>(0, 100))
        , m_amount(*rc::gen::inRange<std::size_t>(0, 1500))
    {
    }

    void run(const EmptyModel &, ConfigurationCluster &cluster) const override
    {
        execute(cluster);
        if (!cluster.failure().empty())
            RC_FAIL(cluster.failure());
    }

    void show(std::ostream &os) const override
    {
        os << enumName(stepKindNames, m_kind) << "(" << m_vm << ", " << m_other << ", " << m_amount << ")";
    }

private:
    void execute(ConfigurationCluster &cluster) const
    {
        const auto time = std::chrono::milliseconds(m_amount);
        switch (m_kind) {
        case StepKind::Advance:
            cluster.advance(time);
            break;
        case StepKind::Propose:
            cluster.propose(m_vm, m_amount % 20 == 0 ? 1 : 0);
            cluster.advance(std::chrono::milliseconds(m_amount % 40));
            break;
        case StepKind::Race:
            cluster.propose(m_vm, 0);
            cluster.propose(m_other, 0);
            cluster.assignHolder(m_amount, m_vm);
            // One in eight changes the groups, so that some are held for a while.
            if (m_other % 8 == 0)
                cluster.setPartition(m_amount, m_vm % 4);
            break;
        case StepKind::ChangeDomain:
            cluster.changeDomain(m_vm, m_other, m_amount % 2 == 0, m_amount % 7 == 0 ? 1 : 0);
            cluster.advance(std::chrono::milliseconds(m_amount % 40));
            break;
        case StepKind::RaceDomain:
            cluster.changeDomain(m_vm, m_amount, true, 0);
            cluster.changeDomain(m_other, m_amount, false, 0);
            break;
        case StepKind::Resend:
            cluster.resend(m_vm, m_amount % 5);
            break;
        case StepKind::Kill:
            if (cluster.hasDynamicMembership() && m_other % 2 == 0)
                cluster.failDisk(m_vm);
            else
                cluster.kill(m_vm);
            break;
        case StepKind::KillLeader:
            if (const auto leader = cluster.leader())
                cluster.kill(*leader);
            break;
        case StepKind::Restart:
            for (std::size_t i = 0; i < cluster.size(); i += 1 + m_other % 2)
                cluster.restart(m_vm + i);
            break;
        case StepKind::LoseDisk:
            loseDisk(cluster);
            break;
        case StepKind::Freeze:
            cluster.freeze(m_vm, time * 4);
            break;
        case StepKind::CutOneWay:
            cluster.partitionOneWay(m_vm, m_other);
            break;
        case StepKind::Isolate:
            cluster.isolate(m_vm);
            break;
        case StepKind::Heal:
            cluster.healPartitions();
            break;
        case StepKind::Loss:
            cluster.setLossPercent(static_cast<unsigned>(m_amount % 25));
            break;
        case StepKind::Delay:
            cluster.setMaximumDelay(std::chrono::milliseconds(1 + m_amount % 300));
            break;
        case StepKind::LosePower:
            cluster.losePower(m_vm);
            if (m_amount % 2 == 0)
                cluster.restart(m_vm);
            break;
        case StepKind::PowerLoss:
            losePowerOfAll(cluster);
            restartRepeatedly(cluster);
            break;
        }
    }

    /// Wipes a disk; in one of four cases, a second one is lost and all other VMs lose power at the same
    /// moment.
    void loseDisk(ConfigurationCluster &cluster) const
    {
        if (!cluster.wipeDisk(m_vm))
            return;
        if (m_other % 4 == 0) {
            cluster.wipeDisk(m_other / 4);
            losePowerOfAll(cluster);
        } else if (m_amount % 2 == 0) {
            cluster.restart(m_vm);
        }
    }

    static void losePowerOfAll(ConfigurationCluster &cluster)
    {
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.losePower(i);
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.restart(i);
    }

    /// Restarts one VM repeatedly while the others elect a leader.
    void restartRepeatedly(ConfigurationCluster &cluster) const
    {
        constexpr int restartCount = 50;
        for (int i = 0; i < restartCount && m_other % 2 == 0; ++i) {
            cluster.advance(std::chrono::milliseconds(15 + m_amount % 20));
            cluster.kill(m_vm);
            cluster.restart(m_vm);
        }
    }

    StepKind m_kind;
    std::size_t m_vm;
    std::size_t m_other;
    std::size_t m_amount;
};

bool isFaultless(const ConfigurationTestFaults &faults)
{
    return !faults.skipsSync && !faults.votesForAnyLog && !faults.forgetsVote && !faults.ignoresStorageId
        && !faults.skipsLogMatchingCheck && !faults.forgetsAnswers && !faults.ignoresBasedOn
        && !faults.commitsWithoutMajority && !faults.forgetsCommit && !faults.skipsCatchUp
        && !faults.usesArrivalTimes;
}

/// Formats the failure and its shrunk steps.
std::string textOf(const rc::detail::FailureResult &failure)
{
    std::ostringstream text;
    text << failure.description;
    for (const auto &[type, value] : failure.counterExample)
        text << "\n" << value;
    return text.str();
}

} // namespace

FuzzResult fuzzConfiguration(std::uint64_t seed, std::uint64_t steps, const ConfigurationTestFaults &faults,
                             bool isShrinking, std::size_t toleratedLosses,
                             const JournalTestFaults &journalFaults)
{
    FuzzResult result;
    const auto add = [&](const ConfigurationCluster &cluster) {
        result.events += cluster.counts().events;
        result.faults += cluster.counts().faults;
        result.changesAccepted += cluster.counts().accepted;
        result.changesRefused += cluster.counts().refused;
    };
    // The seeds of the injected faults were chosen for the steps without changes of domains, among which the
    // expected invariant is the first to be violated.
    const EmptyModel model{isFaultless(faults)};
    const auto property = [&](std::uint64_t clusterSeed) {
        ClusterPlan plan;
        plan.seed = clusterSeed;
        plan.voters = clusterSeed % 2 == 0 ? 3 : 5;
        if (toleratedLosses > 0)
            plan.voters = 3 * toleratedLosses + 1;
        plan.toleratedLosses = toleratedLosses;
        for (std::size_t i = 0; toleratedLosses > 0 && i < plan.voters; ++i)
            plan.failureDomains.push_back(i % (2 * toleratedLosses + 1));
        plan.faults = faults;
        plan.journalFaults = journalFaults;
        ConfigurationCluster cluster(plan);
        cluster.advance(std::chrono::seconds(3));
        const auto commands = *rc::state::gen::commands(model, rc::state::gen::execOneOfWithArgs<FuzzStep>());
        rc::state::runAll(commands, model, cluster);
        result.steps += commands.size();
        for (std::size_t i = 0; toleratedLosses > 0 && i < cluster.size(); ++i)
            cluster.losePower(i);
        cluster.settle();
        add(cluster);
        if (!cluster.failure().empty())
            RC_FAIL(cluster.failure());
    };
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = static_cast<int>(std::max<std::uint64_t>(1, steps / stepsPerCase));
    params.maxSize = maximumCaseSize;
    params.disableShrinking = !isShrinking;
    const auto outcome = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    rc::detail::FailureResult failure;
    result.hasPassed = outcome.is<rc::detail::SuccessResult>();
    if (outcome.match(failure))
        result.failure = textOf(failure);
    return result;
}

} // namespace Citronpitch
