#include "fleet/fleetentry.h"

#include "fleet/fleetwire.h"
#include "log/eventlog.h"

#include "wire/fleet.pb.h"

#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::fleet;

namespace {

/// Balancers look once a second and take two misses for the end.
constexpr Duration listenAfterDrain = std::chrono::milliseconds(2500);

} // namespace

FleetEntry::FleetEntry(boost::asio::io_context &io, const FleetSettings &settings, ParseDocument parse)
    : m_work(std::move(parse))
    , m_relay({settings.domain})
    , m_member(io, settings,
               {[this](wire::Heartbeat &heartbeat) { describe(heartbeat); },
                [this](const std::string &vm, const wire::Message &message) { received(vm, message); },
                [this](const PeerChange &change) { peerChanged(change); },
                [this](const Configuration &configuration) { shown(configuration); },
                [](const AnswerChange &) {}, [this] { ticked(); }})
    , m_page(io, settings.metrics, [this](Metrics &metrics) { collect(metrics); })
    , m_shutdown(io, settings.vm, [this] { return now(); })
    , m_drainTimeout(settings.drainTimeout)
{
}

void FleetEntry::start()
{
    m_member.start();
}

CallerId FleetEntry::submit(HeldJob job, JobAnswered answered)
{
    const auto caller = m_nextCaller++;
    job.owner = {m_member.self().name, m_member.self().incarnation, 0};
    m_callers[caller] = {std::move(answered), job.submission.key, job.submission.className, now()};
    m_relay.submit(now(), caller, std::move(job));
    carryOut();
    return caller;
}

void FleetEntry::leave(CallerId caller)
{
    if (m_callers.erase(caller) == 0)
        return;
    m_relay.callerGone(caller);
    carryOut();
}

const WorkDeclaration *FleetEntry::declaration() const
{
    return m_work.declaration();
}

bool FleetEntry::isReady() const
{
    return declaration() != nullptr && !m_shutdown.hasBegun() && m_relay.canServe();
}

void FleetEntry::shutDown(HttpServer &callers)
{
    if (m_shutdown.hasBegun())
        return;
    callers.closeAfterResponses();
    const auto listenUntil = now() + listenAfterDrain;
    m_shutdown.begin({{[this, listenUntil] { return now() >= listenUntil; }, [&callers] { callers.drain(); }},
                      {[&callers] { return callers.connectionCount() == 0; }, {}}},
                     now() + m_drainTimeout);
}

TimePoint FleetEntry::now() const
{
    return m_member.now();
}

void FleetEntry::describe(wire::Heartbeat &heartbeat) const
{
    heartbeat.set_is_draining(m_shutdown.hasBegun());
    heartbeat.set_lowest_open_job(m_relay.lowestOpen());
}

void FleetEntry::received(const std::string &vm, const wire::Message &message)
{
    if (message.body_case() == wire::Message::kHeartbeat) {
        const auto *peer = m_member.directory().find(vm);
        if (peer == nullptr || !peer->isAlive || peer->peer.role != VmRole::Control)
            return;
        std::vector<GroupLoad> loads;
        for (const auto &it : message.heartbeat().groups())
            loads.push_back(fromWire(it));
        m_relay.holderAlive(vm, peer->peer.incarnation, peer->isDraining);
        m_relay.loadReported(vm, loads);
    } else if (message.body_case() == wire::Message::kJobEnded) {
        if (auto answer = fromWire(now(), message.job_ended()))
            m_relay.ended(now(), vm, message.job_ended().number(), std::move(*answer));
        carryOut();
    }
}

void FleetEntry::peerChanged(const PeerChange &change)
{
    if (change.isAlive || change.peer.role != VmRole::Control)
        return;
    m_relay.holderGone(change.peer.name);
    carryOut();
}

void FleetEntry::shown(const Configuration &configuration)
{
    m_relay.setHolders(configuration.holders);
    m_work.take(configuration.document);
}

void FleetEntry::ticked()
{
    m_relay.tick(now());
    carryOut();
}

void FleetEntry::collect(Metrics &metrics) const
{
    metrics.setGauge(Metric::JobsWaiting, {}, static_cast<double>(m_callers.size()));
    m_member.collect(metrics);
}

void FleetEntry::answer(const WaitingCaller &caller, const Answer &answer)
{
    const std::string outcome(enumName(outcomeNames, answer.outcome));
    m_page.metrics().increment(
        Metric::JobsAnswered, {caller.className, outcome, std::string(enumName(reasonNames, answer.reason))});
    m_page.metrics().observe(Metric::JobDuration, {caller.className, outcome}, now() - caller.arrivedAt);
    if (answer.outcome != Outcome::Complete) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - caller.arrivedAt);
        logEvent(Event::JobNotCompleted,
                 {{"key", caller.key},
                  {"outcome", outcome},
                  {"reason", std::string(enumName(reasonNames, answer.reason))},
                  {"detail", answer.detail},
                  {"waitedMs", std::to_string(waited.count())}});
    }
    caller.answered(answer);
}

void FleetEntry::carryOut()
{
    for (auto &action : m_relay.takeActions()) {
        wire::Message message;
        if (const auto *send = std::get_if<SendJob>(&action)) {
            toWire(now(), send->job, send->group, message.mutable_run_job());
            m_member.send(send->vm, message);
        } else if (const auto *cancel = std::get_if<SendCancel>(&action)) {
            message.mutable_cancel_job()->set_number(cancel->number);
            m_member.send(cancel->vm, message);
        } else {
            const auto &answer = std::get<AnswerCaller>(action);
            const auto it = m_callers.find(answer.caller);
            if (it == m_callers.end())
                continue;
            const auto caller = std::move(it->second);
            m_callers.erase(it);
            this->answer(caller, answer.answer);
        }
    }
}

} // namespace Citronpitch
