#include "citronpitch/entryvm.h"
#include "citronpitch/idempotencykey.h"

#include "wire/peer.pb.h"

#include <gtest/gtest.h>

#include <random>

using namespace Citronpitch;
namespace wire = citronpitch::wire;

namespace {

constexpr int corruptionRounds = 20'000;
constexpr int corruptedBytes = 4;

const auto now = timePointOf(1'700'000'000'000'000);

EntryVmOptions optionsOf(const std::string &name)
{
    EntryVmOptions options;
    options.self = {name, "a"};
    options.incarnation = 10;
    options.vms = {{"a1", "a"}, {"a2", "a"}};
    return options;
}

/// Creates an entry VM with a declared class and one upstream.
EntryVm makeVm(const std::string &name)
{
    EntryVm vm(optionsOf(name));
    Configuration configuration;
    configuration.classes.push_back({"casework", 990000, std::chrono::seconds(1), false});
    vm.setConfiguration(now, configuration);
    UpstreamAnnouncement upstream;
    upstream.name = "u";
    upstream.address = "127.0.0.1";
    upstream.port = 1;
    upstream.slots = 8;
    upstream.leaseDeadline = now + std::chrono::seconds(10);
    vm.handleAnnouncement(now, upstream);
    return vm;
}

CallerRequest requestOf(const std::string &key)
{
    CallerRequest request;
    request.submission.team = "team";
    request.submission.key = key;
    request.submission.className = "casework";
    request.submission.deadline = now + std::chrono::seconds(10);
    request.submission.tasks.push_back({"payload", {}, {}});
    return request;
}

/// Serializes the messages and records in @p actions and appends them to @p messages and @p records.
void collect(const std::vector<Action> &actions, std::vector<std::string> &messages,
             std::vector<std::string> &records)
{
    for (const auto &it : actions) {
        if (const auto *peer = std::get_if<SendPeerMessage>(&it))
            messages.push_back(peer->message->SerializeAsString());
        if (const auto *record = std::get_if<AppendClaimRecord>(&it))
            records.push_back(record->record->SerializeAsString());
    }
}

/// Collects messages and records of a small exchange between two VMs.
void makeCorpus(std::vector<std::string> &messages, std::vector<std::string> &records)
{
    auto a1 = makeVm("a1");
    auto a2 = makeVm("a2");
    a2.tick(now);
    const auto heartbeats = a2.takeActions();
    collect(heartbeats, messages, records);
    for (const auto &it : heartbeats) {
        if (const auto *peer = std::get_if<SendPeerMessage>(&it))
            a1.handlePeerMessage(now, *peer->message);
    }
    a1.handleRequest(now, 1, requestOf(issueIdempotencyKey("a2", now, 1, 1)));
    auto actions = a1.takeActions();
    collect(actions, messages, records);
    for (const auto &it : actions) {
        if (const auto *peer = std::get_if<SendPeerMessage>(&it))
            a2.handlePeerMessage(now, *peer->message);
    }
    a2.attemptEnded(now, 1, {AttemptOutcome::Answered, 200, "result"});
    collect(a2.takeActions(), messages, records);
    for (const auto &it : a2.journalSnapshot())
        records.push_back(it);
}

std::string corrupted(std::string bytes, std::mt19937_64 &random)
{
    for (int i = 0; i < corruptedBytes && !bytes.empty(); ++i) {
        const auto at = random() % bytes.size();
        if (random() % 4 == 0)
            bytes.erase(at, 1);
        else
            bytes[at] = static_cast<char>(random());
    }
    return bytes;
}

} // namespace

// Guards against a crash on a peer message that parses but has corrupted content.
TEST(PeerMessageTest, corruptMessagesDoNotCrashAVm)
{
    std::vector<std::string> messages;
    std::vector<std::string> records;
    makeCorpus(messages, records);
    ASSERT_GE(messages.size(), 4U);
    std::mt19937_64 random(1);
    auto vm = makeVm("a2");
    std::uint64_t parsed = 0;
    for (int i = 0; i < corruptionRounds; ++i) {
        wire::PeerMessage message;
        const auto bytes = corrupted(messages[random() % messages.size()], random);
        if (!message.ParseFromString(bytes))
            continue;
        ++parsed;
        message.set_sender("a1");
        message.set_incarnation(10);
        message.set_receiver_incarnation(0);
        vm.handlePeerMessage(now, message);
        vm.tick(now + Duration(i));
        vm.takeActions();
    }
    EXPECT_GT(parsed, 1000U);
}

// Guards against a crash during recovery when one journal record has corrupted content.
TEST(PeerMessageTest, corruptRecordsDoNotCrashRecovery)
{
    std::vector<std::string> messages;
    std::vector<std::string> records;
    makeCorpus(messages, records);
    ASSERT_GE(records.size(), 4U);
    std::mt19937_64 random(2);
    for (int i = 0; i < corruptionRounds; ++i) {
        auto changed = records;
        auto &record = changed[random() % changed.size()];
        record = corrupted(record, random);
        auto vm = makeVm("a2");
        vm.recover(now, {JournalCompleteness::Whole, changed});
        vm.tick(now);
        vm.takeActions();
    }
}

// Guards against claiming a malformed key, or a key whose home is another VM, for a forwarded request.
TEST(PeerMessageTest, requestForAKeyWithAnotherHomeIsDropped)
{
    auto a2 = makeVm("a2");
    a2.takeActions();
    for (const std::string key : {"", "with space", "a1/018bcfe5-6800-7000-8000-000000000001"}) {
        wire::PeerMessage message;
        message.set_sender("a1");
        message.set_incarnation(10);
        auto *forwarded = message.mutable_forwarded_request();
        forwarded->set_request(1);
        forwarded->mutable_submission()->set_key(key);
        forwarded->mutable_submission()->set_class_name("casework");
        forwarded->mutable_submission()->add_tasks();
        a2.handlePeerMessage(now, message);
        EXPECT_TRUE(a2.takeActions().empty()) << key;
    }
}
