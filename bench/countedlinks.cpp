#include "countedlinks.h"

#include "support/deployment.h"

namespace Citronpitch {

namespace {

bool isVm(const std::string &name)
{
    return name.starts_with("vm") && name != "vm";
}

} // namespace

CountedLinks::CountedLinks(LinkFilter filter)
    : m_filter(std::move(filter))
{
}

Endpoint CountedLinks::route(const std::string &from, const std::string &to, const Endpoint &direct)
{
    if (!isVm(from) || !isVm(to) || from == to || !m_filter(from, to))
        return direct;
    const auto listen = freeEndpoint();
    m_proxies.push_back(std::make_unique<FaultProxy>(listen, direct));
    return listen;
}

double CountedLinks::bytes() const
{
    double sum = 0;
    for (const auto &it : m_proxies)
        sum += static_cast<double>(it->passedBytes());
    return sum;
}

} // namespace Citronpitch
