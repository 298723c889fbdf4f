#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>

namespace Citronpitch {

/// Severity of an event, in ascending order.
enum class EventSeverity { Debug, Info, Warning, Error };

inline constexpr std::array eventSeverityNames{
    EnumName<EventSeverity>{EventSeverity::Debug, "debug"},
    EnumName<EventSeverity>{EventSeverity::Info, "info"},
    EnumName<EventSeverity>{EventSeverity::Warning, "warning"},
    EnumName<EventSeverity>{EventSeverity::Error, "error"},
};

/// Format of a log line.
enum class LogFormat { Text, JsonLines };

inline constexpr std::array logFormatNames{
    EnumName<LogFormat>{LogFormat::Text, "text"},
    EnumName<LogFormat>{LogFormat::JsonLines, "json-lines"},
};

/// Format, minimum severity and rate limit of the log.
struct LogSettings
{
    LogFormat format = LogFormat::Text;
    /// Minimum severity; less severe events are not logged.
    EventSeverity level = EventSeverity::Info;
    /// Maximum number of lines per event within @ref repeatWindow; further ones are only counted.
    std::uint32_t repeatLimit = 10;
    Duration repeatWindow = std::chrono::seconds(10);
};

} // namespace Citronpitch
