#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// How severe an event is.
enum class EventLevel { Info, Warning, Error };

/// Numbers of the logged events; docs/EVENTS.md is their catalogue.
enum class Event : std::uint16_t {
    Started = 100,
    Stopped = 101,
    DrainStarted = 102,
    DrainTimedOut = 103,
    StartFailed = 104,
    UpstreamAnnounced = 200,
    UpstreamLeaving = 201,
    PeerMessageMalformed = 300,
    ClaimsRecovered = 400,
    ClaimStorageFailed = 401,
};

/// One named value of an event.
struct EventField
{
    std::string name;
    std::string value;
};

/// Sets up logging to standard error; must be called before the first event.
void setUpEventLog();

/// Logs @p event with @p fields as one line.
void logEvent(Event event, const std::vector<EventField> &fields);

} // namespace Citronpitch
