#pragma once

#include "log/event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Citronpitch {

/// Named value of an event.
struct EventField
{
    std::string name;
    std::string value;
};

/**
 * @brief While it exists, events are logged through a LogWriter, so that logEvent() never waits for the
 * reader of the log. Without it they are written to standard output by the caller.
 *
 * At most one may exist. Used by programs that serve.
 */
class EventLogThread
{
public:
    /// Logs to @p descriptor; see LogWriter.
    explicit EventLogThread(int descriptor);
    /// Logs the number of lost lines, and waits for at most 1 s until all lines are written.
    ~EventLogThread();
    EventLogThread(const EventLogThread &) = delete;
    EventLogThread &operator=(const EventLogThread &) = delete;
};

/// Configures the log. May be called again to apply changed settings.
void configureEventLog(const LogSettings &settings);

/// Whether events of severity @p level are logged. To be checked before the fields of a debug event are
/// built.
bool isLogLevelEnabled(EventSeverity level);

/// Logs @p event with @p fields as one line, unless its severity or the rate limit suppresses it.
void logEvent(Event event, const std::vector<EventField> &fields);

/// Logs the counts of suppressed events for all windows that have ended, and of lines that were lost while
/// the reader of the log didn't read. To be called periodically.
void logSuppressedCounts();

/// Logs the counts of suppressed events including open windows. To be called before the process exits.
void logAllSuppressedCounts();

/// Number of lines that were lost since the program started, as the reader of the log didn't read.
std::uint64_t lostLogLines();

/// Formats an event as text: number, text and fields. Empty values and values with
/// whitespace, quotes or "=" are quoted.
std::string formatEventText(const EventDefinition &entry, const std::vector<EventField> &fields);

/// Formats an event as a JSON object on one line.
std::string formatEventJson(TimePoint now, const EventDefinition &entry,
                            const std::vector<EventField> &fields);

/// Returns the content of docs/EVENTS.md, generated from the event catalogue.
std::string eventReferenceMarkdown();

} // namespace Citronpitch
