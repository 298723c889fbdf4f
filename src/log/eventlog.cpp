#include "log/eventlog.h"

#include "log/repeatlimiter.h"
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
    RepeatLimiter limiter{settings.repeatLimit, settings.repeatWindow};
};

LogState &logState()
{
    static LogState state;
    return state;
}

std::string numberText(Event event)
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

void write(EventLevel level, const std::string &line)
{
    switch (level) {
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

void writeEvent(const EventEntry &entry, const std::vector<EventField> &fields)
{
    const auto now = wallClock();
    if (logState().settings.format == LogFormat::JsonLines)
        write(entry.level, eventJson(now, entry, fields));
    else
        write(entry.level,
              timeText(now) + " " + std::string(nameIn(eventLevelNames, entry.level)) + " "
                  + eventText(entry, fields));
}

void writeSuppressed(const std::vector<SuppressedEvent> &list)
{
    for (const auto &it : list)
        writeEvent(entryOf(Event::RepeatsSuppressed),
                   {{"repeated", numberText(it.event)}, {"count", std::to_string(it.count)}});
}

} // namespace

void setUpEventLog(const LogSettings &settings)
{
    logAllSuppressedEvents();
    logState() = {settings, RepeatLimiter(settings.repeatLimit, settings.repeatWindow)};
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logEvent(Event event, const std::vector<EventField> &fields)
{
    const auto &entry = entryOf(event);
    auto &state = logState();
    if (entry.level < state.settings.level || !state.limiter.admit(wallClock(), event))
        return;
    writeEvent(entry, fields);
}

void logSuppressedEvents()
{
    writeSuppressed(logState().limiter.takeSuppressed(wallClock()));
}

void logAllSuppressedEvents()
{
    writeSuppressed(logState().limiter.takeAllSuppressed());
}

std::string eventText(const EventEntry &entry, const std::vector<EventField> &fields)
{
    std::string line = numberText(entry.event) + " " + std::string(entry.text);
    for (const auto &it : fields)
        line += " " + it.name + "=" + quoted(it.value);
    return line;
}

std::string eventJson(TimePoint now, const EventEntry &entry, const std::vector<EventField> &fields)
{
    nlohmann::ordered_json object{{"time", timeText(now)},
                                  {"level", nameIn(eventLevelNames, entry.level)},
                                  {"event", static_cast<unsigned>(entry.event)},
                                  {"text", entry.text}};
    for (const auto &it : fields)
        object[it.name] = it.value;
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string eventReference()
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
        text += "| " + numberText(it.event) + " | " + std::string(nameIn(eventLevelNames, it.level)) + " | "
            + std::string(it.text) + " | " + std::string(it.fields) + " | " + std::string(it.meaning)
            + " |\n";
    return text;
}

} // namespace Citronpitch
