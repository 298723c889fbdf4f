#pragma once

#include "soak/soakledger.h"
#include "soak/soakplan.h"
#include "support/platformfleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief One run of the soak: a fleet of real processes under load, faults from outside, and the checks.
 *
 * Callers and operators run on the thread that calls run(). Used by the soak's program.
 */
class SoakRun
{
public:
    /// Runs @p plan with the programs in @p programs; settings, data and logs go to @p folder.
    SoakRun(const std::string &programs, const std::filesystem::path &folder, SoakPlan plan);

    /// Returns once all faults are over and the fleet was shut down.
    void run();

    const SoakLedger &ledger() const;

private:
    /// What is expected of the process of a VM.
    struct VmState
    {
        /// Counts its processes.
        std::uint64_t life = 1;
        bool isPaused = false;
        /// Killed, or asked to end.
        bool isEnding = false;
        TimePoint terminatedAt;
        bool hasLostDisk = false;
    };

    struct Request
    {
        std::string id;
        unsigned tasks = 1;
        std::size_t vm = 0;
        bool isSecond = false;
        TimePoint sentAt;
    };

    void every(Duration period, const std::function<void()> &action);
    void after(Duration time, const std::function<void()> &action);
    std::size_t draw(std::size_t limit);
    std::size_t drawEntry();
    TimePoint now() const;

    void submitNext();
    /// Checks that @p task, which has started on an executor, may run there.
    void checkPlace(std::size_t executor, const std::string &task);
    /// Sends requests that never end to an entry VM.
    void sendHostileRequests();
    /// Whether @p task crashes each executor that starts it.
    bool isDeadly(const std::string &task) const;
    void submit(Request request);
    void ended(const Request &request, const ClientResponse &response);
    bool isCutByShutdown(const Request &request) const;

    void orderNext();
    void order(std::uint64_t version);
    void readNext();
    /// Evacuates and restores the first failure domain in turn.
    void evacuateNext();
    /// Sends a call of an evacuation to one VM after the other until it is acknowledged.
    void callEvacuation(bool isStart);
    /// After the bound of an evacuation, nothing may start in its domain.
    void checkEvacuation();
    unsigned startsInEvacuatedDomain();

    void inject(const SoakStep &step);
    void note(const SoakStep &step);
    void injectIntoVm(const SoakStep &step);
    void injectIntoExecutor(const SoakStep &step);
    void kill(std::size_t vm, Duration downTime);
    void losePower(const SoakStep &step);
    void restart(std::size_t vm);
    void watchProcesses();

    void endFaults();
    void checkRecovery();
    bool isRecovered();
    void shutDown();

    SoakPlan m_plan;
    PlatformFleet m_fleet;
    /// The faults as they were injected, beside the logs of the VMs.
    std::ofstream m_faultLog;
    SoakLedger m_ledger;
    boost::asio::io_context m_io;
    HttpClient m_client;
    std::mt19937_64 m_random;
    std::vector<VmState> m_states;
    std::vector<bool> m_isServing;
    std::vector<bool> m_isCurrent;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_version = 0;
    bool m_isOrderOpen = false;
    bool m_isEvacuationCallOpen = false;
    bool m_isEvacuated = false;
    /// When the last call of an evacuation was acknowledged.
    TimePoint m_evacuationChangedAt;
    /// Until then links may have faults, and a domain that is cut off continues with what it knows.
    TimePoint m_linksFaultyUntil;
    std::optional<unsigned> m_startsInEvacuatedDomain;
    std::future<void> m_hostileRequests;
    bool m_hasLostDisk = false;
    bool m_isLoaded = false;
    bool m_isOver = false;
};

} // namespace Citronpitch
