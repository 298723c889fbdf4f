#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>
#include <vector>

namespace Citronpitch {

/// A fault that is injected from outside the processes.
enum class SoakFault {
    /// SIGKILL, and a restart after the fault's time.
    Kill,
    /// SIGTERM, and a restart once the process has ended.
    Terminate,
    /// SIGSTOP, and SIGCONT after the fault's time.
    Pause,
    /// SIGKILL and an empty disk; control VMs only.
    LoseDisk,
    /// Every control VM is killed at once.
    KillControl,
    /// Bytes on the links to the VM come late.
    DelayLinks,
    /// Connections to the VM are reset.
    ResetLinks,
    /// Bytes to the VM are swallowed while connections stay open: it is cut off one way.
    SilenceLinks,
    /// Connections to the VM are reset and refused.
    RefuseLinks,
    /// An executor loses everything that it runs.
    RestartExecutor,
    /// Orders to an executor are swallowed, or their answers.
    SilenceExecutor,
    MuteExecutor,
    /// Starts at an executor go unanswered and are carried out later.
    DelayStarts,
    /// Every control VM is killed at once, and its disk loses power; one of them may lose its disk.
    LosePower,
};

inline constexpr std::array soakFaultNames{
    EnumName<SoakFault>{SoakFault::Kill, "kill"},
    EnumName<SoakFault>{SoakFault::Terminate, "terminate"},
    EnumName<SoakFault>{SoakFault::Pause, "pause"},
    EnumName<SoakFault>{SoakFault::LoseDisk, "loseDisk"},
    EnumName<SoakFault>{SoakFault::KillControl, "killControl"},
    EnumName<SoakFault>{SoakFault::DelayLinks, "delayLinks"},
    EnumName<SoakFault>{SoakFault::ResetLinks, "resetLinks"},
    EnumName<SoakFault>{SoakFault::SilenceLinks, "silenceLinks"},
    EnumName<SoakFault>{SoakFault::RefuseLinks, "refuseLinks"},
    EnumName<SoakFault>{SoakFault::RestartExecutor, "restartExecutor"},
    EnumName<SoakFault>{SoakFault::SilenceExecutor, "silenceExecutor"},
    EnumName<SoakFault>{SoakFault::MuteExecutor, "muteExecutor"},
    EnumName<SoakFault>{SoakFault::DelayStarts, "delayStarts"},
    EnumName<SoakFault>{SoakFault::LosePower, "losePower"},
};

/// One fault of a run.
struct SoakStep
{
    /// Since the start of the load.
    Duration at{};
    SoakFault fault = SoakFault::Kill;
    /// Number of the VM or executor, to be reduced modulo how many there are.
    std::size_t target = 0;
    /// How long the fault lasts, and how much it delays.
    Duration time{};
};

/// What a run of the soak does.
struct SoakPlan
{
    std::uint64_t seed = 1;
    Duration length{};
    /// Whether nothing but shutdowns in turn happens, during which no request may be cut off.
    bool isPlannedOnly = false;
    /// Whether the disks of the control VMs are recorded, so that they can lose power.
    bool losesPower = false;
    std::vector<SoakStep> steps;
};

/// The plan of @p seed; every fourth seed makes shutdowns in turn alone. With @p losesPower all seeds have
/// faults, to which losses of power are added.
SoakPlan planSoak(std::uint64_t seed, Duration length, bool losesPower = false);

} // namespace Citronpitch
