#include "citronpitch/crashledger.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

bool isInDoubt(CrashState state)
{
    return state == CrashState::StartUnanswered || state == CrashState::Suspected;
}

} // namespace

CrashLedger::CrashLedger(const CrashLedgerOptions &options)
    : m_options(options)
{
}

void CrashLedger::observe(TimePoint now, TaskCrash crash)
{
    crash.expiresAt = now + crashRetention;
    if (merge(crash))
        m_news.push_back(std::move(crash));
}

bool CrashLedger::merge(const TaskCrash &crash)
{
    const UpstreamLife life{crash.upstream, crash.incarnation};
    auto &entry = m_tasks[crash.task];
    const auto [it, isNew] = entry.crashes.try_emplace(life, crash.state);
    if (!isNew && it->second >= crash.state)
        return false;
    it->second = crash.state;
    if (isInDoubt(crash.state))
        m_doubts[life].insert(crash.task);
    entry.expiresAt = std::max(entry.expiresAt, crash.expiresAt);
    ++m_version;
    if (m_tasks.size() > m_options.maximumTasks)
        dropOldest();
    return true;
}

void CrashLedger::upstreamEnded(TimePoint now, const std::string &upstream, std::uint64_t incarnation)
{
    auto it = m_doubts.lower_bound({upstream, 0});
    while (it != m_doubts.end() && it->first.first == upstream && it->first.second < incarnation) {
        const auto life = it->first;
        ++it;
        resolve(now, life, [](CrashState state) {
            return state == CrashState::Suspected ? CrashState::Confirmed : CrashState::Inconclusive;
        });
    }
}

void CrashLedger::upstreamAnswered(TimePoint now, const std::string &upstream, std::uint64_t incarnation)
{
    resolve(now, {upstream, incarnation}, [](CrashState) { return CrashState::Refuted; });
}

void CrashLedger::resolve(TimePoint now, const UpstreamLife &life,
                          const std::function<CrashState(CrashState)> &resolved)
{
    const auto it = m_doubts.find(life);
    if (it == m_doubts.end())
        return;
    const auto tasks = std::move(it->second);
    m_doubts.erase(it);
    for (const auto &task : tasks) {
        const auto entry = m_tasks.find(task);
        if (entry == m_tasks.end())
            continue;
        const auto record = entry->second.crashes.find(life);
        if (record != entry->second.crashes.end() && isInDoubt(record->second))
            observe(now, {task, life.first, life.second, resolved(record->second), {}});
    }
}

StartPermission CrashLedger::permission(const std::string &task) const
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return StartPermission::Granted;
    const auto crashes = count(it->second, CrashState::Confirmed);
    if (crashes >= m_options.maximumCrashes)
        return StartPermission::Denied;
    const auto unresolved =
        crashes + count(it->second, CrashState::Suspected) + count(it->second, CrashState::StartUnanswered);
    const bool mustWait = unresolved >= m_options.maximumUnresolved
        || unresolved + count(it->second, CrashState::Inconclusive) >= m_options.maximumPossible;
    return mustWait ? StartPermission::Pending : StartPermission::Granted;
}

bool CrashLedger::isSuspect(const std::string &task) const
{
    const auto it = m_tasks.find(task);
    return it != m_tasks.end() && count(it->second, CrashState::Refuted) < it->second.crashes.size();
}

std::vector<TaskCrash> CrashLedger::takeNews()
{
    return std::exchange(m_news, {});
}

std::vector<TaskCrash> CrashLedger::records() const
{
    std::vector<TaskCrash> list;
    for (const auto &[task, entry] : m_tasks) {
        for (const auto &[life, state] : entry.crashes)
            list.push_back({task, life.first, life.second, state, entry.expiresAt});
    }
    return list;
}

std::uint64_t CrashLedger::version() const
{
    return m_version;
}

std::size_t CrashLedger::size() const
{
    return m_tasks.size();
}

void CrashLedger::expire(TimePoint now)
{
    if (std::erase_if(m_tasks, [&](const auto &it) { return it.second.expiresAt <= now; }) == 0)
        return;
    ++m_version;
    for (auto &[life, tasks] : m_doubts)
        std::erase_if(tasks, [this](const auto &task) { return !m_tasks.contains(task); });
    std::erase_if(m_doubts, [](const auto &it) { return it.second.empty(); });
}

std::size_t CrashLedger::count(const Entry &entry, CrashState state) const
{
    return static_cast<std::size_t>(std::count_if(entry.crashes.begin(), entry.crashes.end(),
                                                  [=](const auto &it) { return it.second == state; }));
}

void CrashLedger::dropOldest()
{
    m_tasks.erase(std::min_element(m_tasks.begin(), m_tasks.end(), [](const auto &left, const auto &right) {
        return left.second.expiresAt < right.second.expiresAt;
    }));
}

} // namespace Citronpitch
