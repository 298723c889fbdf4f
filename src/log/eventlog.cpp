#include "log/eventlog.h"

#include "log/eventratelimiter.h"
#include "log/logwriter.h"
#include "log/wallclock.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

INITIALIZE_EASYLOGGINGPP

namespace Citronpitch {

using Json = nlohmann::json;

namespace {

/// Process-wide state of the log, which all components write to.
struct LogState
{
    LogSettings settings;
    EventRateLimiter limiter{settings.repeatLimit, settings.repeatWindow};
    std::unique_ptr<LogWriter> writer;
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

/// Hands the lines of the library to the writer's queue.
class QueueingCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto &message = *data->logMessage();
        const auto priority = message.level() == el::Level::Info ? LinePriority::Normal : LinePriority::High;
        logState().writer->write(message.logger()->logBuilder()->build(&message, true), priority);
    }
};

constexpr const char *queueingCallback = "QueueingCallback";
constexpr const char *defaultCallback = "DefaultLogDispatchCallback";

void write(EventSeverity level, const std::string &line)
{
    switch (level) {
    // The library compiles its own debug level out of release builds.
    case EventSeverity::Debug:
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
    // The last line must not be dropped because the queue still has more than the limit of other lines.
    const auto level = entry.event == Event::Stopped ? EventSeverity::Warning : entry.level;
    if (logState().settings.format == LogFormat::JsonLines)
        write(level, formatEventJson(now, entry, fields));
    else
        write(level,
              timeText(now) + " " + std::string(enumName(eventSeverityNames, entry.level)) + " "
                  + formatEventText(entry, fields));
}

void reportLostLines()
{
    if (logState().writer == nullptr)
        return;
    const auto lost = logState().writer->takeLostLines();
    if (lost.lines > 0)
        writeEvent(eventDefinition(Event::LogLinesLost),
                   {{"lines", std::to_string(lost.lines)}, {"total", std::to_string(lost.total)}});
}

void writeSuppressed(const std::vector<SuppressedEvent> &list)
{
    for (const auto &it : list)
        writeEvent(eventDefinition(Event::RepeatsSuppressed),
                   {{"repeated", eventNumberText(it.event)}, {"count", std::to_string(it.count)}});
}

} // namespace

EventLogThread::EventLogThread(int descriptor)
{
    logState().writer = std::make_unique<LogWriter>(descriptor);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(defaultCallback);
    el::Helpers::installLogDispatchCallback<QueueingCallback>(queueingCallback);
}

EventLogThread::~EventLogThread()
{
    reportLostLines();
    el::Helpers::uninstallLogDispatchCallback<QueueingCallback>(queueingCallback);
    el::Helpers::installLogDispatchCallback<el::base::DefaultLogDispatchCallback>(defaultCallback);
    logState().writer.reset();
}

void configureEventLog(const LogSettings &settings)
{
    logAllSuppressedCounts();
    logState().settings = settings;
    logState().limiter = EventRateLimiter(settings.repeatLimit, settings.repeatWindow);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

bool isLogLevelEnabled(EventSeverity level)
{
    return level >= logState().settings.level;
}

void logEvent(Event event, const std::vector<EventField> &fields)
{
    const auto &entry = eventDefinition(event);
    auto &state = logState();
    if (!isLogLevelEnabled(entry.level) || !state.limiter.admit(wallClock(), event))
        return;
    reportLostLines();
    writeEvent(entry, fields);
}

void logSuppressedCounts()
{
    reportLostLines();
    writeSuppressed(logState().limiter.takeSuppressed(wallClock()));
}

void logAllSuppressedCounts()
{
    writeSuppressed(logState().limiter.takeAllSuppressed());
}

std::uint64_t lostLogLines()
{
    return logState().writer == nullptr ? 0 : logState().writer->lostLines();
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
        "Generated by `citronpitchd --print-events`; a test compares this page with the program.\n"
        "\n"
        "Each line of the log is one event: time, level, number, text and fields. With\n"
        "`log.format` set to `json-lines` it is one JSON object with `time`, `level`, `event`\n"
        "and `text`, and a member for each field. A repeated event is logged at most\n"
        "`log.repeatLimit` times per window of `log.repeatWindowMs`; E108 reports the number of\n"
        "suppressed lines. Lines that the reader of the log doesn't take in time are dropped; E114 reports\n"
        "their number.\n"
        "\n"
        "Debug events trace single runs and jobs of a fleet and are off by default. Each is logged\n"
        "at most "
        + std::to_string(eventDefinition(Event::RunOrdered).linesPerSecond)
        + " times per second, whatever the repeat limit.\n"
          "\n"
          "| number | level | text | fields | cause and action |\n"
          "|---|---|---|---|---|\n";
    for (const auto &it : eventCatalogue())
        text += "| " + eventNumberText(it.event) + " | " + std::string(enumName(eventSeverityNames, it.level))
            + " | " + std::string(it.text) + " | " + std::string(it.fields) + " | "
            + std::string(it.description) + " |\n";
    return text;
}

} // namespace Citronpitch
