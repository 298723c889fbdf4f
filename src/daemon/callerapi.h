#pragma once

#include "citronpitch/entryvm.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Longest payload of one task, in bytes.
constexpr std::size_t maximumPayloadBytes = std::size_t{1} << 20;

/**
 * Reads a request of the callers' interface, docs/API.md.
 *
 * @p defaultDeadline is used where the body names none. The error is a StepError that says where and what.
 */
boost::leaf::result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint defaultDeadline);

class JsonObjectReader;

/// Reads the fields millicores, memoryBytes and accelerators; each is zero where it is missing.
boost::leaf::result<Resources> parseResources(const JsonObjectReader &fields);

/// The response that carries @p answer at @p now.
HttpResponse answerResponse(TimePoint now, const Answer &answer);

/// A response with @p status that carries only an error text.
HttpResponse errorResponse(int status, const std::string &text);

} // namespace Citronpitch
