#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace Citronpitch {

/**
 * @brief Sums up what the incomplete messages of many connections hold in memory, and finds the largest.
 *
 * Used by HttpServer and HttpClient, which give up the largest message when all of them hold too much: small
 * ones are read then, however many connections hold large ones. @p Connection must outlive its entry.
 */
template <typename Connection> class HeldBytes
{
public:
    /// Sets what @p connection holds; zero removes it.
    void set(Connection *connection, std::uint64_t bytes)
    {
        const auto it = m_bytes.find(connection);
        if (it != m_bytes.end()) {
            if (it->second == bytes)
                return;
            m_total -= it->second;
            m_bySize.erase({it->second, connection});
            m_bytes.erase(it);
        }
        if (bytes == 0)
            return;
        m_total += bytes;
        m_bytes.emplace(connection, bytes);
        m_bySize.emplace(bytes, connection);
    }

    std::uint64_t total() const
    {
        return m_total;
    }

    /// Connection that holds most; null if none holds anything.
    Connection *largest() const
    {
        return m_bySize.empty() ? nullptr : m_bySize.rbegin()->second;
    }

private:
    std::uint64_t m_total = 0;
    std::map<Connection *, std::uint64_t> m_bytes;
    std::set<std::pair<std::uint64_t, Connection *>> m_bySize;
};

} // namespace Citronpitch
