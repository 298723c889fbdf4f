#include "citronpitch/configurationlog.h"

namespace Citronpitch {

ConfigurationLog::ConfigurationLog(const std::vector<Voter> &initialVoters)
    : m_snapshotVoters(initialVoters)
{
}

std::uint64_t ConfigurationLog::lastIndex() const
{
    return m_snapshotIndex + m_entries.size();
}

std::uint64_t ConfigurationLog::lastTerm() const
{
    return m_entries.empty() ? m_snapshotTerm : m_entries.back().term;
}

std::uint64_t ConfigurationLog::snapshotIndex() const
{
    return m_snapshotIndex;
}

std::uint64_t ConfigurationLog::snapshotTerm() const
{
    return m_snapshotTerm;
}

std::optional<std::uint64_t> ConfigurationLog::termAt(std::uint64_t index) const
{
    if (index == m_snapshotIndex)
        return m_snapshotTerm;
    if (index < m_snapshotIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry &ConfigurationLog::at(std::uint64_t index) const
{
    return m_entries[index - m_snapshotIndex - 1];
}

void ConfigurationLog::append(const LogEntry &entry)
{
    m_entries.push_back(entry);
    if (entry.kind == LogEntryKind::Voters)
        m_votersEntryIndexes.push_back(entry.index);
}

void ConfigurationLog::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index && !m_entries.empty())
        m_entries.pop_back();
    while (!m_votersEntryIndexes.empty() && m_votersEntryIndexes.back() >= index)
        m_votersEntryIndexes.pop_back();
}

void ConfigurationLog::compactTo(std::uint64_t index)
{
    if (index <= m_snapshotIndex)
        return;
    m_snapshotVoters = votersAt(index);
    m_snapshotTerm = *termAt(index);
    m_entries.erase(m_entries.begin(),
                    m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_snapshotIndex));
    m_snapshotIndex = index;
    std::erase_if(m_votersEntryIndexes, [&](std::uint64_t it) { return it <= index; });
}

void ConfigurationLog::reset(std::uint64_t index, std::uint64_t term, const std::vector<Voter> &voters)
{
    m_snapshotIndex = index;
    m_snapshotTerm = term;
    m_snapshotVoters = voters;
    m_entries.clear();
    m_votersEntryIndexes.clear();
}

const std::vector<Voter> &ConfigurationLog::voters() const
{
    return votersAt(lastIndex());
}

const std::vector<Voter> &ConfigurationLog::votersAt(std::uint64_t index) const
{
    for (auto it = m_votersEntryIndexes.rbegin(); it != m_votersEntryIndexes.rend(); ++it) {
        if (*it <= index)
            return at(*it).voters;
    }
    return m_snapshotVoters;
}

std::uint64_t ConfigurationLog::votersEntryIndex() const
{
    return m_votersEntryIndexes.empty() ? 0 : m_votersEntryIndexes.back();
}

} // namespace Citronpitch
