#pragma once

#include "citronpitch/entryvm.h"
#include "fuzz/oracle.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Citronpitch {

/// Quality of the links between entry VMs.
struct LinkQuality
{
    std::uint32_t dropPercent = 0;
    std::uint32_t duplicatePercent = 0;
    Duration maximumDelay = std::chrono::milliseconds(2);
};

/// How a simulated upstream handles start messages.
enum class UpstreamMode {
    Normal,
    Declines,
    BreaksBeforeStart,
    BreaksAfterStart,
    FailsEverything,
    Slow,
    Silent,
    Unreachable,
    Leaving,
};

inline constexpr std::array upstreamModeNames{
    EnumName<UpstreamMode>{UpstreamMode::Normal, "normal"},
    EnumName<UpstreamMode>{UpstreamMode::Declines, "declines"},
    EnumName<UpstreamMode>{UpstreamMode::BreaksBeforeStart, "breaks-before-start"},
    EnumName<UpstreamMode>{UpstreamMode::BreaksAfterStart, "breaks-after-start"},
    EnumName<UpstreamMode>{UpstreamMode::FailsEverything, "fails-everything"},
    EnumName<UpstreamMode>{UpstreamMode::Slow, "slow"},
    EnumName<UpstreamMode>{UpstreamMode::Silent, "silent"},
    EnumName<UpstreamMode>{UpstreamMode::Unreachable, "unreachable"},
    EnumName<UpstreamMode>{UpstreamMode::Leaving, "leaving"},
};

/// How an entry VM crashes.
enum class CrashKind {
    /// The process is killed; everything written survives.
    ProcessKill,
    /// The machine loses power; unsynced records may be lost.
    PowerLoss,
    /// The machine loses power and its data folder is lost.
    DataFolderLoss,
};

inline constexpr std::array crashKindNames{
    EnumName<CrashKind>{CrashKind::ProcessKill, "process"},
    EnumName<CrashKind>{CrashKind::PowerLoss, "power"},
    EnumName<CrashKind>{CrashKind::DataFolderLoss, "folder"},
};

/// Counters of a simulation.
struct SimulationCounts
{
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t starts = 0;
    std::uint64_t answers = 0;
};

/**
 * @brief Discrete-event simulation of several EntryVm instances with their clocks, links, disks, upstreams
 * and callers.
 *
 * Indexes of VMs, upstreams and keys are taken modulo their number, so every argument is valid. Used by the
 * claims model of the fuzzer.
 */
class Simulation
{
public:
    explicit Simulation(const FaultInjection &faults);

    void submit(std::uint32_t vm, std::uint32_t key, std::uint32_t body, bool wait);
    void fetch(std::uint32_t vm, std::uint32_t key, bool wait);
    void cancel(std::uint32_t vm, std::uint32_t key);
    /// Disconnects the longest-waiting caller of the first VM that has one.
    void dropCaller();

    /// Drops all messages from @p from to @p to until heal(); with @p bothWays also from @p to to @p from.
    void cut(std::uint32_t from, std::uint32_t to, bool bothWays);
    void heal();
    void setLinks(const LinkQuality &quality);

    void crash(std::uint32_t vm, CrashKind kind);
    /// Crashes the VM after it has executed @p actions more actions.
    void crashAfter(std::uint32_t vm, std::uint32_t actions, CrashKind kind);
    void restart(std::uint32_t vm);
    void pause(std::uint32_t vm);
    /// Resumes a paused VM; if @p ticksFirst, it ticks before it handles the events that arrived meanwhile.
    void resume(std::uint32_t vm, bool ticksFirst);
    /// Makes writes to the claim journal of the VM fail until it restarts.
    void failDisk(std::uint32_t vm);
    /// Declares the class of all jobs on one VM, or removes it there.
    void declareClass(std::uint32_t vm, bool isDeclared);
    void setUpstream(std::uint32_t upstream, UpstreamMode mode);

    void advance(Duration time);

    /// Removes all faults, lets time pass, and checks that every caller was answered and every VM is idle.
    void settle();

    const std::optional<std::string> &violation() const;
    SimulationCounts counts() const;

private:
    using VmEvent = std::function<void(EntryVm &, TimePoint)>;

    struct Disk
    {
        bool exists = true;
        bool isFailing = false;
        bool isIncomplete = false;
        std::vector<std::string> records;
        std::size_t synced = 0;
        std::uint64_t lastIncarnation = 0;
        std::uint64_t lastBoot = 0;
    };

    struct Vm
    {
        VmIdentity identity;
        std::unique_ptr<EntryVm> entryVm;
        bool isPaused = false;
        bool isExecuting = false;
        std::vector<VmEvent> inbox;
        std::map<std::uint64_t, bool> callers;
        Disk disk;
        std::uint64_t incarnation = 0;
        std::uint64_t boot = 1;
        Duration clockOffset{};
        std::uint32_t actionsUntilCrash = 0;
        bool isCrashArmed = false;
        CrashKind armedCrash = CrashKind::ProcessKill;
    };

    struct Upstream
    {
        std::string name;
        std::string failureDomain;
        UpstreamMode mode = UpstreamMode::Normal;
        std::uint64_t incarnation = 1;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    /// Attempt whose result a running VM waits for.
    struct RunningAttempt
    {
        std::size_t vm = 0;
        std::string payload;
    };

    void schedule(Duration after, std::function<void()> run);
    void startVm(std::size_t vm);
    JournalCompleteness journalCompletenessOf(const Vm &vm) const;
    void crashVm(std::size_t vm, CrashKind kind);
    void tickVm(std::size_t vm, std::uint64_t incarnation);
    void syncPeriodically(std::size_t vm, std::uint64_t incarnation);
    void announceUpstream(std::size_t upstream);
    void deliverEvent(std::size_t vm, std::uint64_t incarnation, const VmEvent &event);
    void request(std::uint32_t vm, RequestKind kind, const TestJob &testJob, bool wait);
    void executeActions(std::size_t vm);
    bool consumeAction(std::size_t vm);
    void execute(std::size_t vm, const StartTask &action);
    void execute(std::size_t vm, const StopTask &action);
    void execute(std::size_t vm, const AnswerCaller &action);
    void execute(std::size_t vm, const SendPeerMessage &action);
    void execute(std::size_t vm, const AppendClaimRecord &action);
    void deliver(std::size_t from, std::size_t to, const std::string &bytes);
    void startAt(std::size_t upstream, std::size_t vm, const StartTask &action);
    void endAttempt(std::size_t vm, const StartTask &action, const AttemptResult &result, Duration after);
    TestJob testJobOf(std::uint32_t key, std::uint32_t body);
    const std::string &keyText(std::uint32_t key);
    std::size_t indexOfVm(const std::string &name) const;
    TimePoint clockOf(const Vm &vm) const;
    Duration randomDuration(Duration longest);
    bool chance(std::uint32_t percent);

    FaultInjection m_faults;
    TimePoint m_now;
    std::mt19937_64 m_random{1};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextRequest = 1;
    std::vector<Vm> m_vms;
    std::vector<Upstream> m_upstreams;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cuts;
    LinkQuality m_links;
    std::map<std::uint32_t, std::string> m_keys;
    /// Attempts in flight, by attempt ID on the wire.
    std::map<std::string, RunningAttempt> m_running;
    Oracle m_oracle;
    SimulationCounts m_counts;
};

} // namespace Citronpitch
