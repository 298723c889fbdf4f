#include "citronpitch/wireconvert.h"

#include "wire/peer.pb.h"

#include <limits>

namespace Citronpitch {

namespace wire = citronpitch::wire;

namespace {

void toWire(const Resources &from, wire::Resources *to)
{
    to->set_millicores(from.millicores);
    to->set_memory_bytes(from.memoryBytes);
    to->set_accelerators(from.accelerators);
}

Resources fromWire(const wire::Resources &from)
{
    return {from.millicores(), from.memory_bytes(), from.accelerators()};
}

void toWire(const LoanedCapacity &from, wire::LoanedCapacity *to)
{
    to->set_upstream(from.upstream);
    to->set_incarnation(from.incarnation);
    to->set_slots(from.slots);
    toWire(from.resources, to->mutable_resources());
}

LoanedCapacity fromWire(const wire::LoanedCapacity &from)
{
    return {from.upstream(), from.incarnation(), from.slots(), fromWire(from.resources())};
}

} // namespace

void toWire(const Submission &from, wire::Submission *to)
{
    to->set_team(from.team);
    to->set_key(from.key);
    to->set_class_name(from.className);
    to->set_deadline_us(microsecondsOf(from.deadline));
    to->set_idempotent(from.idempotent);
    to->set_body_hash(from.bodyHash);
    for (const auto &it : from.tasks) {
        auto *task = to->add_tasks();
        task->set_payload(it.payload);
        task->set_declared_time_us(it.declaredTime.count());
        toWire(it.need, task->mutable_need());
    }
}

void toWire(const Answer &from, wire::Answer *to)
{
    to->set_key(from.key);
    to->set_outcome(static_cast<std::uint32_t>(from.outcome));
    to->set_reason(static_cast<std::uint32_t>(from.reason));
    to->set_detail(from.detail);
    if (from.retryAt)
        to->set_retry_at_us(microsecondsOf(*from.retryAt));
    for (const auto &it : from.tasks) {
        auto *task = to->add_tasks();
        task->set_state(static_cast<std::uint32_t>(it.state));
        task->set_status(it.status);
        task->set_result(it.result);
        task->set_upstream(it.upstream);
    }
}

void toWire(const UpstreamAnnouncement &from, wire::UpstreamAnnouncement *to)
{
    to->set_name(from.name);
    to->set_address(from.address);
    to->set_port(from.port);
    to->set_slots(from.slots);
    toWire(from.capacity, to->mutable_capacity());
    to->set_rack(from.rack);
    to->set_incarnation(from.incarnation);
    to->set_lease_deadline_us(microsecondsOf(from.leaseDeadline));
    to->set_leaving(from.leaving);
}

void toWire(const CapacityRequest &from, wire::CapacityRequest *to)
{
    to->set_lease_deadline_us(microsecondsOf(from.leaseDeadline));
    to->set_seen_grant(from.seenGrant);
    to->set_tasks(from.tasks);
    toWire(from.need, to->mutable_need());
    for (const auto &it : from.held)
        toWire(it, to->add_held());
}

void toWire(const CapacityGrant &from, wire::CapacityGrant *to)
{
    to->set_number(from.number);
    to->set_lease_deadline_us(microsecondsOf(from.leaseDeadline));
    to->set_recalled(from.isRecalled);
    for (const auto &it : from.lent)
        toWire(it, to->add_lent());
}

CapacityRequest fromWire(const wire::CapacityRequest &from)
{
    CapacityRequest to{
        timePointOf(from.lease_deadline_us()), from.seen_grant(), from.tasks(), fromWire(from.need()), {}};
    for (const auto &it : from.held())
        to.held.push_back(fromWire(it));
    return to;
}

CapacityGrant fromWire(const wire::CapacityGrant &from)
{
    CapacityGrant to{from.number(), timePointOf(from.lease_deadline_us()), from.recalled(), {}};
    for (const auto &it : from.lent())
        to.lent.push_back(fromWire(it));
    return to;
}

std::optional<Submission> fromWire(const wire::Submission &from)
{
    if (from.tasks_size() > static_cast<int>(maximumTasksPerJob))
        return std::nullopt;
    Submission to;
    to.team = from.team();
    to.key = from.key();
    to.className = from.class_name();
    to.deadline = timePointOf(from.deadline_us());
    to.idempotent = from.idempotent();
    to.bodyHash = from.body_hash();
    for (const auto &it : from.tasks())
        to.tasks.push_back({it.payload(), Duration(it.declared_time_us()), fromWire(it.need())});
    return to;
}

std::optional<Answer> fromWire(const wire::Answer &from)
{
    if (from.outcome() >= outcomeNames.size() || from.reason() >= reasonNames.size())
        return std::nullopt;
    Answer to;
    to.key = from.key();
    to.outcome = static_cast<Outcome>(from.outcome());
    to.reason = static_cast<Reason>(from.reason());
    to.detail = from.detail();
    if (from.retry_at_us() != 0)
        to.retryAt = timePointOf(from.retry_at_us());
    for (const auto &it : from.tasks()) {
        if (it.state() >= taskStateNames.size())
            return std::nullopt;
        to.tasks.push_back({static_cast<TaskState>(it.state()), it.status(), it.result(), it.upstream()});
    }
    return to;
}

std::optional<UpstreamAnnouncement> fromWire(const wire::UpstreamAnnouncement &from)
{
    if (from.port() == 0 || from.port() > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    UpstreamAnnouncement to;
    to.name = from.name();
    to.address = from.address();
    to.port = static_cast<std::uint16_t>(from.port());
    to.slots = from.slots();
    to.capacity = fromWire(from.capacity());
    to.rack = from.rack();
    to.incarnation = from.incarnation();
    to.leaseDeadline = timePointOf(from.lease_deadline_us());
    to.leaving = from.leaving();
    return to;
}

} // namespace Citronpitch
