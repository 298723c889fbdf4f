#pragma once

#include "citronpitch/configurationchange.h"

#include <cstddef>
#include <deque>
#include <map>

namespace Citronpitch {

/// Number of changes whose answers are retained to detect duplicates.
constexpr std::size_t maximumRetainedAnswers = 10'000;

/// Accepted changes in the history.
constexpr std::size_t maximumHistoryEntries = 1'000;

/// Maximum number of classes, including retired ones, and of teams.
constexpr std::size_t maximumClasses = 10'000;
constexpr std::size_t maximumTeams = 10'000;

/// Maximum number of failure domains that are evacuated at the same time; bounds the size of snapshots.
constexpr std::size_t maximumEvacuations = 1'000;

/**
 * @brief Holds the replicated state: declarations, answers of recent changes, and history.
 *
 * Every entry VM applies the same changes in the same order and reaches the same state. Used by
 * ConfigurationNode.
 */
class ConfigurationState
{
public:
    /// Sets the declarations before the first change. Only the first call has an effect.
    void initialize(const Configuration &configuration);

    /// Decides @p change and retains the answer. A duplicate gets its first answer while that is retained.
    /// Only tests set @p checksVersion to false.
    ChangeAnswer apply(const ConfigurationChange &change, bool checksVersion = true);

    /// Answer to the change with @p id, or null if none is retained.
    const ChangeAnswer *findAnswer(const std::string &id) const;

    /// Answer to a duplicate of a retained change: the first answer, or an ID conflict, which is stored in
    /// @p buffer. Null if no change with this ID is retained.
    const ChangeAnswer *findDuplicateAnswer(const ConfigurationChange &change, ChangeAnswer &buffer) const;

    const Configuration &configuration() const;
    const std::deque<ChangeHistoryEntry> &history() const;
    const std::deque<ChangeAnswer> &answers() const;
    bool isInitialized() const;

    /// Restores a state from a snapshot.
    static ConfigurationState restore(const Configuration &configuration, bool isInitialized,
                                      const std::vector<ChangeAnswer> &answers,
                                      const std::vector<ChangeHistoryEntry> &history,
                                      std::uint64_t lastFence = 0);

    /// Newest fencing token.
    std::uint64_t lastFence() const;

private:
    ChangeAnswer decideChange(const ConfigurationChange &change, bool checksVersion);
    ChangeAnswer supersededAnswer(const ConfigurationChange &change) const;
    ChangeAnswer replaceDocument(const ConfigurationChange &change);
    ChangeAnswer changeDomain(const ConfigurationChange &change);
    /// Whether a version after @p version may have evacuated or restored @p domain.
    bool hasDomainChangedSince(const std::string &domain, std::uint64_t version) const;
    ChangeAnswer setHolder(const ConfigurationChange &change);
    ChangeAnswer setPartition(const ConfigurationChange &change);
    void retainAnswer(const ChangeAnswer &answer);

    Configuration m_configuration;
    bool m_isInitialized = false;
    std::deque<ChangeAnswer> m_answers;
    /// Position of the answer of each change ID, counted from the first answer ever retained.
    std::map<std::string, std::uint64_t, std::less<>> m_answerPositions;
    std::uint64_t m_firstAnswerPosition = 0;
    std::deque<ChangeHistoryEntry> m_history;
    std::uint64_t m_lastFence = 0;
};

/// Applies @p change to @p configuration, except to its version. Returns the reason of a refusal; empty on
/// success.
std::string applyChange(const ConfigurationChange &change, Configuration &configuration);

} // namespace Citronpitch
