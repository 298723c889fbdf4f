#include "log/eventlog.h"

#include <easylogging++.h>

#include <array>

INITIALIZE_EASYLOGGINGPP

namespace Citronpitch {

namespace {

/// Level and text of one event.
struct EventEntry
{
    Event event;
    EventLevel level;
    std::string_view text;
};

constexpr std::array eventEntries{
    EventEntry{Event::Started, EventLevel::Info, "started"},
    EventEntry{Event::Stopped, EventLevel::Info, "stopped"},
    EventEntry{Event::DrainStarted, EventLevel::Info, "shutting down gracefully"},
    EventEntry{Event::DrainTimedOut, EventLevel::Warning, "the graceful shutdown ran out of time"},
    EventEntry{Event::StartFailed, EventLevel::Error, "can't start"},
    EventEntry{Event::UpstreamAnnounced, EventLevel::Info, "upstream announced itself"},
    EventEntry{Event::UpstreamLeaving, EventLevel::Info, "upstream is leaving"},
    EventEntry{Event::PeerMessageMalformed, EventLevel::Warning,
               "message of a peer is malformed and was dropped"},
    EventEntry{Event::ClaimsRecovered, EventLevel::Info, "claims of earlier lives taken over"},
    EventEntry{Event::ClaimStorageFailed, EventLevel::Error,
               "the journal of claims can't be written; new keys are refused"},
};

const EventEntry &entryOf(Event event)
{
    for (const auto &it : eventEntries) {
        if (it.event == event)
            return it;
    }
    return eventEntries.front();
}

} // namespace

void setUpEventLog()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logEvent(Event event, const std::vector<EventField> &fields)
{
    const auto &entry = entryOf(event);
    std::string line = "E" + std::to_string(static_cast<unsigned>(event)) + " " + std::string(entry.text);
    for (const auto &it : fields)
        line += " " + it.name + "=" + it.value;
    switch (entry.level) {
    case EventLevel::Info:
        LOG(INFO) << line;
        break;
    case EventLevel::Warning:
        LOG(WARNING) << line;
        break;
    case EventLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace Citronpitch
