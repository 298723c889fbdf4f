#include "settings/jsonlineindex.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace Citronpitch {

namespace {

using Json = nlohmann::json;

/// Counts the lines of the characters that the parser has read.
struct LineCounter
{
    /// Line of the last character read.
    int line = 1;
    bool hasLineEnded = false;

    void advance(char c)
    {
        if (hasLineEnded)
            ++line;
        hasLineEnded = c == '\n';
    }
};

/// Input iterator over characters that updates a LineCounter.
class LineIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    LineIterator(const char *position, LineCounter *lineCounter)
        : m_position(position)
        , m_lineCounter(lineCounter)
    {
    }

    reference operator*() const
    {
        return *m_position;
    }

    LineIterator &operator++()
    {
        m_lineCounter->advance(*m_position);
        ++m_position;
        return *this;
    }

    LineIterator operator++(int)
    {
        auto before = *this;
        ++*this;
        return before;
    }

    bool operator==(const LineIterator &other) const
    {
        return m_position == other.m_position;
    }

private:
    const char *m_position;
    LineCounter *m_lineCounter;
};

/// SAX handler that tracks the current path and records the line of each key and list entry.
class PathTracker : public nlohmann::json_sax<Json>
{
public:
    PathTracker(const LineCounter &lineCounter, std::map<std::string, int, std::less<>> &lines,
                std::vector<DuplicateKey> &duplicateKeys)
        : m_lineCounter(lineCounter)
        , m_lines(lines)
        , m_duplicateKeys(duplicateKeys)
    {
    }

    bool null() override
    {
        return scalar();
    }

    bool boolean(bool) override
    {
        return scalar();
    }

    bool number_integer(number_integer_t) override
    {
        return scalar();
    }

    bool number_unsigned(number_unsigned_t) override
    {
        return scalar();
    }

    bool number_float(number_float_t, const string_t &) override
    {
        return scalar();
    }

    bool string(string_t &) override
    {
        return scalar();
    }

    bool binary(binary_t &) override
    {
        return scalar();
    }

    bool start_object(std::size_t) override
    {
        m_levels.push_back({nextPath(), false, 0, {}});
        return true;
    }

    bool key(string_t &name) override
    {
        auto &level = m_levels.back();
        level.key = level.path.empty() ? name : level.path + "." + name;
        if (!m_lines.emplace(level.key, m_lineCounter.line).second)
            m_duplicateKeys.push_back({level.key, m_lineCounter.line});
        return true;
    }

    bool end_object() override
    {
        m_levels.pop_back();
        return true;
    }

    bool start_array(std::size_t) override
    {
        m_levels.push_back({nextPath(), true, 0, {}});
        return true;
    }

    bool end_array() override
    {
        m_levels.pop_back();
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

private:
    struct Level
    {
        std::string path;
        bool isList = false;
        std::size_t entries = 0;
        /// Path of the key whose value is parsed next.
        std::string key;
    };

    bool scalar()
    {
        nextPath();
        return true;
    }

    std::string nextPath()
    {
        if (m_levels.empty())
            return {};
        auto &level = m_levels.back();
        if (!level.isList)
            return level.key;
        auto path = level.path + "[" + std::to_string(level.entries++) + "]";
        m_lines.emplace(path, m_lineCounter.line);
        return path;
    }

    const LineCounter &m_lineCounter;
    std::map<std::string, int, std::less<>> &m_lines;
    std::vector<DuplicateKey> &m_duplicateKeys;
    std::vector<Level> m_levels;
};

} // namespace

JsonLineIndex::JsonLineIndex(std::string_view text)
{
    LineCounter lineCounter;
    PathTracker recorder(lineCounter, m_lines, m_duplicateKeys);
    const LineIterator first(text.data(), &lineCounter);
    const LineIterator last(text.data() + text.size(), &lineCounter);
    Json::sax_parse(first, last, &recorder, Json::input_format_t::json, true, true);
}

int JsonLineIndex::lineOf(std::string_view path) const
{
    while (!path.empty()) {
        const auto it = m_lines.find(path);
        if (it != m_lines.end())
            return it->second;
        const auto end = path.find_last_of(".[");
        path = path.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return 1;
}

const std::vector<DuplicateKey> &JsonLineIndex::duplicateKeys() const
{
    return m_duplicateKeys;
}

} // namespace Citronpitch
