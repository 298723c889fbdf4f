#include "statebench.h"

#include "citronpitch/entryvm.h"
#include "citronpitch/idempotencykey.h"
#include "report.h"
#include "store/claimstore.h"

#include "wire/peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <map>
#include <vector>

namespace Citronpitch {

namespace files = std::filesystem;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t payloadBytes = 200;

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

TimePoint wallClock()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

/// How the jobs of one measurement are claimed.
struct ClaimLoad
{
    std::string name;
    bool hasJournal = true;
    /// Undated keys wait for a synced write before their first start.
    bool isDated = true;
    std::size_t jobs = 0;
    /// Jobs that are under way at one time.
    std::size_t window = 1;
};

/**
 * @brief One entry VM with a journal, whose upstream answers every task at once.
 */
class BenchVm
{
public:
    BenchVm(const std::string &folder, bool hasJournal)
        : m_store(openStore(hasJournal ? folder : std::string()))
        , m_vm(optionsOf(m_store->lastIncarnation() + 1))
    {
        Configuration configuration;
        configuration.classes.push_back({"casework", 990000, std::chrono::seconds(1), false});
        m_vm.setConfiguration(wallClock(), configuration);
        m_vm.recover(wallClock(), m_store->takeRecovery());
        m_store->start(
            m_io.get_executor(), m_store->lastIncarnation() + 1, m_vm.journalSnapshot(),
            [this](std::uint64_t token) { m_vm.journalSynced(wallClock(), token); },
            [](const StepError &error) { std::cerr << error.text() << "\n"; });
        UpstreamAnnouncement upstream;
        upstream.name = "u";
        upstream.address = "127.0.0.1";
        upstream.port = 1;
        upstream.slots = 100'000;
        upstream.leaseDeadline = wallClock() + std::chrono::hours(1);
        m_vm.handleAnnouncement(wallClock(), upstream);
        carryOut();
    }

    void submit(const ClaimLoad &load, std::size_t number)
    {
        CallerRequest request;
        auto &submission = request.submission;
        submission.team = "team";
        submission.key = load.isDated ? issueIdempotencyKey("a1", wallClock(), number, number)
                                      : load.name + "-" + std::to_string(number);
        submission.className = "casework";
        submission.deadline = wallClock() + std::chrono::seconds(60);
        submission.tasks.push_back({std::string(payloadBytes, 'p'), {}, {}});
        m_submittedAt[m_nextCaller] = Clock::now();
        m_vm.handleRequest(wallClock(), m_nextCaller++, request);
        carryOut();
    }

    /// Runs what is ready; waits for something where nothing is.
    void turn(bool isWaiting)
    {
        m_io.restart();
        if (isWaiting)
            m_io.run_one();
        m_io.poll();
        carryOut();
    }

    std::size_t underWay() const
    {
        return m_submittedAt.size();
    }

    std::size_t complete() const
    {
        return m_complete;
    }

    std::vector<double> takeMilliseconds()
    {
        return std::exchange(m_milliseconds, {});
    }

private:
    static std::unique_ptr<ClaimStore> openStore(const std::string &folder)
    {
        if (!folder.empty() && !files::exists(folder + "/claims") && !ClaimStore::initialize(folder))
            throw std::runtime_error("the folder can't be initialized");
        ClaimStoreOptions options;
        options.folder = folder;
        auto store = ClaimStore::open(options);
        if (!store)
            throw std::runtime_error("the journal can't be opened");
        return std::move(store.value());
    }

    static EntryVmOptions optionsOf(std::uint64_t incarnation)
    {
        EntryVmOptions options;
        options.self = {"a1", "a"};
        options.incarnation = incarnation;
        options.vms = {{"a1", "a"}};
        return options;
    }

    void carryOut()
    {
        for (auto actions = m_vm.takeActions(); !actions.empty(); actions = m_vm.takeActions()) {
            for (const auto &it : actions)
                std::visit([this](const auto &action) { carryOut(action); }, it);
        }
    }

    void carryOut(const StartTask &action)
    {
        m_vm.attemptEnded(wallClock(), action.attempt, {AttemptOutcome::Answered, 200, "result"});
    }

    void carryOut(const StopTask &)
    {
    }

    void carryOut(const SendPeerMessage &)
    {
    }

    void carryOut(const AppendClaimRecord &action)
    {
        m_store->append(*action.record, action.syncToken);
    }

    void carryOut(const AnswerCaller &action)
    {
        const auto it = m_submittedAt.find(action.caller);
        m_milliseconds.push_back(millisecondsSince(it->second));
        m_submittedAt.erase(it);
        m_complete += action.answer.outcome == Outcome::Complete ? 1 : 0;
    }

    boost::asio::io_context m_io;
    std::unique_ptr<ClaimStore> m_store;
    EntryVm m_vm;
    CallerId m_nextCaller = 1;
    std::map<CallerId, Clock::time_point> m_submittedAt;
    std::vector<double> m_milliseconds;
    std::size_t m_complete = 0;
};

/// Claims, starts and answers the jobs of @p load with its window always full.
Json measureClaims(const std::string &folder, const ClaimLoad &load)
{
    files::remove_all(folder);
    BenchVm vm(folder, load.hasJournal);
    if (!load.hasJournal)
        std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto start = Clock::now();
    for (std::size_t i = 0; i < load.jobs; ++i) {
        while (vm.underWay() >= load.window)
            vm.turn(true);
        vm.submit(load, i);
    }
    while (vm.underWay() > 0)
        vm.turn(true);
    const auto total = millisecondsSince(start);
    auto times = vm.takeMilliseconds();
    std::sort(times.begin(), times.end());
    return {{"load", load.name},
            {"jobs", load.jobs},
            {"complete", vm.complete()},
            {"window", load.window},
            {"jobsPerSecond", static_cast<double>(load.jobs) * 1000 / total},
            {"medianMs", times[times.size() / 2]},
            {"p99Ms", times[times.size() * 99 / 100]}};
}

/// Time from opening a journal of @p jobs answered jobs until the VM can take requests.
Json measureRestart(const std::string &folder, std::size_t jobs)
{
    files::remove_all(folder);
    const ClaimLoad load{"fill", true, true, jobs, jobs};
    {
        BenchVm vm(folder, true);
        for (std::size_t i = 0; i < jobs; ++i)
            vm.submit(load, i);
    }
    const auto bytes = files::file_size(folder + "/claims");
    const auto start = Clock::now();
    const BenchVm vm(folder, true);
    const auto total = millisecondsSince(start);
    return {{"jobs", jobs}, {"journalBytes", bytes}, {"restartMs", total}};
}

} // namespace

int runStateBench(const std::string &folder)
{
    const std::vector<ClaimLoad> loads{{"no-journal", false, true, 20'000, 1},
                                       {"dated-unsynced", true, true, 20'000, 1},
                                       {"undated-synced-one-by-one", true, false, 500, 1},
                                       {"undated-synced-batched", true, false, 20'000, 256}};
    Json results{{"payloadBytes", payloadBytes}, {"claims", Json::array()}, {"restarts", Json::array()}};
    for (const auto &it : loads)
        results["claims"].push_back(measureClaims(folder, it));
    for (const std::size_t jobs : {1'000U, 10'000U, 100'000U})
        results["restarts"].push_back(measureRestart(folder, jobs));
    writeReport("state-claims", results);
    std::cout << results.dump(2) << "\n";
    return 0;
}

} // namespace Citronpitch
