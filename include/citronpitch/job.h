#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/resources.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Largest number of tasks in one job.
constexpr std::size_t maximumTasksPerJob = 640;

/// One task of a job, as the caller declared it.
struct TaskSpec
{
    std::string payload;
    /// Expected run time; a prior only. Zero: not declared.
    Duration declaredTime{};
    Resources need;
};

/// A job as a caller submitted it. A single request is a job of one task.
struct Submission
{
    std::string team;
    /// Idempotency key, unique within the team.
    std::string key;
    std::string className;
    TimePoint deadline;
    /// Whether a task may run again after an attempt that may have run.
    bool idempotent = false;
    std::vector<TaskSpec> tasks;
    /// Hash of the request body; a key with another hash is a conflict.
    std::uint64_t bodyHash = 0;
};

/// What is known of one task when its job is answered.
enum class TaskState { Ran, NotRun, MayHaveRun };

inline constexpr std::array taskStateNames{
    EnumName<TaskState>{TaskState::Ran, "ran"},
    EnumName<TaskState>{TaskState::NotRun, "notRun"},
    EnumName<TaskState>{TaskState::MayHaveRun, "mayHaveRun"},
};

/// State and result of one task within an answer.
struct TaskReport
{
    TaskState state = TaskState::NotRun;
    /// Status the upstream gave, as in HTTP; zero where it gave none.
    int status = 0;
    std::string result;
    /// Upstream the last attempt went to; empty where none did.
    std::string upstream;
};

/// State of a submission: not final, or one of the four final outcomes.
enum class Outcome {
    /// Accepted and not answered yet.
    Pending,
    /// Every task ran and succeeded; all results are present.
    Complete,
    /// At least one task failed, or could not be finished; the reports say which ran.
    Failed,
    /// No task was started, and none will be under this attempt.
    Refused,
    /// Nothing can be said: the home of the key is out of reach or has lost its memory.
    Unknown,
};

inline constexpr std::array outcomeNames{
    EnumName<Outcome>{Outcome::Pending, "pending"}, EnumName<Outcome>{Outcome::Complete, "complete"},
    EnumName<Outcome>{Outcome::Failed, "failed"},   EnumName<Outcome>{Outcome::Refused, "refused"},
    EnumName<Outcome>{Outcome::Unknown, "unknown"},
};

/// Why an answer has its outcome.
enum class Reason {
    None,
    TaskFailed,
    TaskOutcomeUnknown,
    DeadlinePassed,
    Cancelled,
    UnknownClass,
    RetiredClass,
    UnknownTeam,
    NeverFits,
    Overloaded,
    QuotaExceeded,
    ShuttingDown,
    KeyConflict,
    KeyNotKnown,
    KeyExpired,
    KeyMemoryFull,
    KeyMalformed,
    HomeUnreachable,
    MemoryLost,
    StorageFailed,
    DeadlineOutOfReach,
};

inline constexpr std::array reasonNames{
    EnumName<Reason>{Reason::None, "none"},
    EnumName<Reason>{Reason::TaskFailed, "task-failed"},
    EnumName<Reason>{Reason::TaskOutcomeUnknown, "task-outcome-unknown"},
    EnumName<Reason>{Reason::DeadlinePassed, "deadline-passed"},
    EnumName<Reason>{Reason::Cancelled, "cancelled"},
    EnumName<Reason>{Reason::UnknownClass, "unknown-class"},
    EnumName<Reason>{Reason::RetiredClass, "retired-class"},
    EnumName<Reason>{Reason::UnknownTeam, "unknown-team"},
    EnumName<Reason>{Reason::NeverFits, "never-fits"},
    EnumName<Reason>{Reason::Overloaded, "overloaded"},
    EnumName<Reason>{Reason::QuotaExceeded, "quota-exceeded"},
    EnumName<Reason>{Reason::ShuttingDown, "shutting-down"},
    EnumName<Reason>{Reason::KeyConflict, "key-conflict"},
    EnumName<Reason>{Reason::KeyNotKnown, "key-not-known"},
    EnumName<Reason>{Reason::KeyExpired, "key-expired"},
    EnumName<Reason>{Reason::KeyMemoryFull, "key-memory-full"},
    EnumName<Reason>{Reason::KeyMalformed, "key-malformed"},
    EnumName<Reason>{Reason::HomeUnreachable, "home-unreachable"},
    EnumName<Reason>{Reason::MemoryLost, "memory-lost"},
    EnumName<Reason>{Reason::StorageFailed, "storage-failed"},
    EnumName<Reason>{Reason::DeadlineOutOfReach, "deadline-out-of-reach"},
};

/// The final answer to a submission, or the state of one that was asked for.
struct Answer
{
    std::string key;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// One sentence for a person; names the step and the peer.
    std::string detail;
    /// When asking again makes sense; nothing where it does not.
    std::optional<TimePoint> retryAt;
    /// One report a task, in the order of the submission; empty when refused or unknown.
    std::vector<TaskReport> tasks;
};

} // namespace Citronpitch
