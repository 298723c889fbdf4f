#pragma once

#include "citronpitch/configurationlog.h"
#include "citronpitch/configurationstate.h"

#include "wire/configuration.pb.h"

#include <optional>

namespace citronpitch::wire::configuration {
class IdentityRecord;
}

namespace Citronpitch {

/// The voters of an empty log, as a record of identity holds them.
std::vector<Voter> votersFromWire(const citronpitch::wire::configuration::IdentityRecord &from);

/// State of the log up to an index, in place of the entries that led to it.
struct ConfigurationSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<Voter> voters;
    ConfigurationState state;
};

/// Fills @p to from @p from.
void toWire(const ConfigurationChange &from, citronpitch::wire::configuration::Change *to);
void toWire(const LogEntry &from, citronpitch::wire::configuration::LogEntry *to);
void toWire(const ConfigurationSnapshot &from, citronpitch::wire::configuration::Snapshot *to);

/// Reads a message of a peer or a record; nothing where a field is out of its range.
std::optional<ConfigurationChange> fromWire(const citronpitch::wire::configuration::Change &from);
std::optional<LogEntry> fromWire(const citronpitch::wire::configuration::LogEntry &from);
std::optional<ConfigurationSnapshot> fromWire(const citronpitch::wire::configuration::Snapshot &from);

} // namespace Citronpitch
