#pragma once

#include "log/event.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// Named value of an event.
struct EventField
{
    std::string name;
    std::string value;
};

/// Configures logging to standard error. May be called again to apply changed settings.
void configureEventLog(const LogSettings &settings);

/// Whether events of severity @p level are logged. To be checked before the fields of a debug event are
/// built.
bool isLogLevelEnabled(EventSeverity level);

/// Logs @p event with @p fields as one line, unless its severity or the rate limit suppresses it.
void logEvent(Event event, const std::vector<EventField> &fields);

/// Logs the counts of suppressed events for all windows that have ended. To be called periodically.
void logSuppressedCounts();

/// Logs the counts of suppressed events including open windows. To be called before the process exits.
void logAllSuppressedCounts();

/// Formats an event as text: number, text and fields. Empty values and values with
/// whitespace, quotes or "=" are quoted.
std::string formatEventText(const EventDefinition &entry, const std::vector<EventField> &fields);

/// Formats an event as a JSON object on one line.
std::string formatEventJson(TimePoint now, const EventDefinition &entry,
                            const std::vector<EventField> &fields);

/// Returns the content of docs/EVENTS.md, generated from the event catalogue.
std::string eventReferenceMarkdown();

} // namespace Citronpitch
