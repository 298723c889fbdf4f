#pragma once

#include "citronpitch/nametable.h"

namespace Citronpitch {

/// Exit codes of `citronpitch`; their numbers never change.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
    NoAnswer = 3,
    Refused = 4,
    Conflict = 5,
    NotInForce = 6,
    Pending = 7,
    Differs = 8,
};

/// What each exit code says, for the help and the docs.
inline constexpr std::array exitCodeNames{
    EnumName<ExitCode>{ExitCode::Done, "done; a job is complete"},
    EnumName<ExitCode>{ExitCode::Failed, "a job failed, or a local file can't be used"},
    EnumName<ExitCode>{ExitCode::Usage, "wrong usage or a file with errors; nothing was asked"},
    EnumName<ExitCode>{ExitCode::NoAnswer, "no entry VM answered, or the outcome is unknown; ask again"},
    EnumName<ExitCode>{ExitCode::Refused, "refused; a refused job was not run"},
    EnumName<ExitCode>{ExitCode::Conflict, "another change came first; look at it and try again"},
    EnumName<ExitCode>{ExitCode::NotInForce, "accepted, but not in force everywhere in time"},
    EnumName<ExitCode>{ExitCode::Pending, "the job is accepted and not answered yet"},
    EnumName<ExitCode>{ExitCode::Differs, "diff: the file differs from what is in force"},
};

} // namespace Citronpitch
