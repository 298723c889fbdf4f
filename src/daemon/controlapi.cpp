#include "daemon/controlapi.h"

#include <nlohmann/json.hpp>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

constexpr std::string_view upstreamsPath = "/v1/upstreams/";

Resources parseResources(const Json &from)
{
    return {from.value("millicores", 0U), from.value("memoryBytes", std::uint64_t{0}),
            from.value("accelerators", 0U)};
}

UpstreamAnnouncement parseFields(const Json &from)
{
    UpstreamAnnouncement announcement;
    announcement.address = from.at("address").get<std::string>();
    announcement.port = from.at("port").get<std::uint16_t>();
    announcement.slots = from.at("slots").get<std::uint32_t>();
    announcement.rack = from.value("rack", std::string());
    announcement.incarnation = from.at("incarnation").get<std::uint64_t>();
    announcement.capacity = parseResources(from.value("capacity", Json::object()));
    announcement.leaving = from.value("leaving", false);
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

leaf::result<UpstreamAnnouncement> parseAnnouncement(const HttpRequest &request, TimePoint lease)
{
    const auto name = request.path.substr(std::min(upstreamsPath.size(), request.path.size()));
    if (name.empty())
        return leaf::new_error(StepError{"announce", "path", "a name is expected after /v1/upstreams/"});
    try {
        auto announcement = parseFields(Json::parse(request.body));
        announcement.name = name;
        announcement.leaseDeadline = lease;
        return announcement;
    } catch (const Json::exception &e) {
        return leaf::new_error(StepError{"announce", name, e.what()});
    }
}

std::string statusText(const EntryVm &vm, const std::string &name)
{
    Json peers = Json::array();
    for (const auto &it : vm.membership().others()) {
        const auto *report = vm.membership().findReport(it.name);
        peers.push_back({{"name", it.name},
                         {"failureDomain", it.failureDomain},
                         {"state", nameIn(vmStateNames, report->state)},
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

std::string upstreamsText(const EntryVm &vm)
{
    Json list = Json::array();
    for (const auto &it : vm.dispatcher().upstreams())
        list.push_back(upstreamJson(it));
    return Json{{"upstreams", list}}.dump();
}

} // namespace Citronpitch
