#pragma once

#include "charts/statechart.h"
#include "citronpitch/nametable.h"

#include <array>

namespace Citronpitch {

/// State of an upstream in charts/upstream.json.
enum class UpstreamState { Serving, Ejected, Trial, Recovering };

inline constexpr std::array upstreamStateNames{
    EnumName<UpstreamState>{UpstreamState::Serving, "serving"},
    EnumName<UpstreamState>{UpstreamState::Ejected, "ejected"},
    EnumName<UpstreamState>{UpstreamState::Trial, "trial"},
    EnumName<UpstreamState>{UpstreamState::Recovering, "recovering"},
};

/// Event of charts/upstream.json.
enum class UpstreamEvent { EvidenceReached, BackoffPassed, TrialSucceeded, TrialFailed };

inline constexpr std::array upstreamEventNames{
    EnumName<UpstreamEvent>{UpstreamEvent::EvidenceReached, "evidence-reached"},
    EnumName<UpstreamEvent>{UpstreamEvent::BackoffPassed, "backoff-passed"},
    EnumName<UpstreamEvent>{UpstreamEvent::TrialSucceeded, "trial-succeeded"},
    EnumName<UpstreamEvent>{UpstreamEvent::TrialFailed, "trial-failed"},
};

/// Action of a transition in charts/upstream.json.
enum class UpstreamAction { StartBackoff, LengthenBackoff, ClearEvidence };

inline constexpr std::array upstreamActionNames{
    EnumName<UpstreamAction>{UpstreamAction::StartBackoff, "start-backoff"},
    EnumName<UpstreamAction>{UpstreamAction::LengthenBackoff, "lengthen-backoff"},
    EnumName<UpstreamAction>{UpstreamAction::ClearEvidence, "clear-evidence"},
};

using UpstreamChart = StateChart<UpstreamState, upstreamStateNames.size(), UpstreamEvent,
                                 upstreamEventNames.size(), UpstreamAction, upstreamActionNames.size()>;

/// Returns the state chart of charts/upstream.json. Throws std::logic_error if it does not match the code.
const UpstreamChart &upstreamChart();

} // namespace Citronpitch
