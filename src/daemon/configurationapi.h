#pragma once

#include "citronpitch/configurationnode.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Reads a change from the body of POST /v1/configuration/changes; docs/decisions/configuration.md.
boost::leaf::result<ConfigurationChange> parseChange(const std::string &body, TimePoint now);

/// The response to a change: 200, 409, 422 or 503.
HttpResponse changeResponse(const ChangeAnswer &answer);

/// The configuration in force, its version and its age, as JSON.
std::string configurationJson(const ConfigurationNode &node, TimePoint now);

/// The newest @p limit accepted changes, newest first, as JSON.
std::string historyJson(const ConfigurationNode &node, std::size_t limit);

/// The voters and this VM's part in the agreement, as JSON.
std::string votersJson(const ConfigurationNode &node, TimePoint now);

} // namespace Citronpitch
