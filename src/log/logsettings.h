#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>

namespace Citronpitch {

/// How severe an event is.
enum class EventSeverity { Info, Warning, Error };

inline constexpr std::array eventSeverityNames{
    EnumName<EventSeverity>{EventSeverity::Info, "info"},
    EnumName<EventSeverity>{EventSeverity::Warning, "warning"},
    EnumName<EventSeverity>{EventSeverity::Error, "error"},
};

/// Form of a line of the log.
enum class LogFormat { Text, JsonLines };

inline constexpr std::array logFormatNames{
    EnumName<LogFormat>{LogFormat::Text, "text"},
    EnumName<LogFormat>{LogFormat::JsonLines, "json-lines"},
};

/// What is logged, and how.
struct LogSettings
{
    LogFormat format = LogFormat::Text;
    /// Events below this level are not logged.
    EventSeverity level = EventSeverity::Info;
    /// Lines of one event within @ref repeatWindow; more are counted instead.
    std::uint32_t repeatLimit = 10;
    Duration repeatWindow = std::chrono::seconds(10);
};

} // namespace Citronpitch
