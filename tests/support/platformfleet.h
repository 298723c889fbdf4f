#pragma once

#include "net/httpclient.h"
#include "support/childprocess.h"
#include "support/fakeexecutor.h"
#include "support/faultproxy.h"
#include "support/recordeddisk.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Citronpitch {

/// What a PlatformFleet consists of.
struct PlatformFleetPlan
{
    /// Program that runs one VM.
    std::string program;
    /// Folder for settings, logs and data; emptied first.
    std::filesystem::path folder;
    /// Failure domain of each control VM; the first three are the seeds.
    std::vector<std::string> controlDomains;
    std::vector<std::string> entryDomains;
    std::vector<std::string> executorDomains;
    /// Whether a proxy stands before the links of each VM and before each executor.
    bool hasProxies = false;
    /// Settings of all VMs in addition to those that the fleet needs.
    nlohmann::json settings = nlohmann::json::object();
    /// Labels of each executor; those beyond the list have the usual ones.
    std::vector<std::vector<std::string>> executorLabels;
    /// Library that records what the control VMs have synced, as losePower() requires; none if empty.
    std::string diskRecorder;
    /// Time that each sync of a recorded disk takes longer.
    std::chrono::milliseconds syncDelay{0};
    /// Descriptor that all VMs log to; each logs to a file of its own if there is none.
    std::optional<int> logDescriptor;
};

/**
 * @brief VMs of a fleet as real processes on loopback, with fake executors in this process.
 *
 * VMs are numbered, control VMs first. The executors share one thread. Used by the tests of the adapter and
 * by the soak.
 */
class PlatformFleet
{
public:
    explicit PlatformFleet(PlatformFleetPlan plan);
    ~PlatformFleet();
    PlatformFleet(const PlatformFleet &) = delete;
    PlatformFleet &operator=(const PlatformFleet &) = delete;

    std::size_t controls() const;
    std::size_t vms() const;
    bool isControl(std::size_t vm) const;
    std::string nameOf(std::size_t vm) const;

    /// Listener of executors and operators of control VM @p vm.
    Endpoint control(std::size_t vm) const;
    /// Listeners of the entry VM with number @p vm.
    Endpoint callers(std::size_t vm) const;
    Endpoint readiness(std::size_t vm) const;
    Endpoint metrics(std::size_t vm) const;
    /// Link of @p vm, by which logs name it.
    std::string linkOf(std::size_t vm) const;
    /// What @p vm has logged so far.
    std::string logOf(std::size_t vm) const;

    /// Starts @p vm; a process of it that still runs is killed first.
    void start(std::size_t vm, bool isFirstStart);
    ChildProcess &process(std::size_t vm);
    /// Wipes the disk of @p vm.
    void loseDisk(std::size_t vm);
    /// Changes the disk of @p vm, which has ended, to what @p loss leaves of it. Returns the number of writes
    /// and renames that had not been synced. Only with diskRecorder.
    std::size_t losePower(std::size_t vm, PowerLoss loss, std::uint64_t seed);

    /// Proxy before the links of @p vm, or before executor @p number. Only with hasProxies.
    FaultProxy &linkProxy(std::size_t vm);
    FaultProxy &executorProxy(std::size_t number);

    FakeExecutor &executor(std::size_t number);
    std::size_t executors() const;
    /// Starts of tasks on all executors.
    unsigned starts() const;
    /// Event loop of the executors.
    boost::asio::io_context &executorLoop();

    /// Starts the thread of the executors; hooks must be set before.
    void startExecutors();

private:
    nlohmann::json settingsOf(std::size_t vm, bool isFirstStart) const;
    RecordedDisk diskOf(std::size_t vm) const;

    PlatformFleetPlan m_plan;
    std::vector<std::optional<ChildProcess>> m_processes;
    std::vector<std::unique_ptr<FaultProxy>> m_linkProxies;
    std::vector<std::unique_ptr<FaultProxy>> m_executorProxies;
    boost::asio::io_context m_executorLoop;
    std::vector<std::unique_ptr<FakeExecutor>> m_executors;
    std::thread m_executorThread;
};

/// A configuration of the platform with one route and one service.
nlohmann::json platformConfiguration(std::uint64_t version);

/// A job of the platform with @p tasks tasks that need not be kept.
nlohmann::json platformJob(unsigned tasks);

/// Sends one request and waits for its response; status 0 where none came.
HttpResponse callOnce(const Endpoint &endpoint, const ClientRequest &request);

/// Whether @p condition becomes true within a time that is long for a busy machine.
bool waitFor(const std::function<bool()> &condition);

/// The request that submits @p job under @p id to the route of platformConfiguration().
ClientRequest platformSubmission(const std::string &id, const nlohmann::json &job);

} // namespace Citronpitch
