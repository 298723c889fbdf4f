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
    m_commit = std::min(m_commit, m_log.lastIndex());
    for (auto it = m_log.snapshotIndex() + 1; it <= m_commit; ++it)
        apply(m_log.at(it));
    m_syncedIndex = m_log.lastIndex();
    if (m_state.isInitialised() && !m_options.faults.forgetsCommit)
        m_shown = m_state.configuration();
    if (m_options.faults.forgetsVote)
        m_vote.clear();
    if (m_storage != 0)
        return;
    m_storage = m_options.freshStorage;
    if (isMembershipOpen()) {
        const auto &founders = m_options.founders;
        m_isDecided = true;
        m_isFounder = std::find(founders.begin(), founders.end(), m_options.self) != founders.end();
        keepIdentity();
        m_termToken = m_nextToken;
        return;
    }
    const bool isAlone =
        std::none_of(m_options.members.begin(), m_options.members.end(),
                     [&](const auto &it) { return it.isVoter && it.name != m_options.self; });
    const bool isNamed = isNamedVoter(m_options.self);
    m_isDecided = !isNamed || isAlone || m_options.faults.ignoresStorage;
    m_isFounder = isNamed && m_isDecided;
    keepIdentity();
    m_termToken = m_nextToken;
}

void ConfigurationNode::recover(const Record &record)
{
    switch (record.body_case()) {
    case Record::kIdentity:
        m_storage = record.identity().storage();
        m_isDecided = record.identity().decided();
        m_isFounder = record.identity().founder();
        if (record.identity().voters_size() > 0)
            m_log.reset(0, 0, votersFromWire(record.identity()));
        break;
    case Record::kKnownStorage:
        m_knownStorages[record.known_storage().name()] = record.known_storage().storage();
        break;
    case Record::kTerm:
        m_term = record.term().term();
        m_vote = record.term().vote();
        break;
    case Record::kEntry:
        if (const auto entry = fromWire(record.entry()))
            recoverEntry(*entry);
        break;
    case Record::kCommit:
        m_commit = std::max(m_commit, record.commit().index());
        m_freshAt = timePointOf(record.commit().heard_at_us());
        break;
    case Record::kSnapshot:
        if (auto snapshot = fromWire(record.snapshot())) {
            m_log.reset(snapshot->index, snapshot->term, snapshot->voters);
            m_state = std::move(snapshot->state);
            m_commit = snapshot->index;
            m_journalSnapshot = snapshot->index;
        }
        break;
    default:
        break;
    }
}

void ConfigurationNode::recoverEntry(const LogEntry &entry)
{
    if (entry.index <= m_log.snapshotIndex() || entry.index > m_log.lastIndex() + 1)
        return;
    m_log.truncateFrom(entry.index);
    m_log.append(entry);
}

void ConfigurationNode::keep(const Record &record)
{
    m_unwritten.push_back(record.SerializeAsString());
}

void ConfigurationNode::keepTerm()
{
    Record record;
    record.mutable_term()->set_term(m_term);
    record.mutable_term()->set_vote(m_vote);
    keep(record);
    m_termToken = m_nextToken;
}

void ConfigurationNode::keepIdentity()
{
    Record record;
    record.mutable_identity()->set_storage(m_storage);
    record.mutable_identity()->set_decided(m_isDecided);
    record.mutable_identity()->set_founder(m_isFounder);
    for (const auto &it : isMembershipOpen() ? m_log.votersAt(m_log.snapshotIndex()) : std::vector<Voter>()) {
        auto *voter = record.mutable_identity()->add_voters();
        voter->set_name(it.name);
        voter->set_storage(it.storage);
    }
    keep(record);
}

std::uint64_t ConfigurationNode::recordsToken() const
{
    return m_unwritten.empty() ? m_nextToken - 1 : m_nextToken;
}

void ConfigurationNode::flushRecords()
{
    if (m_unwritten.empty())
        return;
    const auto token = m_nextToken++;
    m_openSyncs.push_back({token, m_log.lastIndex()});
    if (m_options.faults.skipsSync)
        m_syncedIndex = m_log.lastIndex();
    m_actions.emplace_back(AppendRecords{std::exchange(m_unwritten, {}), token});
}

void ConfigurationNode::installSnapshotState(const wire::InstallSnapshot &message)
{
    auto snapshot = fromWire(message.snapshot());
    if (!snapshot)
        return;
    m_log.reset(snapshot->index, snapshot->term, snapshot->voters);
    m_state = std::move(snapshot->state);
    m_commit = snapshot->index;
    m_syncedIndex = 0;
    for (auto &it : m_openSyncs)
        it.lastIndex = 0;
    m_heldShows.push_back({m_nextToken, m_state.configuration()});
    replaceJournal();
}

void ConfigurationNode::compactLog()
{
    if (m_commit - m_journalSnapshot < m_options.keptEntries)
        return;
    if (m_commit > m_options.keptEntries)
        m_log.compactTo(m_commit - m_options.keptEntries);
    replaceJournal();
}

void ConfigurationNode::replaceJournal()
{
    m_journalSnapshot = m_commit;
    m_unwritten.clear();
    const auto token = m_nextToken++;
    m_openSyncs.push_back({token, m_log.lastIndex()});
    m_actions.emplace_back(ReplaceRecords{wholeJournal(), token});
}

std::vector<std::string> ConfigurationNode::wholeJournal() const
{
    std::vector<std::string> records;
    const auto add = [&](const Record &record) { records.push_back(record.SerializeAsString()); };
    Record identity;
    identity.mutable_identity()->set_storage(m_storage);
    identity.mutable_identity()->set_decided(m_isDecided);
    identity.mutable_identity()->set_founder(m_isFounder);
    add(identity);
    for (const auto &[name, storage] : m_knownStorages) {
        Record known;
        known.mutable_known_storage()->set_name(name);
        known.mutable_known_storage()->set_storage(storage);
        add(known);
    }
    Record term;
    term.mutable_term()->set_term(m_term);
    term.mutable_term()->set_vote(m_vote);
    add(term);
    Record snapshot;
    toWire(ConfigurationSnapshot{m_commit, *m_log.termAt(m_commit), m_log.votersAt(m_commit), m_state},
           snapshot.mutable_snapshot());
    add(snapshot);
    for (auto it = m_commit + 1; it <= m_log.lastIndex(); ++it) {
        Record entry;
        toWire(m_log.at(it), entry.mutable_entry());
        add(entry);
    }
    if (m_freshAt) {
        Record commit;
        commit.mutable_commit()->set_index(m_commit);
        commit.mutable_commit()->set_heard_at_us(microsecondsOf(*m_freshAt));
        add(commit);
    }
    return records;
}

} // namespace Citronpitch
