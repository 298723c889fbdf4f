#include "citronpitch/entryvm.h"

#include <algorithm>

namespace Citronpitch {

namespace {

/// Numbers of upstreams that have a free slot (usable), and of those that accept no task, by the cause.
struct UpstreamCounts
{
    std::uint32_t leaving = 0;
    std::uint32_t expired = 0;
    std::uint32_t full = 0;
    std::uint32_t usable = 0;
};

UpstreamCounts countUpstreams(TimePoint now, const std::vector<UpstreamStatus> &upstreams)
{
    UpstreamCounts counts;
    for (const auto &it : upstreams) {
        if (it.announcement.leaving)
            ++counts.leaving;
        else if (it.announcement.leaseDeadline <= now)
            ++counts.expired;
        else if (it.busySlots >= it.ownSlots)
            ++counts.full;
        else
            ++counts.usable;
    }
    return counts;
}

std::string waitReason(TimePoint now, const Dispatcher &dispatcher)
{
    const auto upstreams = dispatcher.upstreams();
    if (upstreams.empty())
        return "No upstream has announced itself to this entry VM.";
    const auto counts = countUpstreams(now, upstreams);
    return std::to_string(dispatcher.queuedTasks()) + " tasks wait here. Of "
        + std::to_string(upstreams.size()) + " upstreams, " + std::to_string(counts.usable)
        + " have a free slot, " + std::to_string(counts.full) + " are full, " + std::to_string(counts.leaving)
        + " are leaving and " + std::to_string(counts.expired) + " have not renewed their lease.";
}

TaskPlacement placementOf(const TaskReport &report)
{
    return {TaskStage::Ended, report.upstream, report.state != TaskState::NotRun};
}

} // namespace

JobExplanation EntryVm::explain(TimePoint now, const std::string &team, const std::string &text) const
{
    JobExplanation explanation;
    const ClaimKey key{team, text};
    explanation.home = homeOfKey(key);
    explanation.isHome = explanation.home == m_options.self.name;
    explanation.state = "not known";
    if (!explanation.isHome)
        return explanation;
    if (const auto *answer = m_claims.findAnswer(key)) {
        explanation.state = enumName(outcomeNames, answer->outcome);
        explanation.why = answer->detail.empty() ? "The job is answered." : answer->detail;
        for (const auto &it : answer->tasks)
            explanation.tasks.push_back(placementOf(it));
        return explanation;
    }
    const auto job = m_claims.findOpenJob(key);
    if (!job) {
        explanation.why = "The key is not known to its home VM, or its answer is no longer retained.";
        return explanation;
    }
    explanation.state = enumName(outcomeNames, Outcome::Pending);
    explanation.tasks = m_jobs.at(*job).placements();
    const bool isWaiting =
        std::any_of(explanation.tasks.begin(), explanation.tasks.end(),
                    [](const TaskPlacement &it) { return it.stage == TaskStage::Waiting; });
    explanation.why =
        isWaiting ? waitReason(now, m_dispatcher) : "No task is waiting; unfinished tasks are running.";
    return explanation;
}

} // namespace Citronpitch
