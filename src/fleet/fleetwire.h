#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/groupdispatcher.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronpitch::wire::fleet {
class Announcement;
class Renewal;
class GroupLoad;
class JobEnded;
class RunJob;
class TaskCrash;
} // namespace citronpitch::wire::fleet

namespace Citronpitch {

/// Fills @p to. A deadline is sent as the time remaining at @p now, and @p arrivedAt as the age of the
/// announcement, since clocks differ.
void toWire(TimePoint now, const RoutedJob &from, const std::string &group,
            citronpitch::wire::fleet::RunJob *to);
void toWire(TimePoint now, const FinishedJob &from, citronpitch::wire::fleet::JobEnded *to);
void toWire(TimePoint now, TimePoint arrivedAt, const FleetAnnouncement &from,
            citronpitch::wire::fleet::Announcement *to);
void toWire(TimePoint now, TimePoint arrivedAt, const FleetAnnouncement &from,
            citronpitch::wire::fleet::Renewal *to);
void toWire(TimePoint now, const TaskCrash &from, citronpitch::wire::fleet::TaskCrash *to);
void toWire(const GroupLoad &from, citronpitch::wire::fleet::GroupLoad *to);

/// Decodes a message that arrived at @p now; returns nothing if a field is out of range.
std::optional<TaskCrash> fromWire(TimePoint now, const citronpitch::wire::fleet::TaskCrash &from);
std::optional<RoutedJob> fromWire(TimePoint now, const citronpitch::wire::fleet::RunJob &from);
std::optional<Answer> fromWire(TimePoint now, const citronpitch::wire::fleet::JobEnded &from);
std::optional<FleetAnnouncement> fromWire(const citronpitch::wire::fleet::Announcement &from);
std::optional<AnnouncementRenewal> fromWire(const citronpitch::wire::fleet::Renewal &from);

/// Time at which an announcement of age @p microseconds arrived at the first VM.
TimePoint arrivalOf(TimePoint now, std::int64_t microseconds);

/// Whether @p name can name a VM that this one connects to. The library of the links throws for others.
bool isVmName(std::string_view name);
GroupLoad fromWire(const citronpitch::wire::fleet::GroupLoad &from);

} // namespace Citronpitch
