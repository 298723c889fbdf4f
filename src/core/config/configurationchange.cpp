#include "citronpitch/configurationchange.h"

#include <xxhash.h>

namespace Citronpitch {

namespace {

/// Encodes fields with their lengths, so that different sequences of fields give different texts.
class FieldText
{
public:
    void add(std::string_view field)
    {
        m_text.append(std::to_string(field.size())).append(":").append(field);
    }

    void add(std::uint64_t field)
    {
        add(std::to_string(field));
    }

    std::uint64_t hash() const
    {
        return XXH3_64bits(m_text.data(), m_text.size());
    }

private:
    std::string m_text;
};

} // namespace

std::uint64_t contentHashOf(const ConfigurationChange &change)
{
    FieldText text;
    text.add(change.author);
    text.add(change.basedOn);
    text.add(static_cast<std::uint64_t>(change.kind));
    for (const auto &it : change.classes) {
        text.add(it.name);
        text.add(it.targetShare);
        text.add(static_cast<std::uint64_t>(it.targetTime.count()));
        text.add(it.retired ? "retired" : "");
    }
    text.add("teams");
    for (const auto &it : change.teams) {
        text.add(it.name);
        text.add(it.quotaTasks);
    }
    if (change.kind == ChangeKind::ReplaceDocument) {
        text.add(change.document.version);
        text.add(change.document.text);
    }
    if (isDomainChange(change.kind))
        text.add(change.domain);
    return text.hash();
}

bool isDomainChange(ChangeKind kind)
{
    return kind == ChangeKind::EvacuateDomain || kind == ChangeKind::RestoreDomain;
}

} // namespace Citronpitch
