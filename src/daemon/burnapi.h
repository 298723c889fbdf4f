#pragma once

#include "citronpitch/entryvm.h"

#include <string>

namespace Citronpitch {

/// Returns the error budget burn of each class on this entry VM as JSON, which `citronpitch report burn`
/// merges.
std::string burnJson(TimePoint now, const EntryVm &vm, const VmIdentity &self);

} // namespace Citronpitch
