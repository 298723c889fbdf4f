#pragma once

#include "citronpitch/capacityloan.h"
#include "citronpitch/job.h"
#include "citronpitch/upstream.h"

#include <optional>

namespace citronpitch::wire {
class Answer;
class CapacityGrant;
class CapacityRequest;
class Submission;
class UpstreamAnnouncement;
} // namespace citronpitch::wire

namespace Citronpitch {

/// Converts @p from to its message @p to, which must be empty.
void toWire(const Submission &from, citronpitch::wire::Submission *to);
void toWire(const Answer &from, citronpitch::wire::Answer *to);
void toWire(const UpstreamAnnouncement &from, citronpitch::wire::UpstreamAnnouncement *to);
void toWire(const CapacityRequest &from, citronpitch::wire::CapacityRequest *to);
void toWire(const CapacityGrant &from, citronpitch::wire::CapacityGrant *to);

/// Converts a message of a peer or a journal record; empty if a field is out of range.
std::optional<Submission> fromWire(const citronpitch::wire::Submission &from);
std::optional<Answer> fromWire(const citronpitch::wire::Answer &from);
std::optional<UpstreamAnnouncement> fromWire(const citronpitch::wire::UpstreamAnnouncement &from);

CapacityRequest fromWire(const citronpitch::wire::CapacityRequest &from);
CapacityGrant fromWire(const citronpitch::wire::CapacityGrant &from);

} // namespace Citronpitch
