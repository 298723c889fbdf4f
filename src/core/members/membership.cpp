#include "citronpitch/membership.h"

namespace Citronpitch {

Membership::Membership(const std::string &self, const std::vector<VmIdentity> &vms, Duration suspicionTime)
    : m_suspicionTime(suspicionTime)
{
    for (const auto &it : vms) {
        if (it.name == self)
            continue;
        m_others.push_back(it);
        m_reports.emplace(it.name, VmReport());
    }
}

bool Membership::heard(TimePoint now, std::string_view vm, std::uint64_t incarnation)
{
    const auto it = m_reports.find(vm);
    if (it == m_reports.end() || incarnation < it->second.incarnation)
        return false;
    auto &report = it->second;
    const bool isNewLife = incarnation > report.incarnation;
    report.incarnation = incarnation;
    report.lastHeard = now;
    if (isNewLife || report.state != VmState::Leaving)
        report.state = VmState::Alive;
    return true;
}

void Membership::report(std::string_view vm, std::uint64_t configurationVersion, std::uint32_t freeSlots,
                        std::uint32_t queuedTasks, bool leaving)
{
    const auto it = m_reports.find(vm);
    if (it == m_reports.end())
        return;
    it->second.configurationVersion = configurationVersion;
    it->second.freeSlots = freeSlots;
    it->second.queuedTasks = queuedTasks;
    if (leaving)
        it->second.state = VmState::Leaving;
}

std::vector<std::string> Membership::suspect(TimePoint now)
{
    std::vector<std::string> names;
    for (auto &[name, report] : m_reports) {
        const bool isHeard = report.state == VmState::Alive || report.state == VmState::Leaving;
        if (!isHeard || now - report.lastHeard < m_suspicionTime)
            continue;
        report.state = VmState::Suspected;
        names.push_back(name);
    }
    return names;
}

bool Membership::isReachable(std::string_view vm) const
{
    const auto *report = findReport(vm);
    return report != nullptr && (report->state == VmState::Alive || report->state == VmState::Leaving);
}

const VmReport *Membership::findReport(std::string_view vm) const
{
    const auto it = m_reports.find(vm);
    return it == m_reports.end() ? nullptr : &it->second;
}

const std::vector<VmIdentity> &Membership::others() const
{
    return m_others;
}

} // namespace Citronpitch
