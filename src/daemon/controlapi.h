#pragma once

#include "citronpitch/entryvm.h"
#include "citronpitch/steperror.h"
#include "net/httptypes.h"

#include <boost/leaf.hpp>

namespace Citronpitch {

/// Parses an announcement of the upstreams' API, docs/API.md; @p leaseDeadline is the end of the granted
/// lease.
boost::leaf::result<UpstreamAnnouncement> parseAnnouncement(const HttpRequest &request,
                                                            TimePoint leaseDeadline);

/// Returns the state of the job in @p request and the reason for it as JSON.
boost::leaf::result<std::string> explanationJson(TimePoint now, const EntryVm &vm,
                                                 const HttpRequest &request);

/// Returns the state of this entry VM and its view of the other VMs as JSON.
std::string statusJson(const EntryVm &vm, const std::string &name);

/// Returns the upstreams known to this entry VM as JSON.
std::string upstreamsJson(const EntryVm &vm);

} // namespace Citronpitch
