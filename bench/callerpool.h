#pragma once

#include "arrivals.h"
#include "distribution.h"
#include "net/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Citronpitch {

/// How a submission ended for its client.
enum class EndKind {
    /// Every task's own result, in order.
    Complete,
    Failed,
    Refused,
    /// The system said that it can't tell.
    Unknown,
    /// No answer of any kind.
    Lost,
    /// Called complete, but a result is missing or belongs to another task.
    Partial,
};

/// One submission and what became of it.
struct SubmissionEnd
{
    Arrival arrival;
    std::string key;
    EndKind end = EndKind::Lost;
    /// Reason that the answer gave.
    std::string reason;
    /// Time from the arrival to the answer as the client sees it.
    double milliseconds = 0;
    /// Upstreams of the tasks that the answer says ran, in the order of the tasks.
    std::vector<std::string> ranOn;
    /// A second submission of the same key got another outcome than the first.
    bool isContradicted = false;
};

/// What a pool submits, and where.
struct CallerPoolPlan
{
    std::vector<Arrival> arrivals;
    std::vector<std::string> vms;
    /// Where clients reach each VM.
    std::vector<Endpoint> callers;
    /// One-way delay between a client and an entry VM; added to every response, not to the wire.
    Duration clientDelay{};
    /// Longest time that a job of this arrival may take.
    std::function<Duration(const Arrival &)> deadline;
    /// Moment at which the wave of cancellations is sent.
    Duration cancelAt{};
    /// Something to do at a moment after the start, on the pool's thread.
    struct Event
    {
        Duration at{};
        std::function<void()> action;
    };
    std::vector<Event> events;
};

/**
 * @brief Clients of the load tool: submit each arrival at its moment, whatever became of those before it, and
 * follow it until its answer.
 *
 * A client whose connection breaks fetches the answer by its key from the other VMs; one whose request was
 * never sent submits again at another VM. Used by the load experiment.
 */
class CallerPool
{
public:
    explicit CallerPool(CallerPoolPlan plan);

    /// Submits everything and waits for the answers.
    void run();

    const std::vector<SubmissionEnd> &ends() const;

    /// How late the requests were sent, in milliseconds: the load tool's own share in the response times.
    const Distribution &lateness() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Client
    {
        std::size_t vm = 0;
        Clock::time_point arrivedAt;
        Clock::time_point givenUpAt;
        std::int64_t deadlineMilliseconds = 0;
        bool hasEnded = false;
        /// The last answer said that the outcome is unknown.
        bool isUnknown = false;
        int resubmissionStatus = 0;
    };

    void scheduleNext();
    void arrive(std::size_t number);
    void submit(std::size_t number, std::size_t through);
    void submitted(std::size_t number, const ClientResponse &response);
    void resubmit(std::size_t number);
    void fetch(std::size_t number);
    void fetchLater(std::size_t number);
    void answered(std::size_t number, const HttpResponse &response);
    static bool isWhole(const SubmissionEnd &end, const nlohmann::json &body);
    void end(std::size_t number, EndKind kind);
    void cancelWave();
    void giveUpLate();
    void at(Duration moment, std::function<void()> action);
    std::size_t otherVm(std::size_t vm) const;
    ClientRequest requestOf(std::size_t number) const;

    CallerPoolPlan m_plan;
    boost::asio::io_context m_io;
    HttpClient m_client;
    boost::asio::steady_timer m_arrivalTimer;
    Clock::time_point m_start;
    std::vector<Client> m_clients;
    std::vector<SubmissionEnd> m_ends;
    Distribution m_lateness;
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
};

} // namespace Citronpitch
