#pragma once

#include "citronpitch/entryvm.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Reads an announcement of the upstreams' interface, docs/API.md; @p lease is when the lease it asks for
/// ends.
boost::leaf::result<UpstreamAnnouncement> parseAnnouncement(const HttpRequest &request, TimePoint lease);

/// Reads a request for an explanation and gives the JSON text of @p vm's.
boost::leaf::result<std::string> explanationJson(TimePoint now, const EntryVm &vm,
                                                 const HttpRequest &request);

/// State of this entry VM and what it knows of the others, as JSON.
std::string statusJson(const EntryVm &vm, const std::string &name);

/// The upstreams that this entry VM knows, as JSON.
std::string upstreamsJson(const EntryVm &vm);

} // namespace Citronpitch
