#pragma once

#include "settings/settings.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace Citronpitch {

/// What connections send, which read nothing, until the other side closes them.
struct EndlessInput
{
    /// Name for the output of tests.
    std::string name;
    /// Sent once, before the rest. "{id}" stands for 16 digits that differ between the connections.
    std::string beginning;
    /// Sent again and again. If it is empty, the connections stay open until the time has passed.
    std::string rest;
    /// Limits of each connection.
    std::size_t maximumBytes = std::size_t{64} << 20;
    std::chrono::milliseconds maximumTime = std::chrono::seconds(8);
};

/// Sends @p input on @p connections connections to @p endpoint at the same time. Returns when all have ended.
void sendEndlessly(const Endpoint &endpoint, const EndlessInput &input, std::size_t connections);

/// Messages that never end, each in another part of it: trailers, one trailer, a chunk's extension, the
/// header, the body, and requests that are sent without an end.
std::vector<EndlessInput> endlessRequests();

} // namespace Citronpitch
