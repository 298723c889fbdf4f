#include "soak/soakledger.h"

#include <nlohmann/json.hpp>

namespace Citronpitch {

namespace {

constexpr int statusOk = 200;
constexpr int statusOverloaded = 429;
constexpr int statusUnavailable = 503;
constexpr std::size_t idLength = 16;
/// Within this time an accepted configuration is in force everywhere.
constexpr Duration applyTime = std::chrono::milliseconds(2000);
constexpr std::size_t longestList = 20;
/// After this many crashes of executors under a task it may be started excessStarts - 1 times.
constexpr unsigned crashLimit = 3;
constexpr unsigned excessStarts = 3;
/// A job may fail once this many executors have crashed under a task of it.
constexpr std::uint64_t crashesToFail = 2;

std::string idOf(const std::string &task)
{
    return task.substr(0, idLength);
}

std::uint64_t versionOf(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("Version", std::uint64_t{0}) : 0;
}

} // namespace

void SoakLedger::started(const std::string &task, const std::vector<std::string> &alsoRunningOn)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.starts;
    for (const auto &it : alsoRunningOn)
        failLocked("task " + task + " runs twice at the same time, the first time on " + it);
    const auto it = m_jobs.find(idOf(task));
    if (it == m_jobs.end()) {
        failLocked("task " + task + " was started, and nobody submitted it");
        return;
    }
    it->second.hasStarted = true;
    checkRefusal(it->first, it->second);
    const auto crashing = m_crashingTasks.find(task);
    if (crashing == m_crashingTasks.end() || crashing->second.crashes < crashLimit)
        return;
    if (++crashing->second.startsAfterLimit >= excessStarts)
        failLocked("task " + task + " was started again and again, after "
                   + std::to_string(crashing->second.crashes) + " executors had crashed under it");
}

void SoakLedger::crashed(const std::vector<std::string> &tasks)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.crashes;
    for (const auto &it : tasks)
        ++m_crashingTasks[it].crashes;
}

void SoakLedger::done(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[idOf(task)].done.insert(task);
}

void SoakLedger::submitted(const std::string &id, unsigned tasks)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.submitted;
    const auto [it, isNew] = m_jobs.try_emplace(id);
    auto &job = it->second;
    if (isNew)
        job.crashesBefore = m_counts.crashes;
    job.tasks = tasks;
    ++job.open;
}

void SoakLedger::answered(const std::string &id, int status)
{
    const std::lock_guard lock(m_mutex);
    auto &job = m_jobs.at(id);
    --job.open;
    if (status == statusOk) {
        ++m_counts.completed;
        ++job.others;
        if (job.done.size() != job.tasks)
            failLocked("job " + id + " is said to be completed after " + std::to_string(job.done.size())
                       + " of " + std::to_string(job.tasks) + " tasks");
        return;
    }
    if (status == statusOverloaded || status == statusUnavailable) {
        ++m_counts.refused;
        ++job.refusals;
        checkRefusal(id, job);
        return;
    }
    ++m_counts.unknown;
    ++job.others;
}

void SoakLedger::failed(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.failed;
    auto &job = m_jobs.at(id);
    --job.open;
    ++job.others;
    if (m_counts.crashes - job.crashesBefore < crashesToFail)
        failLocked("job " + id + " is said to have failed, and executors did not crash");
}

void SoakLedger::cutOff(const std::string &id, const std::string &vm)
{
    fail("request " + id + " was cut off by the shutdown of " + vm);
}

void SoakLedger::ordered(std::uint64_t version, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_ordered[version] = text;
}

void SoakLedger::accepted(TimePoint now, std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.accepted;
    m_acceptedAt.emplace(version, now);
}

void SoakLedger::orderRefused(std::uint64_t version, int status)
{
    fail("valid configuration " + std::to_string(version) + " was refused with " + std::to_string(status));
}

void SoakLedger::read(TimePoint sentAt, const std::string &vm, std::uint64_t life, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.reads;
    const auto version = versionOf(body);
    const auto ordered = m_ordered.find(version);
    if (ordered == m_ordered.end() || ordered->second != body) {
        failLocked(vm + " shows a configuration that nobody sent: version " + std::to_string(version));
        return;
    }
    for (const auto &[newer, at] : m_acceptedAt) {
        if (newer > version && at + applyTime < sentAt)
            failLocked(vm + " shows version " + std::to_string(version) + " after version "
                       + std::to_string(newer) + " was accepted");
    }
    auto &before = m_readByLife[vm + "/" + std::to_string(life)];
    if (version < before)
        failLocked(vm + " shows version " + std::to_string(version) + " after version "
                   + std::to_string(before));
    before = std::max(before, version);
}

bool SoakLedger::isNewest(const std::string &body) const
{
    const std::lock_guard lock(m_mutex);
    const auto version = versionOf(body);
    return version > 0 && (m_acceptedAt.empty() || version >= m_acceptedAt.rbegin()->first);
}

void SoakLedger::fail(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    failLocked(text);
}

std::vector<std::string> SoakLedger::failures() const
{
    const std::lock_guard lock(m_mutex);
    return m_failures;
}

SoakCounts SoakLedger::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void SoakLedger::failLocked(const std::string &text)
{
    if (m_failures.size() < longestList)
        m_failures.push_back(text);
}

void SoakLedger::checkRefusal(const std::string &id, const Job &job)
{
    // Where another submission of the same job is open, or ended without a clear answer, it may have run.
    if (job.hasStarted && job.refusals > 0 && job.others == 0 && job.open == 0)
        failLocked("job " + id + " was refused, and a task of it was started");
}

} // namespace Citronpitch
