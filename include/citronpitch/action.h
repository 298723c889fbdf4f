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

/// Identifies a pending request of a caller; unique within the process.
using CallerId = std::uint64_t;

/// Identifies one attempt to run a task; unique within an incarnation of an entry VM.
using AttemptId = std::uint64_t;

/// Sends the start message of an attempt to an upstream.
struct StartTask
{
    AttemptId attempt = 0;
    std::string upstream;
    std::string address;
    std::uint16_t port = 0;
    /// Attempt ID on the wire: "<VM>.<incarnation>.<attempt>".
    std::string attemptName;
    std::string className;
    std::string payload;
    /// Deadline of the job; a later answer is discarded.
    TimePoint deadline;
};

/// Stops waiting for an attempt and asks the upstream to cancel it where that is supported.
struct StopTask
{
    AttemptId attempt = 0;
};

/// Returns an answer to a caller.
struct AnswerCaller
{
    CallerId caller = 0;
    Answer answer;
};

/// Sends a message to another entry VM.
struct SendPeerMessage
{
    std::string vm;
    std::shared_ptr<citronpitch::wire::PeerMessage> message;
};

/// Appends a record to the claim journal before any later action is executed.
struct AppendClaimRecord
{
    std::shared_ptr<citronpitch::wire::ClaimJournalRecord> record;
    /// If nonzero, EntryVm::journalSynced() must be called with it once the record is synced to disk.
    std::uint64_t syncToken = 0;
};

/// An effect that the owner of an EntryVm executes, in the order of emission.
using Action = std::variant<StartTask, StopTask, AnswerCaller, SendPeerMessage, AppendClaimRecord>;

} // namespace Citronpitch
