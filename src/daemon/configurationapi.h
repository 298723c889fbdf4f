#pragma once

#include "citronpitch/configurationnode.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Parses the body of POST /v1/configuration/changes; see docs/decisions/configuration.md.
boost::leaf::result<ConfigurationChange> parseChange(const std::string &body, TimePoint now);

/// Returns the response to a change, with status 200, 409, 422 or 503.
HttpResponse changeResponse(const ChangeAnswer &answer);

/// Returns the active configuration, its version and its age as JSON.
std::string configurationJson(const ConfigurationNode &node, TimePoint now);

/// Returns the latest @p limit accepted changes as JSON, newest first.
std::string historyJson(const ConfigurationNode &node, std::size_t limit);

/// Returns the voters and the consensus state of this VM as JSON.
std::string votersJson(const ConfigurationNode &node, TimePoint now);

} // namespace Citronpitch
