#pragma once

#include "citronpitch/steperror.h"
#include "cli/exitcode.h"

#include <boost/leaf.hpp>

#include <string>

namespace Citronpitch {

/// Why a command ended early: step, peer and detail, what to do about it, and the exit code.
struct CliError
{
    StepError error;
    std::string advice;
    ExitCode code = ExitCode::Failed;
};

/// Fails with wrong usage of @p command.
inline boost::leaf::error_id usageError(const std::string &command, const std::string &detail)
{
    return boost::leaf::new_error(
        CliError{{command, "", detail}, "see citronpitch " + command + " --help", ExitCode::Usage});
}

} // namespace Citronpitch
