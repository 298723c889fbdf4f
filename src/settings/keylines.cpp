#include "settings/keylines.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace Citronpitch {

namespace {

using Json = nlohmann::json;

/// How far a text was read.
struct ReadProgress
{
    /// Line of the last character that was read.
    int line = 1;
    bool hasLineEnded = false;

    void read(char c)
    {
        if (hasLineEnded)
            ++line;
        hasLineEnded = c == '\n';
    }
};

/// Iterates over characters and notes the lines that were passed.
class LineIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    LineIterator(const char *position, ReadProgress *progress)
        : m_position(position)
        , m_progress(progress)
    {
    }

    reference operator*() const
    {
        return *m_position;
    }

    LineIterator &operator++()
    {
        m_progress->read(*m_position);
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
    ReadProgress *m_progress;
};

/// Takes the parser's events and keeps the path at which it is.
class PathRecorder : public nlohmann::json_sax<Json>
{
public:
    PathRecorder(const ReadProgress &progress, std::map<std::string, int, std::less<>> &lines,
                 std::vector<RepeatedKey> &repeatedKeys)
        : m_progress(progress)
        , m_lines(lines)
        , m_repeatedKeys(repeatedKeys)
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
        if (!m_lines.emplace(level.key, m_progress.line).second)
            m_repeatedKeys.push_back({level.key, m_progress.line});
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
        /// Path of the key whose value comes next.
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
        m_lines.emplace(path, m_progress.line);
        return path;
    }

    const ReadProgress &m_progress;
    std::map<std::string, int, std::less<>> &m_lines;
    std::vector<RepeatedKey> &m_repeatedKeys;
    std::vector<Level> m_levels;
};

} // namespace

KeyLines::KeyLines(std::string_view text)
{
    ReadProgress progress;
    PathRecorder recorder(progress, m_lines, m_repeatedKeys);
    const LineIterator first(text.data(), &progress);
    const LineIterator last(text.data() + text.size(), &progress);
    Json::sax_parse(first, last, &recorder, Json::input_format_t::json, true, true);
}

int KeyLines::lineOf(std::string_view path) const
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

const std::vector<RepeatedKey> &KeyLines::repeatedKeys() const
{
    return m_repeatedKeys;
}

} // namespace Citronpitch
