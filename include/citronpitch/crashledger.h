#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Citronpitch {

/// What is known of an upstream that was lost while it ran a task. A later state replaces an earlier one.
enum class CrashState {
    /// It did not answer the start order and was silent until the lease had expired: it may be unreachable,
    /// or have crashed, and the task may not have run there.
    StartUnanswered,
    /// As above, and the task was running there.
    Suspected,
    /// It has ended since, and it is not known whether the task ran there.
    Inconclusive,
    /// It has ended since, as it has restarted or another upstream has its address; the task was running.
    Confirmed,
    /// It has answered since without a restart.
    Refuted,
};

inline constexpr std::array crashStateNames{
    EnumName<CrashState>{CrashState::StartUnanswered, "startUnanswered"},
    EnumName<CrashState>{CrashState::Suspected, "suspected"},
    EnumName<CrashState>{CrashState::Inconclusive, "inconclusive"},
    EnumName<CrashState>{CrashState::Confirmed, "confirmed"},
    EnumName<CrashState>{CrashState::Refuted, "refuted"},
};

/// An upstream that crashed, or may have crashed, while it ran a task.
struct TaskCrash
{
    /// Name under which the task runs on its upstreams.
    std::string task;
    std::string upstream;
    /// Incarnation of the upstream that ran the task.
    std::uint64_t incarnation = 0;
    CrashState state = CrashState::Suspected;
    /// When the record may be dropped.
    TimePoint expiresAt;
};

/// Whether a task may be started once more.
enum class StartPermission {
    Granted,
    /// Not until fewer of the upstreams that were lost may have crashed under it.
    Pending,
    /// Upstreams have crashed under it; its job fails.
    Denied,
};

/// How long the crashes of a task are kept after the last one.
inline constexpr Duration crashRetention = std::chrono::minutes(2);

/// Options of a CrashLedger.
struct CrashLedgerOptions
{
    /// Number of crashed upstreams after which a task is not started again.
    std::size_t maximumCrashes = 2;
    /// Number of crashed and silent upstreams after which a task is started again only once fewer are in
    /// doubt.
    std::size_t maximumUnresolved = 2;
    /// Number of upstreams that may have crashed under a task, among them those of which that will never be
    /// known, after which it is not started again while they are remembered.
    std::size_t maximumPossible = 3;
    /// Number of tasks above which those with the oldest crashes are dropped.
    std::size_t maximumTasks = 10'000;
};

/**
 * @brief Counts the upstreams that crashed under each task, for all jobs and all groups of a deployment.
 *
 * Every VM has a copy. Records only grow and are merged in any order, so that copies that exchange their
 * records agree. Does no I/O and reads no clock. Used by GroupDispatcher and HeldGroups.
 */
class CrashLedger
{
public:
    explicit CrashLedger(const CrashLedgerOptions &options = {});

    /// Adds what this VM has observed; takeNews() returns it if it is new.
    void observe(TimePoint now, TaskCrash crash);

    /// Adds a record of another VM, with its expiry. Returns whether it is new.
    bool merge(const TaskCrash &crash);

    /// The incarnations of an upstream before @p incarnation have ended.
    void upstreamEnded(TimePoint now, const std::string &upstream, std::uint64_t incarnation);

    /// An upstream has answered in @p incarnation.
    void upstreamAnswered(TimePoint now, const std::string &upstream, std::uint64_t incarnation);

    StartPermission permission(const std::string &task) const;

    /// Whether an upstream crashed, or may have crashed, under @p task.
    bool isSuspect(const std::string &task) const;

    /// Returns the records that this VM has added or changed since the last call.
    std::vector<TaskCrash> takeNews();

    std::vector<TaskCrash> records() const;

    /// Increases with each change that affects permission().
    std::uint64_t version() const;

    /// Number of tasks with records.
    std::size_t size() const;

    /// Drops records whose retention has ended.
    void expire(TimePoint now);

private:
    /// Name and incarnation of an upstream.
    using UpstreamLife = std::pair<std::string, std::uint64_t>;

    struct Entry
    {
        std::map<UpstreamLife, CrashState> crashes;
        TimePoint expiresAt;
    };

    std::size_t count(const Entry &entry, CrashState state) const;
    /// Replaces the states of the records in doubt about @p life by what @p resolved returns for them.
    void resolve(TimePoint now, const UpstreamLife &life,
                 const std::function<CrashState(CrashState)> &resolved);
    void dropOldest();

    CrashLedgerOptions m_options;
    std::map<std::string, Entry> m_tasks;
    /// Tasks with records in doubt, by the life of the upstream.
    std::map<UpstreamLife, std::set<std::string>> m_doubts;
    std::vector<TaskCrash> m_news;
    std::uint64_t m_version = 0;
};

} // namespace Citronpitch
