// Recovery of EntryVm from the claim journal, and detection of duplicates of forwarded requests.
#include "citronpitch/entryvm.h"
#include "citronpitch/idempotencykey.h"
#include "citronpitch/wireconvert.h"

#include "wire/peer.pb.h"

#include <algorithm>

namespace Citronpitch {

namespace wire = citronpitch::wire;

namespace {

/// Maximum number of cached replies to forwarded requests of one VM. Beyond it the reply to the oldest
/// request is dropped, and duplicates of that request are ignored.
constexpr std::size_t maximumCachedForwardReplies = 50'000;

std::string serialized(const wire::ClaimJournalRecord &record)
{
    return record.SerializeAsString();
}

std::string claimRecord(const Submission &submission)
{
    wire::ClaimJournalRecord record;
    toWire(submission, record.mutable_claim()->mutable_submission());
    return serialized(record);
}

std::string cutoffsRecord(const ClaimCutoffs &cutoffs)
{
    wire::ClaimJournalRecord record;
    record.mutable_floors()->set_loss_floor_us(microsecondsOf(cutoffs.loss));
    record.mutable_floors()->set_age_floor_us(microsecondsOf(cutoffs.age));
    record.mutable_floors()->set_undated_lost(cutoffs.isUndatedLost);
    return serialized(record);
}

std::string expiredKeysRecord(const ExpiredKeys &keys)
{
    wire::ClaimJournalRecord record;
    auto *to = record.mutable_fingerprints();
    to->set_until_us(keys.datedBefore ? microsecondsOf(*keys.datedBefore) : 0);
    to->mutable_fingerprints()->Add(keys.fingerprints.begin(), keys.fingerprints.end());
    return serialized(record);
}

void addAnswered(const AnsweredClaim &claim, std::vector<std::string> &records)
{
    Submission submission;
    submission.team = claim.key.team;
    submission.key = claim.key.key;
    submission.bodyHash = claim.bodyHash;
    records.push_back(claimRecord(submission));
    wire::ClaimJournalRecord record;
    auto *to = record.mutable_answer();
    to->set_team(claim.key.team);
    to->set_key(claim.key.key);
    to->set_answered_at_us(microsecondsOf(claim.answeredAt));
    toWire(claim.answer, to->mutable_answer());
    records.push_back(serialized(record));
}

void addOpen(const JobProgress &progress, std::vector<std::string> &records)
{
    const auto &submission = progress.submission();
    records.push_back(claimRecord(submission));
    wire::ClaimJournalRecord record;
    auto *intent = record.mutable_intent();
    intent->set_team(submission.team);
    intent->set_key(submission.key);
    for (std::uint32_t i = 0; i < submission.tasks.size(); ++i) {
        if (progress.hasStarted(i))
            intent->add_tasks(i);
    }
    if (intent->tasks_size() > 0)
        records.push_back(serialized(record));
}

} // namespace

const FaultInjection &EntryVm::faults() const
{
    return m_options.faultInjection;
}

std::string EntryVm::homeOfKey(const ClaimKey &key) const
{
    const auto parsed = parseIdempotencyKey(key.key);
    if (!parsed)
        return {};
    return homeVmOf(*parsed, key.team, key.key, parsed->date ? m_vmNames : m_durableVmNames);
}

void EntryVm::recover(TimePoint now, const ClaimRecovery &recovery)
{
    const auto replay = replayClaims(recovery.records);
    const auto completeness = replay.malformedRecords > 0 ? JournalCompleteness::Lost : recovery.completeness;
    m_claims.advanceCutoffs(replay.cutoffs);
    if (completeness != JournalCompleteness::Whole && !faults().omitsRecoveryCutoffs) {
        // A previous incarnation accepted keys dated up to one clock skew ahead of its clock, which itself
        // may have been one clock skew ahead of the current one.
        const auto loss = now + 2 * m_options.claimLimits.clockSkew;
        m_claims.advanceCutoffs({loss, {}, completeness == JournalCompleteness::Lost});
    }
    for (const auto &it : replay.expiredKeys)
        m_claims.addExpiredKeys(it);
    recoverAnswered(replay);
    for (const auto &[key, claim] : replay.claims) {
        if (!claim.answer)
            recoverOpen(now, completeness, key, claim);
    }
    m_claims.expire(now);
    place(now);
}

void EntryVm::recoverAnswered(const ClaimReplay &replay)
{
    std::vector<std::pair<TimePoint, const ClaimKey *>> answered;
    for (const auto &[key, claim] : replay.claims) {
        if (claim.answer)
            answered.emplace_back(claim.answeredAt, &key);
    }
    std::sort(answered.begin(), answered.end());
    for (const auto &[answeredAt, key] : answered) {
        const auto &claim = replay.claims.at(*key);
        m_claims.claim(*key, claim.submission.bodyHash, 0);
        m_claims.answer(answeredAt, *key, *claim.answer);
    }
}

void EntryVm::recoverOpen(TimePoint now, JournalCompleteness completeness, const ClaimKey &key,
                          const ReplayedClaim &claim)
{
    const auto job = m_nextJob++;
    m_claims.claim(key, claim.submission.bodyHash, job);
    auto &progress = m_jobs.emplace(job, JobProgress(claim.submission, faults())).first->second;
    const auto startedTasks = faults().ignoresStartIntents ? std::set<std::uint32_t>() : claim.startedTasks;
    for (const auto it : startedTasks) {
        if (it < claim.submission.tasks.size())
            progress.markStartedBeforeRestart(it);
    }
    if (completeness != JournalCompleteness::Whole) {
        finishJob(now, job,
                  {key.key,
                   Outcome::Unknown,
                   Reason::MemoryLost,
                   "recovery: VM " + m_options.self.name + " may have lost records of the job",
                   {},
                   {}});
        return;
    }
    if (!startedTasks.empty()) {
        finishJob(now, job,
                  progress.failedAnswer(Reason::TaskOutcomeUnknown,
                                        "recovery: VM " + m_options.self.name
                                            + " stopped while tasks of the job were in flight"));
        return;
    }
    m_deadlines.insert({claim.submission.deadline, job});
    m_dispatcher.add(now, job, claim.submission);
}

std::vector<std::string> EntryVm::journalSnapshot() const
{
    std::vector<std::string> records{cutoffsRecord(m_claims.cutoffs())};
    for (const auto &it : m_claims.expiredKeys())
        records.push_back(expiredKeysRecord(it));
    for (const auto &it : m_claims.answeredClaims())
        addAnswered(it, records);
    for (const auto &[job, progress] : m_jobs)
        addOpen(progress, records);
    return records;
}

std::uint64_t EntryVm::lowestOpenForward() const
{
    return m_forwards.empty() ? m_nextForward : m_forwards.begin()->first;
}

void EntryVm::updateLowestOpenForward(const std::string &vm, std::uint64_t incarnation,
                                      std::uint64_t lowestOpen)
{
    auto &cache = m_forwardReplyCaches[vm];
    if (incarnation < cache.incarnation)
        return;
    if (incarnation > cache.incarnation)
        cache = {incarnation, 0, {}};
    cache.lowestOpen = std::max(cache.lowestOpen, lowestOpen);
    cache.replies.erase(cache.replies.begin(), cache.replies.lower_bound(cache.lowestOpen));
}

void EntryVm::cacheReply(const Waiter &waiter, const Answer &answer)
{
    auto &cache = m_forwardReplyCaches[waiter.vm];
    const bool isKeptByClaimTable = answer.outcome != Outcome::Refused && answer.outcome != Outcome::Unknown;
    if (isKeptByClaimTable || waiter.incarnation != cache.incarnation || waiter.request < cache.lowestOpen)
        return;
    cache.replies.insert_or_assign(waiter.request, answer);
    if (cache.replies.size() <= maximumCachedForwardReplies)
        return;
    cache.lowestOpen = cache.replies.begin()->first + 1;
    cache.replies.erase(cache.replies.begin());
}

} // namespace Citronpitch
