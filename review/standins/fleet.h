#pragma once

#include "executor.h"
#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

/// The VMs of a case: control VMs, one in each zone, and entry VMs.
struct FleetPlan
{
    std::vector<std::string> zones;
    std::vector<std::string> entryZones;
};

/**
 * @brief Starts the project's program as one process for each VM, as deploy/system.toml does, on loopback
 * addresses of this process, and plays the operator and the platform.
 */
class Fleet
{
public:
    Fleet(FleetPlan plan, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::vector<Address> controls() const;
    Address front(std::size_t entry) const;
    /// A free address for an executor.
    Address newExecutorAddress();

    /// Starts all VMs and waits until they run. Returns false if they don't.
    bool start();

    /// Sends a configuration until it is acknowledged. Returns false if it isn't.
    bool configure(const nlohmann::json &document);

    /// Waits until all entry VMs say that they are ready.
    bool waitUntilReady() const;

    /// Sends SIGTERM to an entry VM, and SIGKILL after GraceS. Returns the milliseconds until it ended.
    std::int64_t terminateEntry(std::size_t entry);

    /// Sends a signal to the VM with number @p vm; control VMs come first.
    void signalVm(std::size_t vm, int number);

    /// Kills the VM with number @p vm and starts it again.
    void restartVm(std::size_t vm);

    std::size_t vmCount() const;

    /// Whether a process has ended by itself.
    bool hasLostProcess();

private:
    struct Vm
    {
        std::string name;
        std::string zone;
        std::string ip;
        bool isControl = false;
        pid_t process = 0;
    };

    void launch(Vm &vm, bool isFirstStart);
    nlohmann::json settingsOf(const Vm &vm, bool isFirstStart) const;

    FleetPlan m_plan;
    Record &m_record;
    std::filesystem::path m_folder;
    std::vector<Vm> m_vms;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_frontPort = 0;
    std::uint16_t m_readyPort = 0;
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_executorPort = 0;
    std::size_t m_nextExecutor = 0;
};

/// One job of a client and its answer.
struct SentJob
{
    std::string id;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    Reply reply;
};

/// A route of a configuration.
nlohmann::json route(const std::string &name, const std::string &prefix, const std::string &service,
                     int timeoutMs, int targetMs = 60);

/// A configuration with @p routes and @p services.
nlohmann::json configuration(std::uint64_t version, const std::vector<nlohmann::json> &routes,
                             const std::vector<std::string> &services);

/// A job of one step that needn't be kept. @p step has the fields of its step.
nlohmann::json bestEffortJob(int workMs, nlohmann::json step);

/// An id that no other job of this process has.
std::string newJobId();

/// Submits a job to @p front and waits for its end, up to @p deadlineMs and a second more.
SentJob submit(const Address &front, const std::string &prefix, const std::string &id,
               const nlohmann::json &job, int deadlineMs, Record &record);

/// Whether TROUBLE is not 0.
bool isTroubled();

} // namespace Review
