#include "fuzz/claimsmodel.h"

#include "fuzz/simulation.h"

#include <rapidcheck/state.h>

#include <rapidcheck.h>

#include <array>
#include <memory>
#include <ostream>
#include <sstream>
#include <tuple>

namespace Citronpitch {

namespace {

/// Size parameter for generated sequences, which bounds their number of commands.
constexpr int sequenceLength = 120;

enum class StepKind {
    Submit,
    Fetch,
    Cancel,
    DropCaller,
    Advance,
    AdvanceFar,
    Cut,
    CutBothWays,
    Heal,
    BadLinks,
    GoodLinks,
    KillProcess,
    LosePower,
    LoseDataFolder,
    CrashAfter,
    Restart,
    Pause,
    ResumeTicking,
    ResumeReading,
    FailDisk,
    Upstream,
    DeclareClass,
    RemoveClass,
};

struct StepEntry
{
    StepKind kind;
    std::string_view name;
    std::size_t weight;
};

constexpr std::array stepEntries{
    StepEntry{StepKind::Submit, "submit", 40},
    StepEntry{StepKind::Fetch, "fetch", 4},
    StepEntry{StepKind::Cancel, "cancel", 2},
    StepEntry{StepKind::DropCaller, "drop-caller", 2},
    StepEntry{StepKind::Advance, "advance", 30},
    StepEntry{StepKind::AdvanceFar, "advance-far", 3},
    StepEntry{StepKind::Cut, "cut", 2},
    StepEntry{StepKind::CutBothWays, "cut-both-ways", 2},
    StepEntry{StepKind::Heal, "heal", 4},
    StepEntry{StepKind::BadLinks, "bad-links", 2},
    StepEntry{StepKind::GoodLinks, "good-links", 2},
    StepEntry{StepKind::KillProcess, "kill-process", 3},
    StepEntry{StepKind::LosePower, "lose-power", 2},
    StepEntry{StepKind::LoseDataFolder, "lose-data-folder", 1},
    StepEntry{StepKind::CrashAfter, "crash-after", 6},
    StepEntry{StepKind::Restart, "restart", 12},
    StepEntry{StepKind::Pause, "pause", 2},
    StepEntry{StepKind::ResumeTicking, "resume-ticking", 3},
    StepEntry{StepKind::ResumeReading, "resume-reading", 3},
    StepEntry{StepKind::FailDisk, "fail-disk", 1},
    StepEntry{StepKind::Upstream, "upstream", 8},
    StepEntry{StepKind::DeclareClass, "declare-class", 6},
    StepEntry{StepKind::RemoveClass, "remove-class", 3},
};

/// A command and its generated arguments; each kind uses those that it needs.
struct Step
{
    StepKind kind = StepKind::Advance;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t c = 0;
};

std::string_view nameOf(StepKind kind)
{
    return stepEntries.at(static_cast<std::size_t>(kind)).name;
}

void executeFault(const Step &step, Simulation &simulation)
{
    switch (step.kind) {
    case StepKind::Cut:
        simulation.cut(step.a, step.b, false);
        break;
    case StepKind::CutBothWays:
        simulation.cut(step.a, step.b, true);
        break;
    case StepKind::BadLinks:
        simulation.setLinks({step.a % 40, step.b % 60, std::chrono::milliseconds(1 + step.c * 37 % 900)});
        break;
    case StepKind::KillProcess:
        simulation.crash(step.a, CrashKind::ProcessKill);
        break;
    case StepKind::LosePower:
        simulation.crash(step.a, CrashKind::PowerLoss);
        break;
    case StepKind::LoseDataFolder:
        simulation.crash(step.a, CrashKind::DataFolderLoss);
        break;
    case StepKind::CrashAfter:
        simulation.crashAfter(step.a, step.b % 12,
                              step.c % 2 == 0 ? CrashKind::ProcessKill : CrashKind::PowerLoss);
        break;
    case StepKind::Pause:
        simulation.pause(step.a);
        break;
    case StepKind::FailDisk:
        simulation.failDisk(step.a);
        break;
    case StepKind::DeclareClass:
        simulation.declareClass(step.a, true);
        break;
    case StepKind::RemoveClass:
        simulation.declareClass(step.a, false);
        break;
    case StepKind::Upstream:
        simulation.setUpstream(step.a, static_cast<UpstreamMode>(step.b % upstreamModeNames.size()));
        break;
    default:
        break;
    }
}

void execute(const Step &step, Simulation &simulation)
{
    switch (step.kind) {
    case StepKind::Submit:
        simulation.submit(step.a, step.b, step.c % 6 == 5 ? 1 : 0, step.c % 4 != 3);
        break;
    case StepKind::Fetch:
        simulation.fetch(step.a, step.b, step.c % 2 == 0);
        break;
    case StepKind::Cancel:
        simulation.cancel(step.a, step.b);
        break;
    case StepKind::DropCaller:
        simulation.dropCaller();
        break;
    case StepKind::Advance:
        simulation.advance(std::chrono::milliseconds(step.a * step.b % 1500));
        break;
    case StepKind::AdvanceFar:
        simulation.advance(std::chrono::seconds(1 + step.a % 40));
        break;
    case StepKind::Heal:
        simulation.heal();
        break;
    case StepKind::GoodLinks:
        simulation.setLinks({});
        break;
    case StepKind::Restart:
        simulation.restart(step.a);
        break;
    case StepKind::ResumeTicking:
        simulation.resume(step.a, true);
        break;
    case StepKind::ResumeReading:
        simulation.resume(step.a, false);
        break;
    default:
        executeFault(step, simulation);
        break;
    }
}

/// Empty RapidCheck model: the simulation holds all state, and every command is valid at any time.
struct NoModel
{
};

class SimulationCommand : public rc::state::Command<NoModel, Simulation>
{
public:
    explicit SimulationCommand(const Step &step)
        : m_step(step)
    {
    }

