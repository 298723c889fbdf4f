#include "support/simulatedupstream.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace {

constexpr int thousand = 1000;

} // namespace

SimulatedUpstream::SimulatedUpstream(TimePoint now, const SimulatedUpstreamOptions &options)
    : m_options(options)
    , m_startedAt(now)
{
}

OrderResult SimulatedUpstream::execute(TimePoint now, const RunOrder &order)
{
    advance(now);
    OrderResult result;
    result.clockMs = clockMs(now);
    result.verdict = OrderVerdict::Accepted;
    if (order.fence < m_fence) {
        result.verdict = OrderVerdict::StaleFence;
        return result;
    }
    m_fence = order.fence;
    if (order.kind == OrderKind::Start) {
        start(now, order, result);
        return result;
    }
    if (order.leaseMs > 0) {
        const auto maximumLeaseMs = clockMs(now) + m_options.maximumLease / std::chrono::milliseconds(1);
        m_leaseMs = std::max(m_leaseMs, std::min<std::int64_t>(order.leaseMs, maximumLeaseMs));
    }
    if (order.kind == OrderKind::Stop) {
        auto &highest = m_highestEnded[order.task];
        const auto it = m_runs.find(order.task);
        if (it != m_runs.end() && it->second.run <= order.run)
            end(order.task, RunEndKind::Stopped);
        highest = std::max(highest, order.run);
        return result;
    }
    std::erase_if(m_ended, [&](const auto &it) { return it.number <= order.acknowledgedThrough; });
    result.incarnation = m_incarnation;
    result.ended = m_ended;
    for (const auto &[task, it] : m_runs)
        result.running.push_back({task, it.run});
    return result;
}

void SimulatedUpstream::start(TimePoint now, const RunOrder &order, OrderResult &result)
{
    if (clockMs(now) > order.leaseMs) {
        result.verdict = OrderVerdict::TooLate;
        return;
    }
    const auto maximumLeaseMs = clockMs(now) + m_options.maximumLease / std::chrono::milliseconds(1);
    m_leaseMs = std::max(m_leaseMs, std::min<std::int64_t>(order.leaseMs, maximumLeaseMs));
    const auto known = m_runs.find(order.task);
    if (known != m_runs.end() && known->second.run == order.run)
        return;
    if (order.run <= m_highestEnded[order.task]) {
        result.verdict = OrderVerdict::StaleRun;
        return;
    }
    if (m_runs.size() >= m_options.slots) {
        result.verdict = OrderVerdict::NoRoom;
        return;
    }
    m_runs[order.task] = {order.run, now + m_options.taskTime};
    if (onStarted)
        onStarted(order.task);
}

void SimulatedUpstream::advance(TimePoint now)
{
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto task = it->first;
        const bool hasEnded = it->second.endsAt <= now;
        ++it;
        if (hasEnded)
            end(task, endKindOf ? endKindOf(task) : RunEndKind::Done);
    }
    if (clockMs(now) <= m_leaseMs)
        return;
    while (!m_runs.empty())
        end(std::string(m_runs.begin()->first), RunEndKind::Lapsed);
}

void SimulatedUpstream::end(std::string task, RunEndKind how)
{
    const auto run = m_runs.at(task).run;
    m_runs.erase(task);
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    m_ended.push_back({++m_endCount, std::move(task), run, how});
}

void SimulatedUpstream::restart(TimePoint now)
{
    m_startedAt = now;
    ++m_incarnation;
    m_fence = 0;
    m_leaseMs = 0;
    m_runs.clear();
    m_highestEnded.clear();
    m_ended.clear();
    m_endCount = 0;
}

std::int64_t SimulatedUpstream::clockMs(TimePoint now) const
{
    return (now - m_startedAt) * m_options.clockRate / thousand / std::chrono::milliseconds(1);
}

std::uint64_t SimulatedUpstream::incarnation() const
{
    return m_incarnation;
}

const std::string &SimulatedUpstream::name() const
{
    return m_options.name;
}

std::map<std::string, std::uint32_t> SimulatedUpstream::running() const
{
    std::map<std::string, std::uint32_t> list;
    for (const auto &[task, it] : m_runs)
        list[task] = it.run;
    return list;
}

} // namespace Citronpitch
