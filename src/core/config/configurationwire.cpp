#include "core/config/configurationwire.h"

namespace Citronpitch {

namespace wire = citronpitch::wire::configuration;

namespace {

constexpr std::size_t logEntryKindCount = static_cast<std::size_t>(LogEntryKind::Voters) + 1;

template <typename To>
void declarationsToWire(const std::vector<ClassDeclaration> &classes,
                        const std::vector<TeamDeclaration> &teams, To *to)
{
    for (const auto &it : classes) {
        auto *declaration = to->add_classes();
        declaration->set_name(it.name);
        declaration->set_target_share_ppm(it.targetShare);
        declaration->set_target_time_us(it.targetTime.count());
        declaration->set_retired(it.retired);
    }
    for (const auto &it : teams) {
        auto *declaration = to->add_teams();
        declaration->set_name(it.name);
        declaration->set_quota_tasks(it.quotaTasks);
    }
}

template <typename From> std::vector<ClassDeclaration> classesFromWire(const From &from)
{
    std::vector<ClassDeclaration> classes;
    for (const auto &it : from.classes())
        classes.push_back({it.name(), it.target_share_ppm(), Duration(it.target_time_us()), it.retired()});
    return classes;
}

template <typename From> std::vector<TeamDeclaration> teamsFromWire(const From &from)
{
    std::vector<TeamDeclaration> teams;
    for (const auto &it : from.teams())
        teams.push_back({it.name(), it.quota_tasks()});
    return teams;
}

template <typename To> void votersToWire(const std::vector<Voter> &voters, To *to)
{
    for (const auto &it : voters) {
        auto *voter = to->add_voters();
        voter->set_name(it.name);
        voter->set_storage(it.storageId);
    }
}

template <typename From> std::vector<Voter> votersOf(const From &from)
{
    std::vector<Voter> voters;
    for (const auto &it : from.voters())
        voters.push_back({it.name(), it.storage()});
    return voters;
}

void documentToWire(const DeclaredDocument &from, wire::Document *to)
{
    to->set_version(from.version);
    to->set_text(from.text);
}

void holderToWire(const GroupHolder &from, wire::Holder *to)
{
    to->set_group(from.group);
    to->set_vm(from.vm);
    to->set_incarnation(from.incarnation);
    to->set_fence(from.fence);
}

void partitionToWire(const DomainPartition &from, wire::Partition *to)
{
    to->set_domain(from.domain);
    to->set_groups(from.groups);
}

DomainPartition partitionFromWire(const wire::Partition &from)
{
    return {from.domain(), from.groups()};
}

GroupHolder holderFromWire(const wire::Holder &from)
{
    return {from.group(), from.vm(), from.incarnation(), from.fence()};
}

void stateToWire(const ConfigurationState &from, wire::State *to)
{
    documentToWire(from.configuration().document, to->mutable_document());
    for (const auto &it : from.configuration().holders)
        holderToWire(it, to->add_holders());
    for (const auto &it : from.configuration().partitions)
        partitionToWire(it, to->add_partitions());
    for (const auto &it : from.configuration().evacuations) {
        auto *evacuation = to->add_evacuations();
        evacuation->set_domain(it.domain);
        evacuation->set_since(it.since);
    }
    to->set_last_fence(from.lastFence());
    to->set_version(from.configuration().version);
    to->set_initialised(from.isInitialized());
    declarationsToWire(from.configuration().classes, from.configuration().teams, to);
    for (const auto &it : from.answers()) {
        auto *answer = to->add_answers();
        answer->set_id(it.id);
        answer->set_outcome(static_cast<std::uint32_t>(it.outcome));
        answer->set_version(it.version);
        answer->set_winner_id(it.winnerId);
        answer->set_winner_author(it.winnerAuthor);
        answer->set_detail(it.detail);
        answer->set_content_hash(it.contentHash);
    }
    for (const auto &it : from.history()) {
        auto *record = to->add_history();
        record->set_version(it.version);
        record->set_id(it.id);
        record->set_author(it.author);
        record->set_accepted_at_us(microsecondsOf(it.acceptedAt));
        record->set_kind(static_cast<std::uint32_t>(it.kind));
        record->set_subject(it.subject);
    }
}

std::optional<ConfigurationState> stateFromWire(const wire::State &from)
{
    Configuration configuration{from.version(),
                                classesFromWire(from),
                                teamsFromWire(from),
                                {from.document().version(), from.document().text()},
                                {},
                                {}};
    for (const auto &it : from.holders())
        configuration.holders.push_back(holderFromWire(it));
    for (const auto &it : from.partitions())
        configuration.partitions.push_back(partitionFromWire(it));
    for (const auto &it : from.evacuations())
        configuration.evacuations.push_back({it.domain(), it.since()});
    std::vector<ChangeAnswer> answers;
    for (const auto &it : from.answers()) {
        if (it.outcome() >= changeOutcomeNames.size())
            return std::nullopt;
        answers.push_back({it.id(), static_cast<ChangeOutcome>(it.outcome()), it.version(), it.winner_id(),
                           it.winner_author(), it.detail(), it.content_hash()});
    }
    std::vector<ChangeHistoryEntry> history;
    for (const auto &it : from.history()) {
        if (it.kind() >= changeKindNames.size())
            return std::nullopt;
        history.push_back({it.version(), it.id(), it.author(), timePointOf(it.accepted_at_us()),
                           static_cast<ChangeKind>(it.kind()), it.subject()});
    }
    return ConfigurationState::restore(configuration, from.initialised(), answers, history,
                                       from.last_fence());
}

} // namespace

std::vector<Voter> votersFromWire(const wire::IdentityRecord &from)
{
    return votersOf(from);
}

void toWire(const ConfigurationChange &from, wire::Change *to)
{
    to->set_id(from.id);
    to->set_author(from.author);
    to->set_based_on(from.basedOn);
    to->set_kind(static_cast<std::uint32_t>(from.kind));
    declarationsToWire(from.classes, from.teams, to);
    to->set_proposed_at_us(microsecondsOf(from.proposedAt));
    if (from.kind == ChangeKind::ReplaceDocument)
        documentToWire(from.document, to->mutable_document());
    if (from.kind == ChangeKind::SetHolder)
        holderToWire(from.holder, to->mutable_holder());
    if (from.kind == ChangeKind::SetPartition)
        partitionToWire(from.partition, to->mutable_partition());
    if (isDomainChange(from.kind))
        to->set_domain(from.domain);
}

void toWire(const LogEntry &from, wire::LogEntry *to)
{
    to->set_index(from.index);
    to->set_term(from.term);
    to->set_kind(static_cast<std::uint32_t>(from.kind));
    if (from.kind == LogEntryKind::Change || from.kind == LogEntryKind::Initial)
        toWire(from.change, to->mutable_change());
    votersToWire(from.voters, to);
}

void toWire(const ConfigurationSnapshot &from, wire::Snapshot *to)
{
    to->set_index(from.index);
    to->set_term(from.term);
    votersToWire(from.voters, to);
    stateToWire(from.state, to->mutable_state());
}

std::optional<ConfigurationChange> fromWire(const wire::Change &from)
{
    if (from.kind() >= changeKindNames.size())
        return std::nullopt;
    return ConfigurationChange{from.id(),
                               from.author(),
                               from.based_on(),
                               static_cast<ChangeKind>(from.kind()),
                               classesFromWire(from),
                               teamsFromWire(from),
                               timePointOf(from.proposed_at_us()),
                               {from.document().version(), from.document().text()},
                               holderFromWire(from.holder()),
                               from.domain(),
                               partitionFromWire(from.partition())};
}

std::optional<LogEntry> fromWire(const wire::LogEntry &from)
{
    const auto change = fromWire(from.change());
    if (from.kind() >= logEntryKindCount || !change)
        return std::nullopt;
    return LogEntry{from.index(), from.term(), static_cast<LogEntryKind>(from.kind()), *change,
                    votersOf(from)};
}

std::optional<ConfigurationSnapshot> fromWire(const wire::Snapshot &from)
{
    auto state = stateFromWire(from.state());
    if (!state)
        return std::nullopt;
    return ConfigurationSnapshot{from.index(), from.term(), votersOf(from), std::move(*state)};
}

} // namespace Citronpitch