    void run(const NoModel &, Simulation &simulation) const override
    {
        execute(m_step, simulation);
        if (simulation.violation())
            RC_FAIL(*simulation.violation());
    }

    void show(std::ostream &os) const override
    {
        os << nameOf(m_step.kind) << " " << m_step.a << " " << m_step.b << " " << m_step.c;
    }

private:
    Step m_step;
};

using CommandPointer = std::shared_ptr<const rc::state::Command<NoModel, Simulation>>;

rc::Gen<StepKind> genKind()
{
    std::vector<StepKind> kinds;
    for (const auto &it : stepEntries)
        kinds.insert(kinds.end(), it.weight, it.kind);
    return rc::gen::elementOf(kinds);
}

rc::Gen<CommandPointer> genCommand(const NoModel &)
{
    const auto number = rc::gen::inRange<std::uint32_t>(0, 240);
    return rc::gen::map(rc::gen::tuple(genKind(), number, number, number), [](const auto &it) {
        const auto [kind, a, b, c] = it;
        return CommandPointer(std::make_shared<SimulationCommand>(Step{kind, a, b, c}));
    });
}

std::string describe(const SimulationCounts &counts, std::uint64_t steps)
{
    std::ostringstream text;
    text << steps << " commands, " << counts.events << " events, " << counts.faults << " faults injected, "
         << counts.starts << " starts checked, " << counts.answers << " answers checked";
    return text.str();
}

void add(const SimulationCounts &from, SimulationCounts &to)
{
    to.events += from.events;
    to.faults += from.faults;
    to.starts += from.starts;
    to.answers += from.answers;
}

} // namespace

FuzzReport fuzzClaims(const ClaimsFuzzOptions &fuzz)
{
    SimulationCounts counts;
    std::uint64_t done = 0;
    const auto sequence = [&] {
        const auto commands =
            *rc::gen::resize(sequenceLength, rc::state::gen::commands(NoModel(), &genCommand));
        Simulation simulation(fuzz.faults);
        rc::state::runAll(commands, NoModel(), simulation);
        simulation.settle();
        add(simulation.counts(), counts);
        done += commands.size();
        if (simulation.violation())
            RC_FAIL(*simulation.violation());
    };
    for (std::uint64_t i = 0; done < fuzz.steps; ++i) {
        rc::detail::TestParams parameters;
        parameters.seed = fuzz.seed + (i << 32);
        parameters.maxSuccess = 1;
        parameters.disableShrinking = !fuzz.isShrinking;
        const rc::detail::TestMetadata metadata{"claims", "claims"};
        const auto result = rc::detail::checkTestable(sequence, metadata, parameters);
        if (result.is<rc::detail::SuccessResult>())
            continue;
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        return {false, text.str()};
    }
    return {true, describe(counts, done)};
}

} // namespace Citronpitch
