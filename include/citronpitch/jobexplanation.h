#pragma once

#include "citronpitch/nametable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// Progress of a task.
enum class TaskStage { Waiting, Running, Ended };

inline constexpr std::array taskStageNames{
    EnumName<TaskStage>{TaskStage::Waiting, "waiting"},
    EnumName<TaskStage>{TaskStage::Running, "running"},
    EnumName<TaskStage>{TaskStage::Ended, "ended"},
};

/// Placement of a task on an upstream.
struct TaskPlacement
{
    TaskStage stage = TaskStage::Waiting;
    /// Upstream of the last attempt; empty if there was none.
    std::string upstream;
    /// Whether a start message for the task may have been sent.
    bool hasStarted = false;
};

/// Diagnostic information for operators: where a job was placed and why it waits.
struct JobExplanation
{
    /// Home VM of the key; empty if there is none.
    std::string home;
    /// Whether the explaining VM is the home VM; if not, the state is "not known" and the other fields below
    /// are empty.
    bool isHome = false;
    /// Outcome of the job, "pending", or "not known".
    std::string state;
    /// Human-readable explanation of one or two sentences.
    std::string why;
    std::vector<TaskPlacement> tasks;
};

} // namespace Citronpitch
