#pragma once

#include "log/logsettings.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace Citronpitch {

/// Numbers of the logged events; a number is never used again for another event.
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
    UpstreamAnnounced = 200,
    UpstreamLeaving = 201,
    UpstreamExpired = 202,
    AnnouncementRejected = 203,
    PeerMessageMalformed = 300,
    PeerAlive = 301,
    PeerSuspected = 302,
    PeerLeaving = 303,
    ConfigurationActivated = 400,
    ConfigurationLeader = 401,
    ConfigurationStorageFailed = 402,
    ClaimsRecovered = 450,
    ClaimStorageFailed = 451,
    CallerRequestRejected = 500,
    DocumentActivated = 600,
    DocumentUnreadable = 601,
    DocumentRejected = 602,
    HolderAssigned = 610,
    GroupAcquired = 611,
    GroupReleased = 612,
    UpstreamFenceSuperseded = 613,
    JobNotCompleted = 620,
    OrderUnanswered = 621,
};

/// Level, text and explanation of one event.
struct EventDefinition
{
    Event event;
    EventSeverity level;
    std::string_view text;
    /// Names of the fields, separated by spaces.
    std::string_view fields;
    /// What it means and what to do.
    std::string_view description;
    /// Multiple of the limit on repeats: lines about single requests come more often than others.
    std::uint32_t repeatLimitMultiplier = 1;
};

/// Every event, in the order of the numbers.
std::span<const EventDefinition> eventCatalogue();

/// The entry of @p event.
const EventDefinition &eventDefinition(Event event);

} // namespace Citronpitch
