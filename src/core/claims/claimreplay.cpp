#include "citronpitch/claimreplay.h"

#include "citronpitch/wireconvert.h"

#include "wire/peer.pb.h"

#include <utility>

namespace Citronpitch {

namespace wire = citronpitch::wire;

namespace {

bool replayClaim(const wire::ClaimRecord &record, ClaimReplay &replay)
{
    auto submission = fromWire(record.submission());
    if (!submission)
        return false;
    const ClaimKey key{submission->team, submission->key};
    replay.claims[key].submission = std::move(*submission);
    return true;
}

bool replayStartIntent(const wire::StartIntentRecord &record, ClaimReplay &replay)
{
    const auto it = replay.claims.find({record.team(), record.key()});
    if (it == replay.claims.end())
        return false;
    it->second.startedTasks.insert(record.tasks().begin(), record.tasks().end());
    return true;
}

bool replayAnswer(const wire::AnswerRecord &record, ClaimReplay &replay)
{
    const auto it = replay.claims.find({record.team(), record.key()});
    auto answer = fromWire(record.answer());
    if (it == replay.claims.end() || !answer)
        return false;
    it->second.answer = std::move(answer);
    it->second.answeredAt = timePointOf(record.answered_at_us());
    return true;
}

bool replayRecord(const wire::ClaimJournalRecord &record, ClaimReplay &replay)
{
    switch (record.body_case()) {
    case wire::ClaimJournalRecord::kClaim:
        return replayClaim(record.claim(), replay);
    case wire::ClaimJournalRecord::kIntent:
        return replayStartIntent(record.intent(), replay);
    case wire::ClaimJournalRecord::kAnswer:
        return replayAnswer(record.answer(), replay);
    case wire::ClaimJournalRecord::kLife:
        replay.lastIncarnation = record.life().incarnation();
        replay.lastBootId = record.life().boot_id();
        return true;
    case wire::ClaimJournalRecord::kFingerprints: {
        const auto &from = record.fingerprints();
        ExpiredKeys keys;
        if (from.until_us() != 0)
            keys.datedBefore = timePointOf(from.until_us());
        keys.fingerprints.assign(from.fingerprints().begin(), from.fingerprints().end());
        replay.expiredKeys.push_back(std::move(keys));
        return true;
    }
    case wire::ClaimJournalRecord::kFloors: {
        const auto &from = record.floors();
        replay.cutoffs = {timePointOf(from.loss_floor_us()), timePointOf(from.age_floor_us()),
                          from.undated_lost()};
        return true;
    }
    default:
        return false;
    }
}

} // namespace

ClaimReplay replayClaims(const std::vector<std::string> &records)
{
    ClaimReplay replay;
    for (const auto &it : records) {
        wire::ClaimJournalRecord record;
        if (!record.ParseFromString(it) || !replayRecord(record, replay))
            ++replay.malformedRecords;
    }
    return replay;
}

} // namespace Citronpitch
