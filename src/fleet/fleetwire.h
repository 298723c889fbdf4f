#pragma once

#include "citronpitch/fleetannouncement.h"
#include "citronpitch/groupdispatcher.h"

#include <optional>

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
FleetAnnouncement fromWire(const citronpitch::wire::fleet::Announcement &from);
GroupLoad fromWire(const citronpitch::wire::fleet::GroupLoad &from);

} // namespace Citronpitch
