#include "members/coordinator.h"

#include "support/fleet.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <thread>

namespace azurespindle::members {

using tests::Answer;
using tests::Fleet;
using tests::streamFault;

namespace {

constexpr std::size_t lengthBytes = 4;

std::string frame(const Message &message)
{
    const std::string payload = encode(message);
    std::string bytes;
    for (std::size_t byte = lengthBytes; byte > 0; --byte) {
        bytes += static_cast<char>(payload.size() >> (8U * (byte - 1)));
    }
    return bytes + payload;
}

/// Returns the messages of the complete frames in \a bytes.
std::vector<Message> messagesIn(const std::string &bytes)
{
    std::vector<Message> messages;
    std::size_t at = 0;
    while (at + lengthBytes <= bytes.size()) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < lengthBytes; ++byte) {
            length = (length << 8U) | static_cast<unsigned char>(bytes[at + byte]);
        }
        if (at + lengthBytes + length > bytes.size()) {
            break;
        }
        messages.push_back(decode(bytes.substr(at + lengthBytes, length)).takeValue());
        at += lengthBytes + length;
    }
    return messages;
}

} // namespace

/// Tests of a fleet of three entry processes in three zones, which all tests but one share.
class CoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoordinatorTest);
    CPPUNIT_TEST(everyMemberSeesAllOthersAlive);
    CPPUNIT_TEST(aConfigurationReachesAllMembersWhileTheServiceIsDown);
    CPPUNIT_TEST(aStaleServiceDoesNotRollBackTheConfiguration);
    CPPUNIT_TEST(anInvalidConfigurationIsRefusedAsAWholeAndReported);
    CPPUNIT_TEST(aCallerResumesItsStreamAtAnotherMember);
    CPPUNIT_TEST(aKeyedCallSentToEveryMemberRunsOnce);
    CPPUNIT_TEST(aZoneMarkedOutGetsNoNewRequests);
    CPPUNIT_TEST(membersTogetherDoNotOverloadColdEngines);
    CPPUNIT_TEST(anInvalidFrameClosesOnlyItsConnection);
    CPPUNIT_TEST(aDocumentOnItsWayIsNotRequestedAgain);
    CPPUNIT_TEST(aMemberThatLeftIsRemovedAndItsKeysDoNotRunElsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        if (shared == nullptr) {
            shared = std::make_unique<Fleet>(18'200, 3, 3);
        }
    }

    void tearDown() override
    {
        finishedTests += 1;
        if (finishedTests == testCount) {
            shared.reset();
        }
    }

    void everyMemberSeesAllOthersAlive()
    {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            CPPUNIT_ASSERT(
                Fleet::eventually([&] { return countInStatus(entry, "\"alive\"") == 3; }));
        }
    }

    void aConfigurationReachesAllMembersWhileTheServiceIsDown()
    {
        // The service goes down as soon as one member has read the configuration, so that the
        // others can get it only from that member.
        shared->configure(R"("exceptions":[{"workspace":"w","reason":"test","set":{"weight":3}}])");
        const auto hasConfiguration = [](std::size_t entry) {
            return shared->get(entry, "/configuration?workspace=w").body.find("\"weight\": 3.0")
                != std::string::npos;
        };
        CPPUNIT_ASSERT(Fleet::eventually(
            [&] { return hasConfiguration(0) || hasConfiguration(1) || hasConfiguration(2); }));
        setPlatformFault("down");
        const Instant startTime = monotonicNow();
        const bool reachedAll = Fleet::eventually(
            [&] { return hasConfiguration(0) && hasConfiguration(1) && hasConfiguration(2); });
        setPlatformFault("up");
        CPPUNIT_ASSERT(reachedAll);
        CPPUNIT_ASSERT(monotonicNow() - startTime < seconds(5));
    }

    void aStaleServiceDoesNotRollBackTheConfiguration()
    {
        const std::string before = revision(0);
        shared->configure("");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return revision(0) != before; }));
        const std::string newestRevision = revision(0);
        setPlatformFault("stale");
        std::this_thread::sleep_for(milliseconds(1'500));
        setPlatformFault("fresh");
        for (std::size_t entry = 0; entry < 3; ++entry) {
            CPPUNIT_ASSERT_EQUAL(newestRevision, revision(entry));
        }
    }

    void anInvalidConfigurationIsRefusedAsAWholeAndReported()
    {
        const std::string before = revision(0);
        shared->configure(R"("exceptions":[{"workspace":"w","set":{"weight":-1}}])");
        CPPUNIT_ASSERT(Fleet::eventually([&] {
            const std::string status = shared->get(0, "/status").body
                + shared->get(1, "/status").body + shared->get(2, "/status").body;
            return status.find("$.exceptions[0].reason") != std::string::npos
                && status.find("$.exceptions[0].set.weight: found -1") != std::string::npos;
        }));
        CPPUNIT_ASSERT_EQUAL(before, revision(0));
        shared->configure("");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return revision(2) != before; }));
    }

    void aCallerResumesItsStreamAtAnotherMember()
    {
        tests::Streaming first(*shared, 0, 2'000, {{"x-workspace", "gates"}});
        const std::string partialStream = first.hangUp();
        // A generation whose caller hangs up is cancelled; only one whose entry process dies runs
        // on. Resuming is therefore tested with a second generation: its stream is cut here, and
        // the stand-in engine keeps it for a grace period.
        CPPUNIT_ASSERT(!partialStream.empty());
        tests::Streaming second(*shared, 0, 3'000, {{"x-workspace", "gates"}});
        const std::string fullStream = second.wait();
        const std::string interrupted = fullStream.substr(0, fullStream.find("/1500\n") + 6);
        const Answer rest = shared->get(
            1, "/v1/completions",
            {{"x-workspace", "gates"}, {"last-event-id", tests::lastEventId(interrupted)}});
        CPPUNIT_ASSERT_EQUAL(200, rest.status);
        const std::string fault = streamFault(interrupted + rest.body, 3'000);
        CPPUNIT_ASSERT_MESSAGE(fault, fault.empty());
        const Answer otherWorkspace = shared->get(
            1, "/v1/completions",
            {{"x-workspace", "other"}, {"last-event-id", tests::lastEventId(interrupted)}});
        CPPUNIT_ASSERT_EQUAL(404, otherWorkspace.status);
    }

    void aKeyedCallSentToEveryMemberRunsOnce()
    {
        const http::Headers withKey {{"idempotency-key", mintKey(1)}};
        for (int round = 0; round < 2; ++round) {
            for (std::size_t entry = 0; entry < 3; ++entry) {
                const Answer answer = shared->call(entry, "/services/orders/new", "keyed", withKey);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared->serviceRuns("keyed"));
    }

    void aZoneMarkedOutGetsNoNewRequests()
    {
        shared->configure(R"("out":[{"zone":"north","reason":"test"}])");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return shared->get(0, "/readyz").status == 503; }));
        const std::string explained = shared->get(0, "/explain?id=configuration").body;
        const bool explainsReason
            = explained.find("zone north marked out: test") != std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(explained, explainsReason);
        std::this_thread::sleep_for(milliseconds(500));
        const std::string before = shared->engineCounts(0);
        for (int call = 0; call < 30; ++call) {
            const std::size_t entry = static_cast<std::size_t>(call) % 3;
            CPPUNIT_ASSERT_EQUAL(200, shared->generate(entry, 3).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, shared->engineCounts(0));
        shared->configure("");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return shared->get(0, "/readyz").status == 200; }));
    }

    void membersTogetherDoNotOverloadColdEngines()
    {
        standins::EngineOptions cold = Fleet::quickEngine();
        cold.startsWarm = false;
        cold.baseStep = milliseconds(5);
        cold.coldBearable = 5.0;
        cold.collapseFactor = 1.2;
        cold.collapseAdmissions = 1;
        Fleet fleet(18'300, 3, 2, cold);
        std::vector<std::unique_ptr<tests::Streaming>> streams;
        for (std::size_t call = 0; call < 60; ++call) {
            streams.push_back(std::make_unique<tests::Streaming>(fleet, call % 3, 40));
        }
        for (const auto &streaming : streams) {
            const std::string fault = streamFault(streaming->wait(), 40);
            CPPUNIT_ASSERT_MESSAGE(fault, fault.empty());
        }
        for (std::size_t engine = 0; engine < 2; ++engine) {
            const std::string counts = fleet.engineCounts(engine);
            CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"collapses\":0") != std::string::npos);
        }
    }

    void anInvalidFrameClosesOnlyItsConnection()
    {
        const std::uint16_t port = shared->entry(0).memberPort();
        for (const std::string &bytes :
             {std::string("\xff\xff\xff\xff"), std::string("\0\0\0\4junk", 8),
              std::string("\0\0\0\1\xc1", 5), std::string("\0\0\0\0", 4),
              std::string("GET / HTTP/1.1\r\n\r\n")}) {
            const tests::RawConnection connection(port);
            connection.send(bytes);
            CPPUNIT_ASSERT(connection.closedWithin(milliseconds(2'000)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), countInStatus(0, "\"alive\""));
        CPPUNIT_ASSERT_EQUAL(200, shared->generate(0, 3).status);
    }

    void aDocumentOnItsWayIsNotRequestedAgain()
    {
        Fleet fleet(18'350, 1, 1);
        const tests::RawConnection peer(fleet.entry(0).memberPort());
        Hello hello;
        hello.self = {"peer", "south", "127.0.0.1:1", "127.0.0.1:2", 1, MemberState::Alive};
        Heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.configurationRevision = 99;
        peer.send(frame(hello));
        for (int sent = 0; sent < 3; ++sent) {
            peer.send(frame(heartbeat));
            std::this_thread::sleep_for(milliseconds(100));
        }
        std::size_t requests = 0;
        for (const Message &message : messagesIn(peer.readAll(milliseconds(300)))) {
            const auto *request = std::get_if<DocumentRequest>(&message);
            requests += request != nullptr && request->kind == DocumentKind::Configuration ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests);
    }

    void aMemberThatLeftIsRemovedAndItsKeysDoNotRunElsewhere()
    {
        const http::Headers withKey {{"idempotency-key", mintKey(2)}};
        shared->entry(2).stopGracefully();
        shared->stopEntry(2);
        CPPUNIT_ASSERT(Fleet::eventually([&] { return countInStatus(0, "\"left\"") == 1; }));
        const Answer answer = shared->call(0, "/services/orders/new", "orphan", withKey);
        CPPUNIT_ASSERT_MESSAGE(answer.body,
                               answer.body.find("\"outcome\":\"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shared->serviceRuns("orphan"));
        CPPUNIT_ASSERT_EQUAL(200, shared->generate(1, 3).status);
    }

private:
    static constexpr int testCount = 11;
    static inline int finishedTests = 0;
    static inline std::unique_ptr<Fleet> shared;

    static std::size_t countInStatus(std::size_t entry, const std::string &text)
    {
        const std::string status = shared->get(entry, "/status").body;
        std::size_t found = 0;
        for (std::size_t at = status.find(text); at != std::string::npos;
             at = status.find(text, at + 1)) {
            found += 1;
        }
        return found;
    }

    static std::string revision(std::size_t entry)
    {
        const std::string text = shared->get(entry, "/configuration").body;
        return text.substr(0, text.find(','));
    }

    static std::string mintKey(std::size_t entry)
    {
        const std::string body = shared->call(entry, "/v1/idempotency-keys", "").body;
        const std::size_t at = body.find("\"key\":\"") + 7;
        return body.substr(at, body.find('"', at) - at);
    }

    static void setPlatformFault(const std::string &kind)
    {
        std::string body;
        http::ClientRequest request;
        request.url = "http://127.0.0.1:18200/faults?kind=" + kind;
        http::fetch(request, body);
    }
};

REGISTER_SUITE(CoordinatorTest, "coordinator");

} // namespace azurespindle::members
