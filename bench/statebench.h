#pragma once

#include <string>

namespace Citronpitch {

/**
 * Measures what claims cost with and without a synced write, and how long a restart takes for journals of
 * several lengths. Journals are written below @p folder, which is emptied. Records and prints the results,
 * and returns the exit code.
 */
int runStateBench(const std::string &folder);

} // namespace Citronpitch
