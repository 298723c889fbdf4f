#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace Citronpitch {

/// Immutable text; copies share one buffer.
class SharedText
{
public:
    SharedText() = default;
    SharedText(std::string text)
        : m_text(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }
    SharedText(const char *text)
        : SharedText(std::string(text))
    {
    }

    const std::string &text() const
    {
        static const std::string empty;
        return m_text ? *m_text : empty;
    }

    operator const std::string &() const
    {
        return text();
    }

    std::size_t size() const
    {
        return text().size();
    }

    bool operator==(const SharedText &other) const
    {
        return m_text == other.m_text || text() == other.text();
    }

private:
    std::shared_ptr<const std::string> m_text;
};

} // namespace Citronpitch
