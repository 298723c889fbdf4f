#pragma once

#include "citronpitch/entryvm.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Maximum size of the payload of one task.
constexpr std::size_t maximumPayloadBytes = std::size_t{1} << 20;

/**
 * Parses a request of the callers' API, docs/API.md.
 *
 * @p defaultDeadline applies if the body has no deadline. Fails with a StepError that names the field and the
 * cause.
 */
boost::leaf::result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint defaultDeadline);

class JsonObjectReader;

/// Parses the fields millicores, memoryBytes and accelerators; a missing one is zero.
boost::leaf::result<Resources> parseResources(const JsonObjectReader &fields);

/// Returns the HTTP response for @p answer; Retry-After is relative to @p now.
HttpResponse answerResponse(TimePoint now, const Answer &answer);

/// Returns a response with @p status and an error message.
HttpResponse errorResponse(int status, const std::string &text);

} // namespace Citronpitch
