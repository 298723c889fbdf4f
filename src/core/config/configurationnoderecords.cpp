#include "citronpitch/configurationnode.h"

#include "core/config/configurationwire.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire::configuration;

void ConfigurationNode::recover(const std::vector<std::string> &records)
{
    for (const auto &it : records) {
        Record record;
        if (record.ParseFromString(it))
            recover(record);
    }
    m_commitIndex = std::min(m_commitIndex, m_log.lastIndex());
    for (auto it = m_log.snapshotIndex() + 1; it <= m_commitIndex; ++it)
        apply(m_log.at(it));
    m_syncedIndex = m_log.lastIndex();
    if (m_state.isInitialized() && !m_options.faults.forgetsCommit)
        m_activeConfiguration = m_state.configuration();
    if (m_options.faults.forgetsVote)
        m_votedFor.clear();
    if (m_storageId != 0)
        return;
    m_storageId = m_options.newStorageId;
    if (hasDynamicMembership()) {
        const auto &initialVoters = m_options.initialVoters;
        m_isIdentityKnown = true;
        m_isInitialVoter =
            std::find(initialVoters.begin(), initialVoters.end(), m_options.self) != initialVoters.end();
        queueIdentityRecord();
        m_termToken = m_nextToken;
        return;
    }
    const bool isOnlyVoter =
        std::none_of(m_options.members.begin(), m_options.members.end(),
                     [&](const auto &it) { return it.isVoter && it.name != m_options.self; });
    const bool isConfigured = isConfiguredVoter(m_options.self);
    m_isIdentityKnown = !isConfigured || isOnlyVoter || m_options.faults.ignoresStorageId;
    m_isInitialVoter = isConfigured && m_isIdentityKnown;
    queueIdentityRecord();
    m_termToken = m_nextToken;
}

void ConfigurationNode::recover(const Record &record)
{
    switch (record.body_case()) {
    case Record::kIdentity:
        m_storageId = record.identity().storage();
        m_isIdentityKnown = record.identity().decided();
        m_isInitialVoter = record.identity().founder();
        if (record.identity().voters_size() > 0)
            m_log.reset(0, 0, votersFromWire(record.identity()));
        break;
    case Record::kKnownStorage:
        m_knownStorageIds[record.known_storage().name()] = record.known_storage().storage();
        break;
    case Record::kTerm:
        m_term = record.term().term();
        m_votedFor = record.term().vote();
        break;
    case Record::kEntry:
        if (const auto entry = fromWire(record.entry()))
            recoverLogEntry(*entry);
        break;
    case Record::kCommit:
        m_commitIndex = std::max(m_commitIndex, record.commit().index());
        m_upToDateAt = timePointOf(record.commit().heard_at_us());
        break;
    case Record::kSnapshot:
        if (auto snapshot = fromWire(record.snapshot())) {
            m_log.reset(snapshot->index, snapshot->term, snapshot->voters);
            m_state = std::move(snapshot->state);
            m_commitIndex = snapshot->index;
            m_journalSnapshotIndex = snapshot->index;
        }
        break;
    default:
        break;
    }
}

void ConfigurationNode::recoverLogEntry(const LogEntry &entry)
{
    if (entry.index <= m_log.snapshotIndex() || entry.index > m_log.lastIndex() + 1)
        return;
    m_log.truncateFrom(entry.index);
    m_log.append(entry);
}

void ConfigurationNode::queueRecord(const Record &record)
{
    m_unwrittenRecords.push_back(record.SerializeAsString());
}

void ConfigurationNode::queueTermRecord()
{
    Record record;
    record.mutable_term()->set_term(m_term);
    record.mutable_term()->set_vote(m_votedFor);
    queueRecord(record);
    m_termToken = m_nextToken;
}

void ConfigurationNode::queueIdentityRecord()
{
    Record record;
    record.mutable_identity()->set_storage(m_storageId);
    record.mutable_identity()->set_decided(m_isIdentityKnown);
    record.mutable_identity()->set_founder(m_isInitialVoter);
    for (const auto &it :
         hasDynamicMembership() ? m_log.votersAt(m_log.snapshotIndex()) : std::vector<Voter>()) {
        auto *voter = record.mutable_identity()->add_voters();
        voter->set_name(it.name);
        voter->set_storage(it.storageId);
    }
    queueRecord(record);
}

std::uint64_t ConfigurationNode::newestRecordToken() const
{
    return m_unwrittenRecords.empty() ? m_nextToken - 1 : m_nextToken;
}

void ConfigurationNode::flushRecords()
{
    if (m_unwrittenRecords.empty())
        return;
    const auto token = m_nextToken++;
    m_pendingSyncs.push_back({token, m_log.lastIndex()});
    if (m_options.faults.skipsSync)
        m_syncedIndex = m_log.lastIndex();
    m_actions.emplace_back(AppendRecords{std::exchange(m_unwrittenRecords, {}), token});
}

void ConfigurationNode::installSnapshotState(const wire::InstallSnapshot &message)
{
    auto snapshot = fromWire(message.snapshot());
    if (!snapshot)
        return;
    m_log.reset(snapshot->index, snapshot->term, snapshot->voters);
    m_state = std::move(snapshot->state);
    m_commitIndex = snapshot->index;
    m_syncedIndex = 0;
    for (auto &it : m_pendingSyncs)
        it.lastIndex = 0;
    activateIfNewest();
    replaceJournal();
}

void ConfigurationNode::compactLog()
{
    if (m_commitIndex - m_journalSnapshotIndex < m_options.retainedEntries)
        return;
    if (m_commitIndex > m_options.retainedEntries)
        m_log.compactTo(m_commitIndex - m_options.retainedEntries);
    replaceJournal();
}

void ConfigurationNode::replaceJournal()
{
    m_journalSnapshotIndex = m_commitIndex;
    m_unwrittenRecords.clear();
    const auto token = m_nextToken++;
    m_pendingSyncs.push_back({token, m_log.lastIndex()});
    m_actions.emplace_back(ReplaceRecords{journalRecords(), token});
}

std::vector<std::string> ConfigurationNode::journalRecords() const
{
    std::vector<std::string> records;
    const auto add = [&](const Record &record) { records.push_back(record.SerializeAsString()); };
    Record identity;
    identity.mutable_identity()->set_storage(m_storageId);
    identity.mutable_identity()->set_decided(m_isIdentityKnown);
    identity.mutable_identity()->set_founder(m_isInitialVoter);
    add(identity);
    for (const auto &[name, storageId] : m_knownStorageIds) {
        Record known;
        known.mutable_known_storage()->set_name(name);
        known.mutable_known_storage()->set_storage(storageId);
        add(known);
    }
    Record term;
    term.mutable_term()->set_term(m_term);
    term.mutable_term()->set_vote(m_votedFor);
    add(term);
    Record snapshot;
    toWire(ConfigurationSnapshot{m_commitIndex, *m_log.termAt(m_commitIndex), m_log.votersAt(m_commitIndex),
                                 m_state},
           snapshot.mutable_snapshot());
    add(snapshot);
    for (auto it = m_commitIndex + 1; it <= m_log.lastIndex(); ++it) {
        Record entry;
        toWire(m_log.at(it), entry.mutable_entry());
        add(entry);
    }
    if (m_upToDateAt) {
        Record commit;
        commit.mutable_commit()->set_index(m_commitIndex);
        commit.mutable_commit()->set_heard_at_us(microsecondsOf(*m_upToDateAt));
        add(commit);
    }
    return records;
}

} // namespace Citronpitch
