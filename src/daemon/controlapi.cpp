#include "daemon/controlapi.h"

#include "daemon/callerapi.h"
#include "settings/jsonobjectreader.h"

#include <boost/asio/ip/address.hpp>

#include <limits>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::string_view upstreamsPath = "/v1/upstreams/";
constexpr std::string_view explanationsPath = "/v1/explanations/";

constexpr const char *step = "announce";
constexpr std::uint64_t maximumSlots = 100'000;
constexpr std::uint64_t maximumPort = 65'535;

leaf::result<void> checkAddress(const JsonObjectReader &fields, const std::string &address)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(address, ec);
    if (ec)
        return fields.error("field \"address\" must be an IP address");
    return {};
}

leaf::result<Resources> parseCapacity(const Json &from, const std::string &name)
{
    const auto it = from.find("capacity");
    if (it == from.end())
        return Resources();
    const JsonObjectReader fields(*it, step, name + ".capacity");
    BOOST_LEAF_CHECK(fields.rejectUnknownFields({"millicores", "memoryBytes", "accelerators"}));
    return parseResources(fields);
}

leaf::result<UpstreamAnnouncement> parseFields(const Json &from, const std::string &name)
{
    const JsonObjectReader fields(from, step, name);
    BOOST_LEAF_CHECK(fields.rejectUnknownFields(
        {"address", "port", "slots", "rack", "incarnation", "capacity", "leaving"}));
    UpstreamAnnouncement announcement;
    announcement.name = name;
    BOOST_LEAF_ASSIGN(announcement.address, fields.requiredText("address"));
    BOOST_LEAF_CHECK(checkAddress(fields, announcement.address));
    BOOST_LEAF_ASSIGN(const auto port, fields.requiredNumber("port", 1, maximumPort));
    BOOST_LEAF_ASSIGN(announcement.capacity, parseCapacity(from, name));
    const bool isCountedInCores = announcement.capacity.millicores > 0;
    BOOST_LEAF_ASSIGN(const auto slots,
                      fields.requiredNumber("slots", isCountedInCores ? 0 : 1, maximumSlots));
    announcement.port = static_cast<std::uint16_t>(port);
    announcement.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_ASSIGN(announcement.rack, fields.optionalText("rack"));
    BOOST_LEAF_ASSIGN(announcement.incarnation,
                      fields.requiredNumber("incarnation", 1, std::numeric_limits<std::uint64_t>::max()));
    BOOST_LEAF_ASSIGN(announcement.leaving, fields.flag("leaving"));
    return announcement;
}

Json upstreamJson(const UpstreamStatus &upstream)
{
    const auto &announcement = upstream.announcement;
    return {{"name", announcement.name},
            {"address", announcement.address},
            {"port", announcement.port},
            {"slots", announcement.slots},
            {"ownSlots", upstream.ownSlots},
            {"busySlots", upstream.busySlots},
            {"rack", announcement.rack},
            {"leaving", announcement.leaving},
            {"state", upstream.state},
            {"leaseDeadline", microsecondsOf(announcement.leaseDeadline) / 1000}};
}

} // namespace

leaf::result<UpstreamAnnouncement> parseAnnouncement(const HttpRequest &request, TimePoint leaseDeadline)
{
    const auto name = request.path.substr(std::min(upstreamsPath.size(), request.path.size()));
    if (name.empty())
        return leaf::new_error(StepError{"announce", "path", "missing name after /v1/upstreams/"});
    BOOST_LEAF_ASSIGN(const auto body, parseJson(request.body, step));
    BOOST_LEAF_ASSIGN(auto announcement, parseFields(body, name));
    announcement.leaseDeadline = leaseDeadline;
    return announcement;
}

leaf::result<std::string> explanationJson(TimePoint now, const EntryVm &vm, const HttpRequest &request)
{
    const auto key = request.path.substr(std::min(explanationsPath.size(), request.path.size()));
    const auto *team = request.findQuery("team");
    if (key.empty() || team == nullptr)
        return leaf::new_error(
            StepError{"explain", "path", "missing key after /v1/explanations/ or parameter \"team\""});
    const auto explanation = vm.explain(now, *team, key);
    Json tasks = Json::array();
    for (const auto &it : explanation.tasks)
        tasks.push_back({{"state", enumName(taskStageNames, it.stage)},
                         {"upstream", it.upstream},
                         {"hasStarted", it.hasStarted}});
    const Json body{{"key", key},
                    {"home", explanation.home},
                    {"isHome", explanation.isHome},
                    {"state", explanation.state},
                    {"why", explanation.why},
                    {"tasks", tasks}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string statusJson(const EntryVm &vm, const std::string &name)
{
    Json peers = Json::array();
    for (const auto &it : vm.membership().peers()) {
        const auto *report = vm.membership().findStatus(it.name);
        peers.push_back({{"name", it.name},
                         {"failureDomain", it.failureDomain},
                         {"state", enumName(vmStateNames, report->state)},
                         {"incarnation", report->incarnation},
                         {"configurationVersion", report->configurationVersion},
                         {"freeSlots", report->freeSlots},
                         {"queuedTasks", report->queuedTasks}});
    }
    const Json status{{"name", name},
                      {"configurationVersion", vm.configuration().version},
                      {"queuedTasks", vm.dispatcher().queuedTasks()},
                      {"vms", peers}};
    return status.dump();
}

std::string upstreamsJson(const EntryVm &vm)
{
    Json list = Json::array();
    for (const auto &it : vm.dispatcher().upstreams())
        list.push_back(upstreamJson(it));
    return Json{{"upstreams", list}}.dump();
}

} // namespace Citronpitch
