#pragma once

#include "log/logsettings.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace Citronpitch {

/// Numbers of the logged events. The number of a removed event must not be reused.
enum class Event : std::uint16_t {
    Started = 100,
    Stopped = 101,
    DrainStarted = 102,
    DrainTimedOut = 103,
    StartFailed = 104,
    SettingChanged = 105,
    SettingNeedsRestart = 106,
    SettingsRejected = 107,
    RepeatsSuppressed = 108,
    ListeningStopped = 109,
    MetricsUnavailable = 110,
    EventLoopFailed = 111,
    HolderOverloaded = 112,
    HolderRecovered = 113,
    LogLinesLost = 114,
    UpstreamAnnounced = 200,
    UpstreamLeaving = 201,
    UpstreamExpired = 202,
    AnnouncementRejected = 203,
    PeerMessageMalformed = 300,
    PeerAlive = 301,
    PeerSuspected = 302,
    PeerLeaving = 303,
    AnnouncementsDropped = 304,
    ConfigurationActivated = 400,
    ConfigurationLeader = 401,
    ConfigurationStorageFailed = 402,
    DomainEvacuated = 403,
    DomainRestored = 404,
    ConfigurationRecovered = 405,
    ConfigurationLeaderMissing = 406,
    ConfigurationOutdated = 407,
    ConfigurationConfirmed = 408,
    ClaimsRecovered = 450,
    ClaimStorageFailed = 451,
    CallerRequestRejected = 500,
    JobNotSupported = 501,
    RequestTooLarge = 502,
    RouteUnknown = 503,
    DocumentActivated = 600,
    DocumentUnreadable = 601,
    DocumentRejected = 602,
    HolderAssigned = 610,
    GroupAcquired = 611,
    GroupReleased = 612,
    UpstreamFenceSuperseded = 613,
    DomainPartitioned = 614,
    JobNotCompleted = 620,
    OrderUnanswered = 621,
    RunLost = 622,
    TaskCrash = 623,
    GroupUpstreamExpired = 624,
    RunOrdered = 625,
    RunEnded = 626,
    GroupStartsEnded = 630,
    JobSubmitted = 640,
    JobRouted = 641,
};

/// Severity, text and documentation of one event.
struct EventDefinition
{
    Event event;
    EventSeverity level;
    std::string_view text;
    /// Names of the fields, separated by spaces.
    std::string_view fields;
    /// Cause of the event and the action for the operator, for docs/EVENTS.md.
    std::string_view description;
    /// Multiplier of LogSettings::repeatLimit; higher for events that are logged per request.
    std::uint32_t repeatLimitMultiplier = 1;
    /// Maximum number of lines per second, which replaces LogSettings::repeatLimit; zero if that applies.
    std::uint32_t linesPerSecond = 0;
};

/// Returns all events in ascending order of their numbers.
std::span<const EventDefinition> eventCatalogue();

/// Returns the definition of @p event.
const EventDefinition &eventDefinition(Event event);

} // namespace Citronpitch
