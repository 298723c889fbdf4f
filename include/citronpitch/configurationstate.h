#pragma once

#include "citronpitch/configurationchange.h"

#include <cstddef>
#include <deque>
#include <map>

namespace Citronpitch {

/// Changes whose answers are remembered.
constexpr std::size_t maximumRetainedAnswers = 10'000;

/// Accepted changes that are kept for operators.
constexpr std::size_t maximumHistoryEntries = 1'000;

/// Most classes, retired ones included, and most teams.
constexpr std::size_t maximumClasses = 10'000;
constexpr std::size_t maximumTeams = 10'000;

/**
 * @brief The replicated state: declarations, answers of recent changes, and history.
 *
 * Every entry VM applies the same changes in the same order and reaches the same state. Used by
 * ConfigurationNode.
 */
class ConfigurationState
{
public:
    /// Sets the declarations that hold before the first change. Only the first call has an effect.
    void initialize(const Configuration &configuration);

    /// Decides @p change and remembers the answer. A change that is remembered gets its first answer. Only
    /// tests switch @p checksVersion off.
    ChangeAnswer apply(const ConfigurationChange &change, bool checksVersion = true);

    /// Answer that the change with @p id got, or null where it is not remembered.
    const ChangeAnswer *findAnswer(const std::string &id) const;

    /// What @p change is answered by memory alone: its first answer, or an id conflict. Null: not remembered.
    const ChangeAnswer *findDuplicateAnswer(const ConfigurationChange &change, ChangeAnswer &buffer) const;

    const Configuration &configuration() const;
    const std::deque<ChangeHistoryEntry> &history() const;
    const std::deque<ChangeAnswer> &answers() const;
    bool isInitialized() const;

    /// Rebuilds a state from a snapshot.
    static ConfigurationState restore(const Configuration &configuration, bool isInitialized,
                                      const std::vector<ChangeAnswer> &answers,
                                      const std::vector<ChangeHistoryEntry> &history,
                                      std::uint64_t lastFence = 0);

    /// Fencing token given out last.
    std::uint64_t lastFence() const;

private:
    ChangeAnswer decideChange(const ConfigurationChange &change, bool checksVersion);
    ChangeAnswer supersededAnswer(const ConfigurationChange &change) const;
    ChangeAnswer replaceDocument(const ConfigurationChange &change);
    ChangeAnswer setHolder(const ConfigurationChange &change);
    void retainAnswer(const ChangeAnswer &answer);

    Configuration m_configuration;
    bool m_isInitialized = false;
    std::deque<ChangeAnswer> m_answers;
    /// Position of the answer of each id, counted from the first answer ever.
    std::map<std::string, std::uint64_t, std::less<>> m_answerPositions;
    std::uint64_t m_firstAnswerPosition = 0;
    std::deque<ChangeHistoryEntry> m_history;
    std::uint64_t m_lastFence = 0;
};

/// What changing @p configuration by @p change is refused for; empty where the change fits. On success
/// @p configuration holds the changed declarations, with its version untouched.
std::string applyChange(const ConfigurationChange &change, Configuration &configuration);

} // namespace Citronpitch
