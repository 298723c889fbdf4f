#include "citronpitch/upstreamgroup.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace Citronpitch {

namespace {

std::optional<std::uint32_t> numberOf(std::string_view text)
{
    std::uint32_t n = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return n;
}

/// Parts of the name of a group of a partition.
struct PartitionGroup
{
    std::uint32_t groups = 0;
    std::uint32_t index = 0;
};

std::uint32_t groupIndexOf(std::string_view upstream, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(XXH3_64bits(upstream.data(), upstream.size()) % groups);
}

/// Parses the name of a group of a partition of @p domain.
std::optional<PartitionGroup> parseGroup(std::string_view group, std::string_view domain)
{
    if (!group.starts_with(domain) || !group.substr(domain.size()).starts_with('/'))
        return std::nullopt;
    const auto rest = group.substr(domain.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto groups = numberOf(rest.substr(0, slash));
    const auto index = numberOf(rest.substr(slash + 1));
    if (!groups || !index || *index >= *groups)
        return std::nullopt;
    return PartitionGroup{*groups, *index};
}

} // namespace

std::uint32_t partitionGroups(const std::vector<DomainPartition> &partitions, std::string_view domain)
{
    const auto it = std::find_if(partitions.begin(), partitions.end(),
                                 [&](const auto &known) { return known.domain == domain; });
    return it == partitions.end() ? 0 : it->groups;
}

std::string partitionGroupName(std::string_view domain, std::uint32_t groups, std::uint32_t index)
{
    return std::string(domain) + "/" + std::to_string(groups) + "/" + std::to_string(index);
}

std::vector<std::string> groupsOfDomain(const std::vector<DomainPartition> &partitions,
                                        const std::string &domain)
{
    const auto groups = partitionGroups(partitions, domain);
    if (groups == 0)
        return {domain};
    std::vector<std::string> names;
    for (std::uint32_t i = 0; i < groups; ++i)
        names.push_back(partitionGroupName(domain, groups, i));
    return names;
}

std::string groupOfUpstream(const std::vector<DomainPartition> &partitions, const std::string &domain,
                            std::string_view upstream)
{
    const auto groups = partitionGroups(partitions, domain);
    if (groups == 0)
        return domain;
    return partitionGroupName(domain, groups, groupIndexOf(upstream, groups));
}

bool isUpstreamOfGroup(std::string_view group, std::string_view domain, std::string_view upstream)
{
    if (group == domain)
        return true;
    const auto parsed = parseGroup(group, domain);
    return parsed && groupIndexOf(upstream, parsed->groups) == parsed->index;
}

bool isGroupOfDomain(std::string_view group, std::string_view domain)
{
    return group == domain || parseGroup(group, domain);
}

bool isCurrentGroup(std::string_view group, const std::vector<DomainPartition> &partitions)
{
    return std::all_of(partitions.begin(), partitions.end(), [&](const auto &it) {
        if (group == it.domain)
            return it.groups == 0;
        const auto parsed = parseGroup(group, it.domain);
        return !parsed || parsed->groups == it.groups;
    });
}

std::uint64_t rendezvousHash(std::string_view group, std::string_view vm)
{
    return XXH3_64bits_withSeed(group.data(), group.size(), XXH3_64bits(vm.data(), vm.size()));
}

} // namespace Citronpitch
