#include "closedloop.h"

#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace Citronpitch {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int complete = 200;

/// One thread of a closed loop: its connections and its count.
class LoopThread
{
public:
    LoopThread(const ClosedLoopPlan &plan, std::uint32_t jobsInFlight, std::uint64_t jobs)
        : m_plan(plan)
        , m_client(m_io)
        , m_jobsInFlight(jobsInFlight)
        , m_jobs(jobs)
        , m_end(Clock::now() + plan.time)
        , m_request(submitRequest(plan.job))
    {
    }

    void run()
    {
        for (std::uint32_t i = 0; i < m_jobsInFlight; ++i)
            sendNext();
        m_io.run();
    }

    const ClosedLoopResult &result() const
    {
        return m_result;
    }

private:
    bool hasMore() const
    {
        return m_jobs > 0 ? m_sent < m_jobs : Clock::now() < m_end;
    }

    void sendNext()
    {
        if (!hasMore())
            return;
        ++m_sent;
        ++m_open;
        m_request.headers.front() = {"Idempotency-Key", freshKey(m_plan.home)};
        m_client.send(m_plan.callers, m_request, [this](const ClientResponse &it) { answered(it); });
    }

    void answered(const ClientResponse &response)
    {
        const bool isExpected = response.outcome == ExchangeOutcome::Answered
            && response.response.status == (m_plan.job.wait ? complete : 202);
        ++(isExpected ? m_result.jobsAnswered : m_result.otherAnswers);
        m_result.tasksRan += isExpected ? m_plan.job.tasks : 0;
        --m_open;
        sendNext();
        if (m_open == 0)
            m_io.stop();
    }

    const ClosedLoopPlan &m_plan;
    boost::asio::io_context m_io;
    HttpClient m_client;
    std::uint32_t m_jobsInFlight;
    std::uint64_t m_jobs;
    Clock::time_point m_end;
    ClientRequest m_request;
    ClosedLoopResult m_result;
    std::uint64_t m_sent = 0;
    std::uint64_t m_open = 0;
};

} // namespace

ClosedLoopResult runClosedLoop(const ClosedLoopPlan &plan)
{
    auto keyed = plan;
    keyed.job.key = "placeholder";
    const auto start = Clock::now();
    std::vector<std::unique_ptr<LoopThread>> loops;
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < plan.threads; ++i) {
        const auto inFlight = std::max(plan.jobsInFlight / plan.threads, 1U);
        loops.push_back(std::make_unique<LoopThread>(keyed, inFlight, plan.jobs / plan.threads));
        threads.emplace_back([loop = loops.back().get()] { loop->run(); });
    }
    for (auto &it : threads)
        it.join();
    ClosedLoopResult result;
    for (const auto &it : loops) {
        result.jobsAnswered += it->result().jobsAnswered;
        result.tasksRan += it->result().tasksRan;
        result.otherAnswers += it->result().otherAnswers;
    }
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return result;
}

/// Event loop and connections of a SequentialCaller.
class SequentialCaller::Loop
{
public:
    Loop()
        : client(io)
    {
    }

    boost::asio::io_context io;
    HttpClient client;
};

SequentialCaller::SequentialCaller()
    : m_loop(std::make_unique<Loop>())
{
}

SequentialCaller::~SequentialCaller() = default;

ClientResponse SequentialCaller::call(const Endpoint &endpoint, const ClientRequest &request,
                                      double &milliseconds)
{
    ClientResponse result;
    const auto start = Clock::now();
    m_loop->client.send(endpoint, request, [&](const ClientResponse &response) {
        milliseconds = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
        result = response;
        m_loop->io.stop();
    });
    m_loop->io.run();
    m_loop->io.restart();
    return result;
}

} // namespace Citronpitch
