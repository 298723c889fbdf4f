#pragma once

#include "citronpitch/nametable.h"
#include "citronpitch/timepoint.h"

#include <cstdint>

namespace Citronpitch {

/// How severe an event is.
enum class EventLevel { Info, Warning, Error };

inline constexpr std::array eventLevelNames{
    EnumName<EventLevel>{EventLevel::Info, "info"},
    EnumName<EventLevel>{EventLevel::Warning, "warning"},
    EnumName<EventLevel>{EventLevel::Error, "error"},
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
    EventLevel level = EventLevel::Info;
    /// Lines of one event within @ref repeatWindow; more are counted instead.
    std::uint32_t repeatLimit = 10;
    Duration repeatWindow = std::chrono::seconds(10);
};

} // namespace Citronpitch
