#include "support/powerloss.h"

#include <algorithm>
#include <utility>

namespace Citronpitch {

void writeAt(std::string &content, std::uint64_t offset, std::string_view bytes)
{
    if (bytes.empty())
        return;
    content.resize(std::max<std::size_t>(content.size(), offset + bytes.size()));
    content.replace(offset, bytes.size(), bytes);
}

std::string contentAfter(PowerLoss loss, std::string synced, const std::vector<DiskWrite> &writes,
                         std::mt19937_64 &random)
{
    auto content = std::move(synced);
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const auto &[offset, bytes] = writes[i];
        const auto cut = random() % (bytes.size() + 1);
        const auto fate = loss == PowerLoss::Random ? random() % 4 : 0;
        const bool isFirst = i == 0;
        const bool losesAll = loss == PowerLoss::KeepsNothing || (isFirst && loss == PowerLoss::LosesFirst);
        if (losesAll || fate == 1)
            continue;
        if ((isFirst && loss == PowerLoss::TearsEndOfFirst) || fate == 2)
            writeAt(content, offset, std::string_view(bytes).substr(0, cut));
        else if ((isFirst && loss == PowerLoss::TearsStartOfFirst) || fate == 3)
            writeAt(content, offset + cut, std::string_view(bytes).substr(cut));
        else
            writeAt(content, offset, bytes);
    }
    return content;
}

bool losesRename(PowerLoss loss, std::mt19937_64 &random)
{
    return loss == PowerLoss::KeepsNothing || (loss == PowerLoss::Random && random() % 2 != 0);
}

} // namespace Citronpitch
