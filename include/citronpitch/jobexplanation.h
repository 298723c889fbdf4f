#pragma once

#include "citronpitch/nametable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// How far one task of a job has got.
enum class TaskStage { Waiting, Running, Ended };

inline constexpr std::array taskStageNames{
    EnumName<TaskStage>{TaskStage::Waiting, "waiting"},
    EnumName<TaskStage>{TaskStage::Running, "running"},
    EnumName<TaskStage>{TaskStage::Ended, "ended"},
};

/// Where one task of a job was placed.
struct TaskPlacement
{
    TaskStage stage = TaskStage::Waiting;
    /// Upstream of the last attempt; empty where there was none.
    std::string upstream;
    /// Whether a start message of it may ever have been sent.
    bool hasStarted = false;
};

/// Where a job was placed and why it waits, for operators.
struct JobExplanation
{
    /// Entry VM that is home to the key; empty where none is.
    std::string home;
    /// Whether the explanation comes from the home; otherwise nothing else is known here.
    bool isHome = false;
    /// Outcome of the job, "pending", or "not known".
    std::string state;
    /// One or two sentences for a person.
    std::string why;
    std::vector<TaskPlacement> tasks;
};

} // namespace Citronpitch
