#pragma once

#include "cli/vmclient.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Citronpitch {

/// Body of @p reply as a JSON object; fails where it is none, or where the status is not 2xx.
boost::leaf::result<nlohmann::json> successBody(const VmReply &reply, const std::string &step);

/// Body of @p reply as a JSON object, whatever its status.
boost::leaf::result<nlohmann::json> anyBody(const VmReply &reply, const std::string &step);

/// Member @p name of @p object as text; empty where it is missing.
std::string cell(const nlohmann::json &object, const char *name);

/// Prints @p document as the output of --json.
void printJson(const nlohmann::json &document);

} // namespace Citronpitch
