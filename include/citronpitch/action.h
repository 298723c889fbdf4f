#pragma once

#include "citronpitch/job.h"
#include "citronpitch/upstream.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace citronpitch::wire {
class ClaimJournalRecord;
class PeerMessage;
} // namespace citronpitch::wire

namespace Citronpitch {

/// Number that a caller's connection gave to its request; local to the process.
using CallerId = std::uint64_t;

/// Number of one attempt to run a task; unique within an incarnation of an entry VM.
using AttemptId = std::uint64_t;

/// Send the start message of one attempt to an upstream.
struct StartTask
{
    AttemptId attempt = 0;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
    /// Name of the attempt on the wire: VM, incarnation and number.
    std::string attemptName;
    std::string className;
    std::string payload;
    /// The answer is of no use after this moment.
    TimePoint deadline;
};

/// Give up waiting for an attempt; the upstream is told to stop it where it can.
struct StopTask
{
    AttemptId attempt = 0;
};

/// Give a caller the final answer.
struct AnswerCaller
{
    CallerId caller = 0;
    Answer answer;
};

/// Send a message to another entry VM.
struct SendPeerMessage
{
    std::string vm;
    std::shared_ptr<citronpitch::wire::PeerMessage> message;
};

/// Append a record to the journal of claims before any later action is carried out.
struct AppendClaimRecord
{
    std::shared_ptr<citronpitch::wire::ClaimJournalRecord> record;
    /// When not zero, EntryVm::journalSynced is called with it once the record is synced.
    std::uint64_t syncToken = 0;
};

/// What the process around an EntryVm has to do, in order.
using Action = std::variant<StartTask, StopTask, AnswerCaller, SendPeerMessage, AppendClaimRecord>;

} // namespace Citronpitch
