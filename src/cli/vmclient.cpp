#include "cli/vmclient.h"

#include "net/tokenfile.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <thread>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint16_t callersPort = 7000;
constexpr std::uint16_t controlPort = 7100;
constexpr auto firstPause = std::chrono::milliseconds(100);
constexpr auto longestPause = std::chrono::seconds(2);

/// Rounds over all VMs before a command gives up, when none takes a connection.
constexpr int rounds = 4;

Endpoint endpointOf(const VmAddress &vm, VmPort port)
{
    const auto fallback = port == VmPort::Callers ? callersPort : controlPort;
    return {vm.address, vm.port.value_or(fallback)};
}

std::string addresses(const std::vector<Endpoint> &vms)
{
    std::string text;
    for (const auto &it : vms)
        text += (text.empty() ? "" : ", ") + it.text();
    return text;
}

} // namespace

leaf::result<VmClient> VmClient::create(const CliOptions &options, VmPort port, std::string step)
{
    std::string token;
    if (!options.tokenFile.empty()) {
        BOOST_LEAF_ASSIGN(
            token,
            leaf::try_handle_some([&] { return readTokenFile(options.tokenFile); },
                                  [&](const StepError &error) -> leaf::result<std::string> {
                                      return leaf::new_error(CliError{error, "", ExitCode::Usage});
                                  }));
    }
    return VmClient(options, port, std::move(step), std::move(token));
}

VmClient::VmClient(const CliOptions &options, VmPort port, std::string step, std::string token)
    : m_timeout(options.timeout)
    , m_step(std::move(step))
    , m_token(std::move(token))
{
    for (const auto &it : options.vms)
        m_vms.push_back(endpointOf(it, port));
    if (m_vms.empty())
        m_vms.push_back(endpointOf({"127.0.0.1", {}}, port));
}

leaf::result<VmReply> VmClient::ask(const ClientRequest &request) const
{
    return askUntil(
        request, [](const VmReply &) { return true; },
        "what was asked for may have been done; run the same command again");
}

leaf::result<VmReply> VmClient::askUntil(const ClientRequest &request,
                                         const std::function<bool(const VmReply &)> &isFinal,
                                         const std::string &advice) const
{
    const auto deadline = Clock::now() + m_timeout;
    std::optional<VmReply> last;
    auto pause = std::chrono::duration_cast<Clock::duration>(firstPause);
    for (int round = 0; (round < rounds || last) && Clock::now() < deadline; ++round) {
        for (const auto &it : m_vms) {
            auto timed = request;
            timed.timeout =
                std::max(std::chrono::duration_cast<Duration>(deadline - Clock::now()), Duration(1));
            BOOST_LEAF_AUTO(reply, tryOne(it, timed));
            if (!reply)
                continue;
            last = reply;
            if (isFinal(*last))
                return *last;
        }
        std::this_thread::sleep_for(
            std::min(pause, std::max(deadline - Clock::now(), Clock::duration::zero())));
        pause = std::min<Clock::duration>(pause * 2, longestPause);
    }
    if (last)
        return *last;
    return leaf::new_error(CliError{{m_step, addresses(m_vms), "no answer"}, advice, ExitCode::NoAnswer});
}

leaf::result<VmReply> VmClient::askOne(const Endpoint &vm, const ClientRequest &request) const
{
    BOOST_LEAF_AUTO(reply, tryOne(vm, request));
    if (!reply)
        return leaf::new_error(CliError{{m_step, vm.text(), "no answer"}, "ask again", ExitCode::NoAnswer});
    return *reply;
}

leaf::result<std::optional<VmReply>> VmClient::tryOne(const Endpoint &vm, const ClientRequest &request) const
{
    boost::asio::io_context io;
    HttpClient client(io);
    ClientResponse result;
    auto sent = request;
    if (!m_token.empty())
        sent.headers.push_back({"Authorization", "Bearer " + m_token});
    if (sent.timeout == Duration())
        sent.timeout = m_timeout;
    client.send(vm, sent, [&](const ClientResponse &response) {
        result = response;
        io.stop();
    });
    io.run();
    if (result.outcome != ExchangeOutcome::Answered)
        return std::optional<VmReply>();
    if (result.response.status == 401 || result.response.status == 403)
        return leaf::new_error(CliError{{m_step, vm.text(), "the token was refused"},
                                        "give the operators' token with --token-file",
                                        ExitCode::Refused});
    return std::optional<VmReply>({vm.text(), result.response});
}

const std::vector<Endpoint> &VmClient::vms() const
{
    return m_vms;
}

} // namespace Citronpitch
