#include "fuzz/oracle.h"

namespace Citronpitch {

namespace {

/// Maximum number of starts of an idempotent job with one task.
constexpr std::uint32_t maximumIdempotentStarts = 3;

} // namespace

std::string TestJob::payload(std::uint32_t index) const
{
    return key + "|" + std::to_string(body) + "|" + std::to_string(index);
}

std::string expectedResult(const std::string &payload)
{
    return "done " + payload;
}

void Oracle::requested(std::uint64_t request, RequestKind kind, const TestJob &testJob, bool wait)
{
    m_open[request] = {kind, testJob, wait, startsOf(testJob)};
    if (kind != RequestKind::Submit)
        return;
    ++m_unrefusedSubmissions[testJob];
    for (std::uint32_t i = 0; i < testJob.tasks; ++i)
        m_tasks[testJob.payload(i)] = {testJob, i};
}

void Oracle::callerDisconnected(std::uint64_t request)
{
    m_open.erase(request);
}

void Oracle::answered(std::uint64_t request, const Answer &answer)
{
    const auto it = m_open.find(request);
    if (it == m_open.end()) {
        reportViolation("caller " + std::to_string(request) + " got an answer although it was not waiting");
        return;
    }
    const auto open = it->second;
    m_open.erase(it);
    ++m_checkedAnswers;
    if (answer.key != open.testJob.key)
        reportViolation("the caller of " + open.testJob.key + " got the answer of " + answer.key);
    if (answer.outcome == Outcome::Complete || answer.outcome == Outcome::Failed)
        checkAnswerUnchanged(answer);
    const auto *started = findStarted(answer.key);
    const auto &testJob = started != nullptr ? *started : open.testJob;
    if (answer.outcome == Outcome::Complete)
        checkComplete(testJob, answer);
    if (answer.outcome == Outcome::Failed)
        checkFailed(testJob, answer);
    if (answer.outcome == Outcome::Refused)
        checkRefused(open, answer);
    if (answer.outcome == Outcome::Pending && open.wait && open.kind != RequestKind::Cancel)
        reportViolation("a caller that waits for " + answer.key + " got a pending answer");
}

void Oracle::started(const std::string &payload, std::uint32_t running)
{
    ++m_checkedStarts;
    const auto it = m_tasks.find(payload);
    if (it == m_tasks.end()) {
        reportViolation("started a task that was never submitted: " + payload);
        return;
    }
    const auto &testJob = it->second.testJob;
    const bool mayRepeat = testJob.idempotent && testJob.tasks == 1;
    const auto n = ++m_starts[payload];
    if (n > (mayRepeat ? maximumIdempotentStarts : 1))
        reportViolation("start number " + std::to_string(n) + " of " + payload);
    if (running > 0)
        reportViolation(payload + " started while another attempt was known to run");
    if (m_reportedNotRun.contains(payload))
        reportViolation(payload + " started after it was reported as not run");
    if (m_unrefusedSubmissions[testJob] <= 0)
        reportViolation(payload + " started although every submission of it was refused");
    const auto &first = m_startedJobs.emplace(testJob.key, testJob).first->second;
    if (first != testJob)
        reportViolation("two bodies started under " + testJob.key);
}

void Oracle::checkAllAnswered()
{
    for (const auto &[request, it] : m_open)
        reportViolation("caller " + std::to_string(request) + " of " + it.testJob.key
                        + " was never answered");
}

void Oracle::reportViolation(const std::string &text)
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

void Oracle::checkComplete(const TestJob &testJob, const Answer &answer)
{
    if (answer.tasks.size() != testJob.tasks) {
        reportViolation("a complete answer of " + testJob.key + " does not contain every task");
        return;
    }
    for (std::uint32_t i = 0; i < testJob.tasks; ++i) {
        const auto &report = answer.tasks[i];
        if (report.state != TaskState::Ran || report.result != expectedResult(testJob.payload(i)))
            reportViolation("task " + std::to_string(i) + " of the complete answer of " + testJob.key
                            + " has result \"" + report.result + "\"");
        if (!m_starts.contains(testJob.payload(i)))
            reportViolation("a complete answer contains " + testJob.payload(i) + ", which never started");
    }
}

void Oracle::checkFailed(const TestJob &testJob, const Answer &answer)
{
    for (std::uint32_t i = 0; i < answer.tasks.size(); ++i) {
        const auto payload = testJob.payload(i);
        const bool hasStarted = m_starts.contains(payload);
        if (answer.tasks[i].state == TaskState::Ran && !hasStarted)
            reportViolation(payload + " was reported as run but never started");
        if (answer.tasks[i].state != TaskState::NotRun)
            continue;
        if (hasStarted)
            reportViolation(payload + " was reported as not run but had started");
        m_reportedNotRun.insert(payload);
    }
}

void Oracle::checkRefused(const Request &request, const Answer &answer)
{
    if (request.kind != RequestKind::Submit) {
        if (findStarted(answer.key) != nullptr)
            reportViolation(answer.key + " was reported as refused but had started");
        return;
    }
    // Another submission of the same job may be accepted while this refusal is in transit.
    const int others = --m_unrefusedSubmissions[request.testJob];
    if (request.startsBefore > 0 || (others <= 0 && startsOf(request.testJob) > 0))
        reportViolation(answer.key + " was refused as not run but had started");
}

void Oracle::checkAnswerUnchanged(const Answer &answer)
{
    const auto [it, isFirst] = m_finalAnswers.emplace(answer.key, answer);
    if (isFirst)
        return;
    bool isSame = it->second.outcome == answer.outcome && it->second.tasks.size() == answer.tasks.size();
    for (std::size_t i = 0; isSame && i < answer.tasks.size(); ++i)
        isSame = it->second.tasks[i].state == answer.tasks[i].state
            && it->second.tasks[i].result == answer.tasks[i].result;
    if (!isSame)
        reportViolation("two different final answers were given for " + answer.key);
}

std::uint32_t Oracle::startsOf(const TestJob &testJob) const
{
    std::uint32_t n = 0;
    for (std::uint32_t i = 0; i < testJob.tasks; ++i) {
        const auto it = m_starts.find(testJob.payload(i));
        n += it == m_starts.end() ? 0 : it->second;
    }
    return n;
}

const TestJob *Oracle::findStarted(const std::string &key) const
{
    const auto it = m_startedJobs.find(key);
    return it == m_startedJobs.end() ? nullptr : &it->second;
}

} // namespace Citronpitch
