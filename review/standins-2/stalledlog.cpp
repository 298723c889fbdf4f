// The reader of the processes' logs stops reading: callers must be served on.

#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <list>
#include <unistd.h>

using namespace Review;

namespace {

constexpr int timeoutMs = 1500;
/// The mean work of the site's referral-triage.
constexpr int taskMs = 60;
constexpr int calmUs = 3'000'000;
constexpr int trafficUs = 20'000'000;
/// Traffic is open: requests are sent at these times, whatever becomes of the others.
constexpr double requestsPerMs = 0.17;
/// The largest burst of the site, from the second second on.
constexpr double burstFactor = 1.8;
constexpr double burstBeginMs = 2000;
constexpr double burstEndMs = 6000;
constexpr std::size_t clientCount = 500;
/// ContactMs of the pages, for which the operator reads the configuration at least.
constexpr std::int64_t contactMs = 3000;
constexpr std::uint64_t version = 7;

/// Returns when request @p number is sent, in milliseconds since the traffic began.
double sendTimeMs(std::uint64_t number)
{
    const double atBase = static_cast<double>(number) / requestsPerMs;
    if (atBase <= burstBeginMs)
        return atBase;
    const double inBurst = burstBeginMs + (atBase - burstBeginMs) / burstFactor;
    return inBurst <= burstEndMs ? inBurst : atBase - (burstEndMs - burstBeginMs) * (burstFactor - 1);
}

/// Callers that send at a steady rate with one burst, until they are told to stop.
class Traffic
{
public:
    Traffic(Record &record, const Fleet &fleet)
        : m_begin(record.now())
    {
        for (std::size_t i = 0; i < clientCount; ++i)
            m_clients.emplace_back([this, &record, &fleet] { run(record, fleet); });
    }

    /// Writes how many requests were answered how, by the five seconds in which they were sent.
    void stop(Record &record)
    {
        m_isStopping = true;
        for (auto &it : m_clients)
            it.join();
        for (const auto &[period, statuses] : m_statuses) {
            std::string line =
                "sent from " + std::to_string(period * periodMs / 1000) + " s of the traffic on:";
            for (const auto &[status, n] : statuses)
                line +=
                    " " + std::to_string(n) + " x " + (status == 0 ? "no answer" : std::to_string(status));
            record.write(line);
        }
    }

private:
    static constexpr std::int64_t periodMs = 5000;

    void run(const Record &record, const Fleet &fleet)
    {
        while (!m_isStopping) {
            const auto number = m_nextNumber++;
            const auto wait = m_begin + static_cast<std::int64_t>(sendTimeMs(number)) - record.now();
            std::this_thread::sleep_for(std::chrono::milliseconds(wait));
            if (m_isStopping)
                return;
            const auto sentAt = record.now() - m_begin;
            const auto &entry = fleet.entries()[number % fleet.entries().size()];
            const auto response =
                call(entry, submission(jobId(number), 1, taskMs, timeoutMs), timeoutMs + 500);
            const std::lock_guard lock(m_mutex);
            ++m_statuses[sentAt / periodMs][response.status];
        }
    }

    std::int64_t m_begin = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_nextNumber = 1;
    std::mutex m_mutex;
    std::map<std::int64_t, std::map<int, int>> m_statuses;
    std::list<std::thread> m_clients;
};

/// Asks all control VMs for the configuration in turn for somewhat longer than @ref contactMs. Returns
/// whether it came in the version that was acknowledged.
bool isConfigurationRead(Record &record, const Fleet &fleet)
{
    const auto end = record.now() + 2 * contactMs;
    for (std::size_t i = 0; record.now() < end; ++i) {
        const auto &control = fleet.controls()[i % fleet.controls().size()];
        const auto response = call(control, {"GET", "/config/read", {}, {}}, 1000);
        record.write("operator: GET /config/read at " + control.text() + " gets "
                     + std::to_string(response.status));
        const auto body = Json::parse(response.body, nullptr, false);
        if (response.status == 200 && body.is_object() && body.value("Version", std::uint64_t{0}) == version)
            return true;
    }
    return false;
}

} // namespace

int main(int, char **argv)
{
    const auto *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0)
        return 2;
    std::atomic<bool> isReading = true;
    std::thread reader([&] {
        std::string buffer(65536, '\0');
        while (isReading && ::read(log[0], buffer.data(), buffer.size()) > 0) { }
    });
    int result = 2;
    try {
        Fleet fleet(record, {{"west-a", "west-b", "west-c"}, 2, true, "a", log[1]});
        if (fleet.configure(configurationOf(version, timeoutMs))) {
            ::usleep(calmUs);
            isReading = !isTroubled;
            record.write(isTroubled ? "the reader of the logs stops reading"
                                    : "the reader of the logs reads on");
            Traffic traffic(record, fleet);
            ::usleep(trafficUs);
            traffic.stop(record);
            const bool isRead = isConfigurationRead(record, fleet);
            record.write(isRead ? "the configuration is read back"
                                : "violation: the configuration doesn't come");
            result = isRead ? 0 : 1;
        }
    } catch (const std::exception &e) {
        record.write(std::string("error: ") + e.what());
    }
    isReading = false;
    ::close(log[1]);
    reader.join();
    return result;
}
