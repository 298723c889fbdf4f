#include "daemon/burnapi.h"

#include <nlohmann/json.hpp>

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

Json toJson(const std::vector<ServiceLevelBucket> &buckets)
{
    Json list = Json::array();
    for (const auto &it : buckets)
        list.push_back({it.number, it.answered, it.missed});
    return list;
}

Json toJson(const ClassServiceLevelCounts &burn)
{
    Json upstreams = Json::array();
    for (const auto &it : burn.upstreams)
        upstreams.push_back({{"name", it.upstream}, {"missed", it.missed}});
    return {{"name", burn.name},
            {"minutes", toJson(burn.minutes)},
            {"quarters", toJson(burn.quarters)},
            {"upstreams", upstreams}};
}

} // namespace

std::string burnJson(TimePoint now, const EntryVm &vm, const VmIdentity &self)
{
    Json declarations = Json::array();
    for (const auto &it : vm.configuration().classes)
        declarations.push_back({{"name", it.name},
                                {"targetSharePpm", it.targetShare},
                                {"targetTimeMs", it.targetTime.count() / 1000}});
    Json classes = Json::array();
    for (const auto &it : vm.serviceLevelTracker().classes(now))
        classes.push_back(toJson(it));
    const Json body{{"vm", self.name},
                    {"failureDomain", self.failureDomain},
                    {"now", microsecondsOf(now) / 1000},
                    {"declarations", declarations},
                    {"classes", classes}};
    return body.dump();
}

} // namespace Citronpitch
