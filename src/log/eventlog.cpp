#include "log/eventlog.h"

#include "log/eventratelimiter.h"
#include "log/wallclock.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

/// What the log of this process is set to. The log is the one thing that every part may write to.
struct LogState
{
    LogSettings settings;
    EventRateLimiter limiter{settings.repeatLimit, settings.repeatWindow};
};

LogState &logState()
{
    static LogState state;
    return state;
}

std::string eventNumberText(Event event)
{
    return "E" + std::to_string(static_cast<unsigned>(event));
}

std::string quoted(const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \t\r\n\"=") == std::string::npos;
    return isPlain ? value : Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string timeText(TimePoint now)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
    const std::time_t time = seconds.time_since_epoch().count();
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 40> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string(buf.data(), n) + "." + fraction + "Z";
}

void write(EventSeverity level, const std::string &line)
{
    switch (level) {
    case EventSeverity::Info:
        LOG(INFO) << line;
        break;
    case EventSeverity::Warning:
        LOG(WARNING) << line;
        break;
    case EventSeverity::Error:
        LOG(ERROR) << line;
        break;
    }
}

void writeEvent(const EventDefinition &entry, const std::vector<EventField> &fields)
{
    const auto now = wallClock();
    if (logState().settings.format == LogFormat::JsonLines)
        write(entry.level, formatEventJson(now, entry, fields));
    else
        write(entry.level,
              timeText(now) + " " + std::string(enumName(eventSeverityNames, entry.level)) + " "
                  + formatEventText(entry, fields));
}

void writeSuppressed(const std::vector<SuppressedEvent> &list)
{
    for (const auto &it : list)
        writeEvent(eventDefinition(Event::RepeatsSuppressed),
                   {{"repeated", eventNumberText(it.event)}, {"count", std::to_string(it.count)}});
}

} // namespace

void configureEventLog(const LogSettings &settings)
{
    logAllSuppressedCounts();
    logState() = {settings, EventRateLimiter(settings.repeatLimit, settings.repeatWindow)};
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logEvent(Event event, const std::vector<EventField> &fields)
{
    const auto &entry = eventDefinition(event);
    auto &state = logState();
    if (entry.level < state.settings.level || !state.limiter.admit(wallClock(), event))
        return;
    writeEvent(entry, fields);
}

void logSuppressedCounts()
{
    writeSuppressed(logState().limiter.takeSuppressed(wallClock()));
}

void logAllSuppressedCounts()
{
    writeSuppressed(logState().limiter.takeAllSuppressed());
}

std::string formatEventText(const EventDefinition &entry, const std::vector<EventField> &fields)
{
    std::string line = eventNumberText(entry.event) + " " + std::string(entry.text);
    for (const auto &it : fields)
        line += " " + it.name + "=" + quoted(it.value);
    return line;
}

std::string formatEventJson(TimePoint now, const EventDefinition &entry,
                            const std::vector<EventField> &fields)
{
    nlohmann::ordered_json object{{"time", timeText(now)},
                                  {"level", enumName(eventSeverityNames, entry.level)},
                                  {"event", static_cast<unsigned>(entry.event)},
                                  {"text", entry.text}};
    for (const auto &it : fields)
        object[it.name] = it.value;
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string eventReferenceMarkdown()
{
    std::string text =
        "# Events\n"
        "\n"
        "Made by `citronpitchd --print-events`; a test holds this page and the program equal.\n"
        "\n"
        "Each line of the log is one event: time, level, number, text and fields. With\n"
        "`log.format` set to `json-lines` it is one JSON object with `time`, `level`, `event`\n"
        "and `text`, and a member for each field. Of an event that repeats, `log.repeatLimit`\n"
        "lines are logged in each window of `log.repeatWindowMs`; E108 says how many were left\n"
        "out.\n"
        "\n"
        "| number | level | text | fields | meaning, and what to do |\n"
        "|---|---|---|---|---|\n";
    for (const auto &it : eventCatalogue())
        text += "| " + eventNumberText(it.event) + " | " + std::string(enumName(eventSeverityNames, it.level))
            + " | " + std::string(it.text) + " | " + std::string(it.fields) + " | "
            + std::string(it.description) + " |\n";
    return text;
}

} // namespace Citronpitch
