#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/resources.h"
#include "citronpitch/sharedtext.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Maximum number of tasks in a job.
constexpr std::size_t maximumTasksPerJob = 640;

/// Task of a job as declared by the caller.
struct TaskSpec
{
    /// Often the same for all tasks of a job.
    SharedText payload;
    /// Expected run time, used as an initial estimate; zero if not declared.
    Duration declaredTime{};
    Resources need;
};

/// Which upstreams may run the tasks of a job, besides those that have the resources.
struct PlacementConstraints
{
    /// Label that an upstream must have; empty if none is required.
    std::string requiredLabel;
    /// Maximum number of tasks of the job on one upstream at the same time; zero for no limit.
    std::uint32_t maximumPerUpstream = 0;

    auto operator<=>(const PlacementConstraints &) const = default;

    /// Whether any upstream with the resources may run the tasks.
    bool isEmpty() const
    {
        return requiredLabel.empty() && maximumPerUpstream == 0;
    }

    /// Returns how many tasks of the job may run on @p upstreams upstreams that can run @p tasks.
    std::uint32_t limited(std::uint32_t tasks, std::uint64_t upstreams = 1) const
    {
        const std::uint64_t most = maximumPerUpstream * upstreams;
        return maximumPerUpstream > 0 && most < tasks ? static_cast<std::uint32_t>(most) : tasks;
    }
};

/// Job as submitted by a caller. A single request is a job of one task.
struct Submission
{
    std::string team;
    /// Idempotency key, unique within the team.
    std::string key;
    std::string className;
    TimePoint deadline;
    /// Whether a task may be retried after an attempt that may have run.
    bool idempotent = false;
    std::vector<TaskSpec> tasks;
    /// Hash of the request body; resubmitting the key with another hash is a conflict.
    std::uint64_t bodyHash = 0;
    PlacementConstraints constraints;
};

/// What is known about a task when its job is answered.
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
    /// HTTP status returned by the upstream; zero if there was none.
    int status = 0;
    std::string result;
    /// Upstream of the last attempt; empty if there was none.
    std::string upstream;
};

/// State of a submission: pending, or one of the four final outcomes.
enum class Outcome {
    /// Accepted and not answered yet.
    Pending,
    /// Every task ran and succeeded; all results are present.
    Complete,
    /// At least one task failed or could not be finished; the task reports tell which tasks ran.
    Failed,
    /// No task was started, and none will be started for this request.
    Refused,
    /// Not known, because the home VM of the key is unreachable or has lost its records.
    Unknown,
};

inline constexpr std::array outcomeNames{
    EnumName<Outcome>{Outcome::Pending, "pending"}, EnumName<Outcome>{Outcome::Complete, "complete"},
    EnumName<Outcome>{Outcome::Failed, "failed"},   EnumName<Outcome>{Outcome::Refused, "refused"},
    EnumName<Outcome>{Outcome::Unknown, "unknown"},
};

/// Cause of an outcome.
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
    DomainEvacuated,
    /// No upstream in service meets the placement constraints of the job.
    NoSuitableUpstream,
    /// The class or team is not declared, unless a change that this VM may have missed declares it.
    ConfigurationOutdated,
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
    EnumName<Reason>{Reason::DomainEvacuated, "domain-evacuated"},
    EnumName<Reason>{Reason::NoSuitableUpstream, "no-suitable-upstream"},
    EnumName<Reason>{Reason::ConfigurationOutdated, "configuration-outdated"},
};

/// Final answer to a submission, or its current state if it is pending.
struct Answer
{
    std::string key;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// Human-readable sentence that names the failing step and the peer.
    std::string detail;
    /// Earliest time for a retry; std::nullopt if a retry is pointless.
    std::optional<TimePoint> retryAt;
    /// One report per task in the order of the submission; empty if refused or unknown.
    std::vector<TaskReport> tasks;
};

} // namespace Citronpitch
