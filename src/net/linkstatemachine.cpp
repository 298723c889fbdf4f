#include "net/linkstatemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Citronpitch {

namespace msm = boost::msm;

namespace {

struct Connected
{
};
struct Disconnected
{
};
struct Closed
{
};

/// Transition table. It is fixed at compile time, unlike the state charts in charts/, as it mirrors the
/// socket events and is not configurable.
struct LinkDefinition : msm::front::state_machine_def<LinkDefinition>
{
    struct Down : msm::front::state<>
    {
    };
    struct Up : msm::front::state<>
    {
    };
    struct Ended : msm::front::terminate_state<>
    {
    };

    struct ReportUp
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.enter(LinkPhase::Up);
        }
    };
    struct ReportDown
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.enter(LinkPhase::Down);
        }
    };
    struct ReportClosed
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.enter(LinkPhase::Closed);
        }
    };

    using initial_state = Down;
    template <typename Source, typename Event, typename Target, typename Action>
    using Row = msm::front::Row<Source, Event, Target, Action, msm::front::none>;
    struct transition_table // NOLINT(readability-identifier-naming): name required by MSM
        : boost::mpl::vector<Row<Down, Connected, Up, ReportUp>, //
                             Row<Up, Disconnected, Down, ReportDown>, //
                             Row<Down, Closed, Ended, ReportClosed>, //
                             Row<Up, Closed, Ended, ReportClosed>>
    {
    };

    /// Ignores events without a transition in the current state, such as a repeated disconnect.
    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &,
                       int) // NOLINT(readability-identifier-naming): required by MSM
    {
    }

    void enter(LinkPhase next)
    {
        phase = next;
        if (changed)
            changed(next);
    }

    LinkPhaseHandler changed;
    LinkPhase phase = LinkPhase::Down;
};

} // namespace

class LinkStateMachine::Machine : public msm::back::state_machine<LinkDefinition>
{
};

LinkStateMachine::LinkStateMachine(LinkPhaseHandler changed)
    : m_machine(std::make_unique<Machine>())
{
    m_machine->changed = std::move(changed);
    m_machine->start();
}

LinkStateMachine::~LinkStateMachine() = default;
LinkStateMachine::LinkStateMachine(LinkStateMachine &&other) noexcept = default;
LinkStateMachine &LinkStateMachine::operator=(LinkStateMachine &&other) noexcept = default;

void LinkStateMachine::connected()
{
    m_machine->process_event(Connected());
}

void LinkStateMachine::disconnected()
{
    m_machine->process_event(Disconnected());
}

void LinkStateMachine::closed()
{
    m_machine->process_event(Closed());
}

LinkPhase LinkStateMachine::phase() const
{
    return m_machine->phase;
}

} // namespace Citronpitch
