#pragma once

#include "citronpitch/entryvm.h"

#include <string>

namespace Citronpitch {

/// What this entry VM knows of the service level of each class, as JSON; merged by `citronpitch report burn`.
std::string burnJson(TimePoint now, const EntryVm &vm, const VmIdentity &self);

} // namespace Citronpitch
