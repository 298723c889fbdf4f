#pragma once

#include "citronpitch/configurationlog.h"
#include "citronpitch/configurationstate.h"

#include "wire/configuration.pb.h"

#include <optional>

namespace citronpitch::wire::configuration {
class IdentityRecord;
}

namespace Citronpitch {

/// The voters of an empty log in an identity record.
std::vector<Voter> votersFromWire(const citronpitch::wire::configuration::IdentityRecord &from);

/// State after the log entries up to an index, which it replaces.
struct ConfigurationSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<Voter> voters;
    ConfigurationState state;
};

/// Converts @p from to its message @p to, which must be empty.
void toWire(const ConfigurationChange &from, citronpitch::wire::configuration::Change *to);
void toWire(const LogEntry &from, citronpitch::wire::configuration::LogEntry *to);
void toWire(const ConfigurationSnapshot &from, citronpitch::wire::configuration::Snapshot *to);

/// Converts a message of a peer or a journal record; empty if a field is out of range.
std::optional<ConfigurationChange> fromWire(const citronpitch::wire::configuration::Change &from);
std::optional<LogEntry> fromWire(const citronpitch::wire::configuration::LogEntry &from);
std::optional<ConfigurationSnapshot> fromWire(const citronpitch::wire::configuration::Snapshot &from);

} // namespace Citronpitch
