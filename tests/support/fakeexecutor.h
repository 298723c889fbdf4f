#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "support/simulatedupstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace Citronpitch {

/// What a FakeExecutor is told at its start.
struct FakeExecutorPlan
{
    std::string id;
    std::string zone;
    /// Where it listens, and the address that it announces.
    Endpoint own;
    Endpoint announced;
    /// Control VMs, of which the first that answers takes its announcements.
    std::vector<Endpoint> controls;
    /// Rate of its clock, in thousandths of real time.
    int clockRate = 1000;
    std::vector<std::string> labels{"a", "r1"};
};

/**
 * @brief An executor of the platform on loopback: takes orders over HTTP and announces itself.
 *
 * All of it runs on the thread of its event loop, but for the calls that say otherwise. Used by tests of the
 * adapter and by the soak.
 */
class FakeExecutor
{
public:
    FakeExecutor(boost::asio::io_context &io, FakeExecutorPlan plan);
    FakeExecutor(const FakeExecutor &) = delete;
    FakeExecutor &operator=(const FakeExecutor &) = delete;

    /// Says from now on that it leaves. From any thread.
    void leave();

    /// Starts of tasks so far. From any thread.
    unsigned starts() const;

    /// Leaves start orders unanswered from now on and carries them out this much later; zero: no more.
    void delayStarts(Duration delay);

    /// Loses everything that runs, and what it knows, as in a crash.
    void restart();

    /// Whether @p task runs at this moment.
    bool isRunning(const std::string &task);

    /// Called with the task whenever a run starts, and whenever one has ended as done.
    std::function<void(const std::string &task)> started;
    std::function<void(const std::string &task)> done;

    /// Called with each response before it is sent, to change it.
    std::function<void(HttpResponse &response)> responding;

    /// Called with the tasks that ran whenever the executor has crashed.
    std::function<void(const std::vector<std::string> &tasks)> crashed;

private:
    void announce(std::size_t control);
    void schedule();
    DisconnectHandler handle(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse carryOut(const RunOrder &order);
    void carryOutLate(const RunOrder &order);
    std::uint64_t born() const;
    TimePoint now() const;

    boost::asio::io_context &m_io;
    FakeExecutorPlan m_plan;
    SimulatedUpstream m_model;
    HttpServer m_server;
    HttpClient m_client;
    boost::asio::steady_timer m_timer;
    /// Orders that are carried out late; each ends with its timer.
    std::list<boost::asio::steady_timer> m_lateOrders;
    Duration m_startDelay{};
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<unsigned> m_starts = 0;
};

} // namespace Citronpitch
