#pragma once

#include "charts/chartdefinition.h"
#include "citronpitch/nametable.h"

#include <boost/leaf/error.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/**
 * @brief Interprets a chart file whose names are bound to the states, events and actions of the code.
 *
 * Immutable: any number of state machines share one chart, and each keeps its own State.
 */
template <typename State, std::size_t stateCount, typename Event, std::size_t eventCount, typename Action,
          std::size_t actionCount>
class StateChart
{
public:
    using StateNames = std::array<EnumName<State>, stateCount>;
    using EventNames = std::array<EnumName<Event>, eventCount>;
    using ActionNames = std::array<EnumName<Action>, actionCount>;

    /// Target state and actions of a transition.
    struct Transition
    {
        State target{};
        std::vector<Action> actions;
    };

    /**
     * Binds the names in @p chart to enumerators.
     *
     * Fails if the chart has a name that is not in the lists, does not use every state, event and action of
     * the lists, or has two transitions for one event in a state.
     */
    static boost::leaf::result<StateChart> bind(const ChartDefinition &chart, const StateNames &stateNames,
                                                const EventNames &eventNames, const ActionNames &actionNames)
    {
        StateChart bound;
        const auto initial = enumValue(stateNames, chart.initial);
        if (!initial)
            return error(chart, "initial state \"" + chart.initial + "\" is unknown");
        bound.m_initial = *initial;
        UsedNames uses;
        for (const auto &it : chart.states) {
            const auto state = enumValue(stateNames, it.name);
            if (!state)
                return error(chart, "state \"" + it.name + "\" is unknown");
            uses.states.at(static_cast<std::size_t>(*state)) = true;
            for (const auto &transition : it.transitions) {
                BOOST_LEAF_CHECK(
                    bound.add(chart, *state, transition, stateNames, eventNames, actionNames, uses));
            }
        }
        BOOST_LEAF_CHECK(checkAllUsed(chart, "state", stateNames, uses.states));
        BOOST_LEAF_CHECK(checkAllUsed(chart, "event", eventNames, uses.events));
        BOOST_LEAF_CHECK(checkAllUsed(chart, "action", actionNames, uses.actions));
        return bound;
    }

    State initial() const
    {
        return m_initial;
    }

    /// Returns the transition for @p event in @p state, or null if there is none and the event is ignored.
    const Transition *find(State state, Event event) const
    {
        const auto &step = m_transitions[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
        return step ? &*step : nullptr;
    }

private:
    /// Names of the code that the chart uses.
    struct UsedNames
    {
        std::array<bool, stateCount> states{};
        std::array<bool, eventCount> events{};
        std::array<bool, actionCount> actions{};
    };

    static boost::leaf::error_id error(const ChartDefinition &chart, std::string detail)
    {
        return boost::leaf::new_error(StepError{"bind chart", chart.name, std::move(detail)});
    }

    template <typename Names, std::size_t count>
    static boost::leaf::result<void> checkAllUsed(const ChartDefinition &chart, const std::string &kind,
                                                  const Names &names, const std::array<bool, count> &used)
    {
        for (const auto &it : names) {
            if (!used.at(static_cast<std::size_t>(it.value)))
                return error(chart, kind + " \"" + std::string(it.name) + "\" is not in the chart");
        }
        return {};
    }

    boost::leaf::result<void> add(const ChartDefinition &chart, State state,
                                  const ChartTransition &transition, const StateNames &stateNames,
                                  const EventNames &eventNames, const ActionNames &actionNames,
                                  UsedNames &uses)
    {
        const auto event = enumValue(eventNames, transition.event);
        const auto target = enumValue(stateNames, transition.target);
        if (!event)
            return error(chart, "event \"" + transition.event + "\" is unknown");
        if (!target)
            return error(chart, "target \"" + transition.target + "\" is unknown");
        Transition step{*target, {}};
        for (const auto &it : transition.actions) {
            const auto action = enumValue(actionNames, it);
            if (!action)
                return error(chart, "action \"" + it + "\" is unknown");
            uses.actions.at(static_cast<std::size_t>(*action)) = true;
            step.actions.push_back(*action);
        }
        uses.events.at(static_cast<std::size_t>(*event)) = true;
        auto &entry = m_transitions.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(*event));
        if (entry)
            return error(chart, "two transitions for event \"" + transition.event + "\"");
        entry = std::move(step);
        return {};
    }

    State m_initial{};
    std::array<std::array<std::optional<Transition>, eventCount>, stateCount> m_transitions;
};

} // namespace Citronpitch
