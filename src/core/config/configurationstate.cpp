#include "citronpitch/configurationstate.h"

#include "citronpitch/upstreamgroup.h"

#include <algorithm>
#include <set>

namespace Citronpitch {

namespace {

constexpr std::uint32_t maximumSharePpm = 1'000'000;

ClassDeclaration *findClass(Configuration &configuration, std::string_view name)
{
    const auto it = std::find_if(configuration.classes.begin(), configuration.classes.end(),
                                 [&](const auto &c) { return c.name == name; });
    return it == configuration.classes.end() ? nullptr : &*it;
}

std::string checkClass(const ClassDeclaration &declaration)
{
    if (declaration.name.empty())
        return "a class needs a name";
    if (declaration.targetShare > maximumSharePpm)
        return "class " + declaration.name + ": the share is above 1000000 parts per million";
    if (declaration.targetTime <= Duration::zero() && !declaration.retired)
        return "class " + declaration.name + ": the target time must be above zero";
    return {};
}

template <typename Declaration> bool hasDuplicateName(const std::vector<Declaration> &declarations)
{
    std::set<std::string_view> names;
    return !std::all_of(declarations.begin(), declarations.end(),
                        [&](const auto &it) { return names.insert(it.name).second; });
}

std::string createClass(const ClassDeclaration &wanted, Configuration &configuration)
{
    auto *existing = findClass(configuration, wanted.name);
    if (existing != nullptr && !existing->retired)
        return "class " + wanted.name + " already exists";
    if (existing != nullptr) {
        *existing = wanted;
        return {};
    }
    if (configuration.classes.size() >= maximumClasses)
        return "the maximum of " + std::to_string(maximumClasses) + " classes is reached";
    configuration.classes.push_back(wanted);
    return {};
}

std::string changeTarget(const ClassDeclaration &wanted, bool isRaise, Configuration &configuration)
{
    auto *existing = findClass(configuration, wanted.name);
    if (existing == nullptr || existing->retired)
        return "class " + wanted.name + " does not exist or is retired";
    const auto &strict = isRaise ? wanted : *existing;
    const auto &loose = isRaise ? *existing : wanted;
    const bool isOrdered = strict.targetTime <= loose.targetTime && strict.targetShare >= loose.targetShare;
    const bool isSame = strict.targetTime == loose.targetTime && strict.targetShare == loose.targetShare;
    if (!isOrdered || isSame)
        return "class " + wanted.name + ": the new target is not " + (isRaise ? "stricter" : "less strict")
            + " than the active one";
    existing->targetTime = wanted.targetTime;
    existing->targetShare = wanted.targetShare;
    return {};
}

std::string retireClass(const std::string &name, Configuration &configuration)
{
    auto *existing = findClass(configuration, name);
    if (existing == nullptr || existing->retired)
        return "class " + name + " does not exist or is retired";
    existing->retired = true;
    return {};
}

std::string setTeam(const TeamDeclaration &wanted, Configuration &configuration)
{
    if (wanted.name.empty())
        return "a team needs a name";
    const auto it = std::find_if(configuration.teams.begin(), configuration.teams.end(),
                                 [&](const auto &t) { return t.name == wanted.name; });
    if (it != configuration.teams.end()) {
        *it = wanted;
        return {};
    }
    if (configuration.teams.size() >= maximumTeams)
        return "the maximum of " + std::to_string(maximumTeams) + " teams is reached";
    configuration.teams.push_back(wanted);
    return {};
}

std::string removeTeam(const std::string &name, Configuration &configuration)
{
    const auto n = std::erase_if(configuration.teams, [&](const auto &it) { return it.name == name; });
    return n == 0 ? "team " + name + " does not exist" : std::string();
}

std::string replaceAll(const ConfigurationChange &change, Configuration &configuration)
{
    for (const auto &it : change.classes) {
        if (auto error = checkClass(it); !error.empty())
            return error;
    }
    for (const auto &it : change.teams) {
        if (it.name.empty())
            return "a team needs a name";
    }
    if (hasDuplicateName(change.classes) || hasDuplicateName(change.teams))
        return "the declaration contains a name twice";
    auto classes = change.classes;
    for (auto it : configuration.classes) {
        it.retired = true;
        const bool isListed = std::any_of(change.classes.begin(), change.classes.end(),
                                          [&](const auto &c) { return c.name == it.name; });
        if (!isListed)
            classes.push_back(std::move(it));
    }
    if (classes.size() > maximumClasses || change.teams.size() > maximumTeams)
        return "the declaration has too many classes or teams";
    configuration.classes = std::move(classes);
    configuration.teams = change.teams;
    return {};
}

std::string subjectOf(const ConfigurationChange &change)
{
    if (change.kind == ChangeKind::Apply || (change.classes.empty() && change.teams.empty()))
        return {};
    return change.classes.empty() ? change.teams.front().name : change.classes.front().name;
}

} // namespace

std::string applyChange(const ConfigurationChange &change, Configuration &configuration)
{
    if (change.kind == ChangeKind::Apply)
        return replaceAll(change, configuration);
    const bool isOfTeam = change.kind == ChangeKind::SetTeam || change.kind == ChangeKind::RemoveTeam;
    if (change.classes.size() != (isOfTeam ? 0U : 1U) || change.teams.size() != (isOfTeam ? 1U : 0U))
        return "the change must name exactly one class or team";
    switch (change.kind) {
    case ChangeKind::SetTeam:
        return setTeam(change.teams.front(), configuration);
    case ChangeKind::RemoveTeam:
        return removeTeam(change.teams.front().name, configuration);
    case ChangeKind::RetireClass:
        return retireClass(change.classes.front().name, configuration);
    default:
        break;
    }
    if (auto error = checkClass(change.classes.front()); !error.empty())
        return error;
    if (change.kind == ChangeKind::CreateClass)
        return createClass(change.classes.front(), configuration);
    return changeTarget(change.classes.front(), change.kind == ChangeKind::RaiseTarget, configuration);
}

void ConfigurationState::initialize(const Configuration &configuration)
{
    if (m_isInitialized)
        return;
    m_isInitialized = true;
    m_configuration = configuration;
    m_configuration.version = 0;
}

ChangeAnswer ConfigurationState::apply(const ConfigurationChange &change, bool checksVersion)
{
    ChangeAnswer buffer;
    if (change.kind == ChangeKind::SetHolder)
        return setHolder(change);
    if (change.kind == ChangeKind::SetPartition)
        return setPartition(change);
    if (const auto *first = findDuplicateAnswer(change, buffer))
        return *first;
    ChangeAnswer answer;
    if (change.kind == ChangeKind::ReplaceDocument)
        answer = replaceDocument(change);
    else if (isDomainChange(change.kind))
        answer = changeDomain(change);
    else
        answer = decideChange(change, checksVersion);
    retainAnswer(answer);
    return answer;
}

const ChangeAnswer *ConfigurationState::findAnswer(const std::string &id) const
{
    const auto it = m_answerPositions.find(id);
    return it == m_answerPositions.end() ? nullptr : &m_answers[it->second - m_firstAnswerPosition];
}

const ChangeAnswer *ConfigurationState::findDuplicateAnswer(const ConfigurationChange &change,
                                                            ChangeAnswer &buffer) const
{
    const auto *first = findAnswer(change.id);
    if (first == nullptr || first->contentHash == contentHashOf(change))
        return first;
    buffer = ChangeAnswer{change.id,
                          ChangeOutcome::IdConflict,
                          m_configuration.version,
                          {},
                          {},
                          "the id was used by a change with different content",
                          contentHashOf(change)};
    return &buffer;
}

const Configuration &ConfigurationState::configuration() const
{
    return m_configuration;
}

const std::deque<ChangeHistoryEntry> &ConfigurationState::history() const
{
    return m_history;
}

const std::deque<ChangeAnswer> &ConfigurationState::answers() const
{
    return m_answers;
}

bool ConfigurationState::isInitialized() const
{
    return m_isInitialized;
}

ConfigurationState ConfigurationState::restore(const Configuration &configuration, bool isInitialized,
                                               const std::vector<ChangeAnswer> &answers,
                                               const std::vector<ChangeHistoryEntry> &history,
                                               std::uint64_t lastFence)
{
    ConfigurationState state;
    state.m_configuration = configuration;
    state.m_isInitialized = isInitialized;
    for (const auto &it : answers)
        state.retainAnswer(it);
    state.m_history.assign(history.begin(), history.end());
    state.m_lastFence = lastFence;
    return state;
}

std::uint64_t ConfigurationState::lastFence() const
{
    return m_lastFence;
}

ChangeAnswer ConfigurationState::replaceDocument(const ConfigurationChange &change)
{
    auto &document = m_configuration.document;
    ChangeAnswer answer{change.id, ChangeOutcome::Accepted, m_configuration.version, {}, {},
                        {},        contentHashOf(change)};
    if (change.document.version == document.version && change.document.text != document.text) {
        answer.outcome = ChangeOutcome::Superseded;
        answer.detail = "version " + std::to_string(document.version) + " is active with different content";
        return answer;
    }
    // An older document was already replaced: it counts as accepted and changes nothing.
    if (change.document.version <= document.version)
        return answer;
    document = change.document;
    answer.version = ++m_configuration.version;
    m_history.push_back({answer.version, change.id, change.author, change.proposedAt, change.kind,
                         "version " + std::to_string(document.version)});
    if (m_history.size() > maximumHistoryEntries)
        m_history.pop_front();
    return answer;
}

ChangeAnswer ConfigurationState::changeDomain(const ConfigurationChange &change)
{
    ChangeAnswer answer{change.id, ChangeOutcome::Accepted, m_configuration.version, {}, {},
                        {},        contentHashOf(change)};
    if (change.domain.empty()) {
        answer.outcome = ChangeOutcome::Invalid;
        answer.detail = "the change must name a failure domain";
        return answer;
    }
    auto &evacuations = m_configuration.evacuations;
    const bool isStart = change.kind == ChangeKind::EvacuateDomain;
    const bool isEvacuated = m_configuration.findEvacuation(change.domain) != nullptr;
    if (isStart == isEvacuated)
        return answer;
    if (change.basedOn != 0 && hasDomainChangedSince(change.domain, change.basedOn)) {
        answer.outcome = ChangeOutcome::Superseded;
        answer.detail = "failure domain " + change.domain + " was changed after version "
            + std::to_string(change.basedOn);
        return answer;
    }
    if (isStart && evacuations.size() >= maximumEvacuations) {
        answer.outcome = ChangeOutcome::Invalid;
        answer.detail =
            "the maximum of " + std::to_string(maximumEvacuations) + " evacuated failure domains is reached";
        return answer;
    }
    answer.version = ++m_configuration.version;
    if (isStart)
        evacuations.push_back({change.domain, answer.version});
    else
        std::erase_if(evacuations, [&](const auto &it) { return it.domain == change.domain; });
    m_history.push_back(
        {answer.version, change.id, change.author, change.proposedAt, change.kind, change.domain});
    if (m_history.size() > maximumHistoryEntries)
        m_history.pop_front();
    return answer;
}

bool ConfigurationState::hasDomainChangedSince(const std::string &domain, std::uint64_t version) const
{
    // The history does not contain the versions before its first entry.
    if (!m_history.empty() && m_history.front().version > version + 1)
        return true;
    return std::any_of(m_history.begin(), m_history.end(), [&](const auto &it) {
        return it.version > version && isDomainChange(it.kind) && it.subject == domain;
    });
}

ChangeAnswer ConfigurationState::setHolder(const ConfigurationChange &change)
{
    ChangeAnswer answer{change.id, ChangeOutcome::Superseded, m_configuration.version, {}, {}, {}, 0};
    // The leader may have proposed this before it learned of a new partition.
    if (!isCurrentGroup(change.holder.group, m_configuration.partitions))
        return answer;
    auto &holders = m_configuration.holders;
    auto it = std::find_if(holders.begin(), holders.end(),
                           [&](const auto &holder) { return holder.group == change.holder.group; });
    const auto current = it == holders.end() ? 0 : it->fence;
    if (current != change.holder.fence)
        return answer;
    if (it == holders.end())
        it = holders.insert(holders.end(), change.holder);
    *it = change.holder;
    it->fence = ++m_lastFence;
    answer.outcome = ChangeOutcome::Accepted;
    return answer;
}

ChangeAnswer ConfigurationState::setPartition(const ConfigurationChange &change)
{
    ChangeAnswer answer{change.id, ChangeOutcome::Accepted, m_configuration.version, {}, {}, {}, 0};
    const auto &wanted = change.partition;
    auto &partitions = m_configuration.partitions;
    const auto it = std::find_if(partitions.begin(), partitions.end(),
                                 [&](const auto &known) { return known.domain == wanted.domain; });
    const auto current = it == partitions.end() ? 0 : it->groups;
    if (current == wanted.groups)
        return answer;
    if (it == partitions.end())
        partitions.push_back(wanted);
    else
        *it = wanted;
    std::erase_if(m_configuration.holders,
                  [&](const auto &holder) { return !isCurrentGroup(holder.group, partitions); });
    return answer;
}

ChangeAnswer ConfigurationState::decideChange(const ConfigurationChange &change, bool checksVersion)
{
    if (checksVersion && change.basedOn != m_configuration.version)
        return supersededAnswer(change);
    ChangeAnswer answer{change.id, ChangeOutcome::Invalid, m_configuration.version, {}, {},
                        {},        contentHashOf(change)};
    auto changed = m_configuration;
    answer.detail = applyChange(change, changed);
    if (!answer.detail.empty())
        return answer;
    answer.outcome = ChangeOutcome::Accepted;
    answer.version = ++changed.version;
    m_configuration = std::move(changed);
    m_history.push_back(
        {answer.version, change.id, change.author, change.proposedAt, change.kind, subjectOf(change)});
    if (m_history.size() > maximumHistoryEntries)
        m_history.pop_front();
    return answer;
}

ChangeAnswer ConfigurationState::supersededAnswer(const ConfigurationChange &change) const
{
    ChangeAnswer answer{change.id, ChangeOutcome::Superseded, m_configuration.version, {}, {},
                        {},        contentHashOf(change)};
    if (change.basedOn > m_configuration.version) {
        answer.outcome = ChangeOutcome::Invalid;
        answer.detail =
            "the change is based on version " + std::to_string(change.basedOn) + ", which does not exist";
        return answer;
    }
    const auto it = std::find_if(m_history.begin(), m_history.end(),
                                 [&](const auto &h) { return h.version == change.basedOn + 1; });
    if (it != m_history.end()) {
        answer.winnerId = it->id;
        answer.winnerAuthor = it->author;
    }
    answer.detail = "another change created version " + std::to_string(change.basedOn + 1);
    return answer;
}

void ConfigurationState::retainAnswer(const ChangeAnswer &answer)
{
    m_answerPositions[answer.id] = m_firstAnswerPosition + m_answers.size();
    m_answers.push_back(answer);
    if (m_answers.size() <= maximumRetainedAnswers)
        return;
    m_answerPositions.erase(m_answers.front().id);
    m_answers.pop_front();
    ++m_firstAnswerPosition;
}

} // namespace Citronpitch
