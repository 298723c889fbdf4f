#include "fuzz/oracle.h"

namespace Citronpitch {

namespace {

/// Starts that an idempotent job of one task may have in all.
constexpr std::uint32_t idempotentStarts = 3;

} // namespace

std::string Work::payload(std::uint32_t index) const
{
    return key + "|" + std::to_string(body) + "|" + std::to_string(index);
}

std::string expectedResult(const std::string &payload)
{
    return "done " + payload;
}

void Oracle::requested(std::uint64_t request, RequestKind kind, const Work &work, bool wait)
{
    m_open[request] = {kind, work, wait, startsOf(work)};
    if (kind != RequestKind::Submit)
        return;
    ++m_liveSubmissions[work];
    for (std::uint32_t i = 0; i < work.tasks; ++i)
        m_tasks[work.payload(i)] = {work, i};
}

void Oracle::callerGone(std::uint64_t request)
{
    m_open.erase(request);
}

void Oracle::answered(std::uint64_t request, const Answer &answer)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        breach("caller " + std::to_string(request) + " got an answer that it did not wait for");
        return;
    }
    const auto open = it->second;
    m_open.erase(it);
    ++m_checkedAnswers;
    if (answer.key != open.work.key)
        breach("the caller of " + open.work.key + " got the answer of " + answer.key);
    if (answer.outcome == Outcome::Complete || answer.outcome == Outcome::Failed)
        checkSameAsBefore(answer);
    const auto *started = findStarted(answer.key);
    const auto &work = started != nullptr ? *started : open.work;
    if (answer.outcome == Outcome::Complete)
        checkComplete(work, answer);
    if (answer.outcome == Outcome::Failed)
        checkFailed(work, answer);
    if (answer.outcome == Outcome::Refused)
        checkRefused(open, answer);
    if (answer.outcome == Outcome::Pending && open.wait && open.kind != RequestKind::Cancel)
        breach("a caller that waits for " + answer.key + " got a pending answer");
}

void Oracle::started(const std::string &payload, std::uint32_t running)
{
    ++m_checkedStarts;
    const auto it = m_tasks.find(payload);
    if (it == m_tasks.end()) {
        breach("a task that nobody submitted started: " + payload);
        return;
    }
    const auto &work = it->second.work;
    const bool mayRepeat = work.idempotent && work.tasks == 1;
    const auto n = ++m_starts[payload];
    if (n > (mayRepeat ? idempotentStarts : 1))
        breach("start number " + std::to_string(n) + " of " + payload);
    if (running > 0)
        breach(payload + " started while another attempt was known to run");
    if (m_reportedNotRun.contains(payload))
        breach(payload + " started after it was reported as not run");
    if (m_liveSubmissions[work] <= 0)
        breach(payload + " started although every submission of it was refused");
    const auto &first = m_startedWork.emplace(work.key, work).first->second;
    if (first != work)
        breach("two bodies started under " + work.key);
}

void Oracle::settled()
{
    for (const auto &[request, it] : m_open)
        breach("caller " + std::to_string(request) + " of " + it.work.key + " was never answered");
}

void Oracle::breach(const std::string &text)
{
    if (!m_violation)
        m_violation = text;
}

const std::optional<std::string> &Oracle::violation() const
{
    return m_violation;
}

std::uint64_t Oracle::checkedStarts() const
{
    return m_checkedStarts;
}

std::uint64_t Oracle::checkedAnswers() const
{
    return m_checkedAnswers;
}

void Oracle::checkComplete(const Work &work, const Answer &answer)
{
    if (answer.tasks.size() != work.tasks) {
        breach("a complete answer of " + work.key + " has not every task");
        return;
    }
    for (std::uint32_t i = 0; i < work.tasks; ++i) {
        const auto &report = answer.tasks[i];
        if (report.state != TaskState::Ran || report.result != expectedResult(work.payload(i)))
            breach("task " + std::to_string(i) + " of the complete answer of " + work.key + " has result \""
                   + report.result + "\"");
        if (!m_starts.contains(work.payload(i)))
            breach("a complete answer tells of " + work.payload(i) + ", which never started");
    }
}

void Oracle::checkFailed(const Work &work, const Answer &answer)
{
    for (std::uint32_t i = 0; i < answer.tasks.size(); ++i) {
        const auto payload = work.payload(i);
        const bool hasStarted = m_starts.contains(payload);
        if (answer.tasks[i].state == TaskState::Ran && !hasStarted)
            breach(payload + " was reported as run and never started");
        if (answer.tasks[i].state != TaskState::NotRun)
            continue;
        if (hasStarted)
            breach(payload + " was reported as not run and had started");
        m_reportedNotRun.insert(payload);
    }
}

void Oracle::checkRefused(const Request &request, const Answer &answer)
{
    if (request.kind != RequestKind::Submit) {
        if (findStarted(answer.key) != nullptr)
            breach(answer.key + " was said to be refused and had started");
        return;
    }
    // Another submission of the same work may be taken while the refusal is on its way.
    const int others = --m_liveSubmissions[request.work];
    if (request.startsBefore > 0 || (others <= 0 && startsOf(request.work) > 0))
        breach(answer.key + " was refused as not run and had started");
}

void Oracle::checkSameAsBefore(const Answer &answer)
{
    const auto [it, isFirst] = m_finalAnswers.emplace(answer.key, answer);
    if (isFirst)
        return;
    bool isSame = it->second.outcome == answer.outcome && it->second.tasks.size() == answer.tasks.size();
    for (std::size_t i = 0; isSame && i < answer.tasks.size(); ++i)
        isSame = it->second.tasks[i].state == answer.tasks[i].state
            && it->second.tasks[i].result == answer.tasks[i].result;
    if (!isSame)
        breach("two different final answers were given for " + answer.key);
}

std::uint32_t Oracle::startsOf(const Work &work) const
{
    std::uint32_t n = 0;
    for (std::uint32_t i = 0; i < work.tasks; ++i) {
        const auto it = m_starts.find(work.payload(i));
        n += it == m_starts.end() ? 0 : it->second;
    }
    return n;
}

const Work *Oracle::findStarted(const std::string &key) const
{
    const auto it = m_startedWork.find(key);
    return it == m_startedWork.end() ? nullptr : &it->second;
}

} // namespace Citronpitch
