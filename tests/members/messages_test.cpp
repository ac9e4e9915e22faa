#include "members/messages.h"

#include "callers/completion_request.h"
#include "configuration/document.h"
#include "support/suite.h"
#include "upstreams/sse_reader.h"

#include <random>

namespace azurespindle::members {
namespace {

constexpr int inputCount = 20'000;

/// Returns an item whose value is given as a difference.
routing::PublishedItem deltaItem()
{
    return {"k", "", 2, false, routing::ValueDelta {1, {3, 4, 5, {{6, 7, 8}, {9, 10, 11}}, "new"}}};
}

std::vector<Message> samples()
{
    const MemberRecord record {"m", "z", "1.2.3.4:5", "1.2.3.4:6", 7, MemberState::Suspect};
    Heartbeat heartbeat;
    heartbeat.configurationRevision = 3;
    GrantWithReport grant;
    grant.grant = {"e", 3, 0.5, milliseconds(7), 1, milliseconds(9), false, {}};
    grant.report.boot = 11;
    grant.grant.contended = true;
    grant.grant.remoteUsage = {{3, 4}};
    Heartbeat heartbeatWithDigest = heartbeat;
    heartbeatWithDigest.blockedRequestsDigest = 12;
    return {
        Hello {protocolVersion, record},
        heartbeat,
        heartbeatWithDigest,
        MembershipUpdate {{record, record}, true},
        DocumentRequest {DocumentKind::VmList, 4},
        DocumentResponse {DocumentKind::Configuration, "{}"},
        DocumentResponse {DocumentKind::VmList, "", TextDelta {1, 2, 3, {{4, 5, 6}}, "new"}},
        LeaseRequests {{{"h", "e", 1, 2, {1, 2, 3, 4, 5, 6}, {{7, 2.5F, true, 8}}}}},
        LeaseGrants {{grant}},
        CrashReport {"p", 1, "e", 2, CrashStatus::Cleared},
        CrashReport {"", 1, "e", 2, CrashStatus::Suspected, {3, 4}},
        BlockedRequests {{{{"p", 1, "e", 2, CrashStatus::Suspected}, seconds(3)}}},
        PermitRequests {{{"s#1", "p", "e", 3, decision::OrderPhase::Draining, true, true}}},
        PermitAnswers {{{"e", 3, true, true, milliseconds(5), "why"}}},
        RouterReport {true,
                      9,
                      true,
                      {{"e", {1, 2, 3}}},
                      {{"s", 4, 5}},
                      {{"e", 6, routing::UpstreamObservation::Kind::Draining, milliseconds(7)}},
                      {{7, {8, 9}}},
                      {{"e", 1, 2.5, milliseconds(3)}, {"f", 1, std::nullopt, milliseconds(4)}},
                      17,
                      {{18'000'000'000'000'000'000U, 15, 1'012}, {20, 0, 0}}},
        ViewRequest {8},
        ViewChanges {{true, 1, 2, {{"k", std::string("\0v", 2), 2, false}, {"d", "", 3, true}}}},
        ViewChanges {{false, 1, 2, {deltaItem()}}},
        ViewChanges {{true, 0, 2, {{"k", std::string(5'000, 'v'), 2, false}}}},
        ZoneReport {"z",
                    true,
                    2,
                    {{"e", {1, 2, 3}}},
                    {{"s", 4, 5}},
                    {{7, {8}}},
                    {{"e", 1, 2.5, milliseconds(3)}},
                    {{"e", 6, routing::UpstreamObservation::Kind::Draining, milliseconds(7)}},
                    {{19, 15, 1'012}}},
        FleetReport {true,
                     5,
                     290,
                     8,
                     true,
                     {{"e", {1, 2, 3}}},
                     {{"s", 4, 5}},
                     {{"e", 6, routing::UpstreamObservation::Kind::Draining, milliseconds(7)}},
                     {{7, {8}}},
                     {{"e", 1, 2.5, milliseconds(3)}},
                     {"south", "west"},
                     {{19, 15, 1'012}}},
        ViewStatus {8, true},
        PlacementNotice {{{"e", {1, 2, 3}}}}};
}

/// Applies one to four random edits, each of which overwrites, removes or inserts bytes.
std::string mutate(std::string bytes, std::mt19937 &random)
{
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 3);
            break;
        default:
            bytes.insert(at, 1, static_cast<char>(random()));
        }
    }
    return bytes;
}

} // namespace

class MessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessagesTest);
    CPPUNIT_TEST(everyMessageRoundTrips);
    CPPUNIT_TEST(mutatedFramesNeverCrashTheDecoder);
    CPPUNIT_TEST(aFrameWithTrailingBytesIsRefused);
    CPPUNIT_TEST(anotherProtocolVersionIsRefused);
    CPPUNIT_TEST(aCrashReportOfAnOlderMemberIsRead);
    CPPUNIT_TEST(moreSpeedsThanUpstreamsAreRefused);
    CPPUNIT_TEST(mutatedDocumentsAndBodiesNeverCrashTheParsers);
    CPPUNIT_TEST(engineStreamsAreReadInChunksOfAnySize);
    CPPUNIT_TEST(theTableOfAllMembersIsCompressed);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyMessageRoundTrips()
    {
        for (const Message &message : samples()) {
            const auto decoded = decode(encode(message));
            CPPUNIT_ASSERT(decoded.ok());
            CPPUNIT_ASSERT(decoded.value() == message);
        }
    }

    void mutatedFramesNeverCrashTheDecoder()
    {
        std::mt19937 random(1);
        const std::vector<Message> messages = samples();
        int refused = 0;
        for (int input = 0; input < inputCount; ++input) {
            const std::string bytes = mutate(encode(messages[random() % messages.size()]), random);
            const auto decoded = decode(bytes);
            refused += decoded.ok() ? 0 : 1;
            if (decoded.ok()) {
                CPPUNIT_ASSERT(decode(encode(decoded.value())).ok());
            }
        }
        CPPUNIT_ASSERT(refused > inputCount / 10);
    }

    /// A report with a million speeds took memory before it was looked at.
    void moreSpeedsThanUpstreamsAreRefused()
    {
        FleetReport report;
        report.speeds.resize(decision::UpstreamSpeeds::maxUpstreams);
        CPPUNIT_ASSERT(decode(encode(report)).ok());
        report.speeds.resize(decision::UpstreamSpeeds::maxUpstreams + 1);
        CPPUNIT_ASSERT(!decode(encode(report)).ok());
    }

    void aFrameWithTrailingBytesIsRefused()
    {
        CPPUNIT_ASSERT(!decode(encode(samples().front()) + "x").ok());
        CPPUNIT_ASSERT(!decode("").ok());
    }

    void anotherProtocolVersionIsRefused()
    {
        std::string bytes = encode(DocumentRequest {});
        CPPUNIT_ASSERT_EQUAL(char(protocolVersion), bytes[1]);
        bytes[1] = 9;
        CPPUNIT_ASSERT(decode(bytes).error().message().find("version 9") != std::string::npos);
    }

    void aCrashReportOfAnOlderMemberIsRead()
    {
        const CrashReport report {"", 5, "e", 6, CrashStatus::Suspected};
        std::string bytes = encode(report);
        // The older format has no list of parts, which is the last of six fields.
        const std::size_t body = bytes.find('\x96');
        CPPUNIT_ASSERT(body != std::string::npos && bytes.back() == '\x90');
        bytes[body] = '\x95';
        bytes.pop_back();
        const auto decoded = decode(bytes);
        CPPUNIT_ASSERT(decoded.ok());
        CPPUNIT_ASSERT(decoded.value() == Message(report));
    }

    void mutatedDocumentsAndBodiesNeverCrashTheParsers()
    {
        std::mt19937 random(2);
        const std::string document = R"({"revision":1,"models":[{"name":"m"}],"exceptions":[
            {"workspace":"w","reason":"r","set":{"weight":2}}],"out":[{"zone":"z","reason":"r"}]})";
        const std::string body = R"({"model":"m","prompt":"x","stream":true,"max_tokens":5})";
        int faulty = 0;
        for (int input = 0; input < inputCount; ++input) {
            json::Faults faults;
            const auto json = json::parseText(mutate(document, random), faults);
            if (json) {
                configuration::parseDocument(*json, faults);
            }
            http::ServerRequest request;
            request.body = mutate(body, random);
            callers::parseCompletion(callers::CompletionKind::Text, request, faults);
            faulty += faults.empty() ? 0 : 1;
        }
        CPPUNIT_ASSERT(faulty > inputCount / 10);
    }

    void engineStreamsAreReadInChunksOfAnySize()
    {
        std::string stream;
        for (int token = 0; token < 50; ++token) {
            stream += "id: g:" + std::to_string(token) + "\ndata: {\"text\":\"t"
                + std::to_string(token) + "\"}\n\n";
        }
        stream += "data: [DONE]\n\n";
        std::mt19937 random(3);
        for (int round = 0; round < 200; ++round) {
            upstreams::SseReader reader;
            std::size_t tokens = 0;
            bool finished = false;
            for (std::size_t at = 0; at < stream.size();) {
                const std::size_t size = 1 + random() % 40;
                const upstreams::SseBatch batch = reader.read(stream.substr(at, size));
                for (const upstreams::TokenEvent &token : batch.tokens) {
                    CPPUNIT_ASSERT_EQUAL(decision::Tokens(tokens), token.offset);
                    tokens += 1;
                }
                CPPUNIT_ASSERT(!batch.malformed);
                finished = finished || batch.finished;
                at += size;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(50), tokens);
            CPPUNIT_ASSERT(finished);
        }
    }

    void theTableOfAllMembersIsCompressed()
    {
        constexpr std::size_t targetMembers = 910;
        constexpr std::size_t controlBytes = 20'480; // Of a node in five seconds, at 4 KB/s.
        MembershipUpdate update;
        update.complete = true;
        for (std::size_t index = 0; index < targetMembers; ++index) {
            const std::string host
                = "10." + std::to_string(index % 14) + ".0." + std::to_string(index / 14);
            update.records.push_back(
                {"edge-zone-" + std::to_string(index % 14) + "-" + std::to_string(index / 14),
                 "zone-" + std::to_string(index % 14), host + ":8180", host + ":8185",
                 1'778'896'676'000 + index * 7, MemberState::Alive});
        }
        const std::string payload = encode(update);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(payload.size()), payload.size() < controlBytes);
        CPPUNIT_ASSERT(decode(payload).value() == Message(update));
    }
};

REGISTER_SUITE(MessagesTest, "messages");

} // namespace azurespindle::members
