#pragma once

#include "log/event.h"

#include <string>
#include <vector>

namespace Citronpitch {

/// One named value of an event.
struct EventField
{
    std::string name;
    std::string value;
};

/// Sets up logging to standard error, and again after a change of @p settings.
void configureEventLog(const LogSettings &settings);

/// Logs @p event with @p fields as one line, unless it repeats too often.
void logEvent(Event event, const std::vector<EventField> &fields);

/// Logs how many repeats were left out in the windows that have ended; called now and then.
void logSuppressedCounts();

/// Logs how many repeats were left out so far; called before the process ends.
void logAllSuppressedCounts();

/// One line of the log as text: number, text and fields. Values with spaces are quoted.
std::string formatEventText(const EventDefinition &entry, const std::vector<EventField> &fields);

/// One line of the log as a JSON object.
std::string formatEventJson(TimePoint now, const EventDefinition &entry,
                            const std::vector<EventField> &fields);

/// The text of docs/EVENTS.md, made of the catalogue.
std::string eventReferenceMarkdown();

} // namespace Citronpitch
