#include "members/coordinator.h"

#include "support/fleet.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <thread>

namespace azurespindle::members {

using tests::Answer;
using tests::Fleet;
using tests::streamFault;

/// Three entry processes in three zones, which act as one.
class CoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoordinatorTest);
    CPPUNIT_TEST(everyMemberSeesEveryOther);
    CPPUNIT_TEST(aConfigurationIsInForceEverywhereAlsoWhenTheServiceIsDown);
    CPPUNIT_TEST(aStaleServiceTakesNothingBack);
    CPPUNIT_TEST(aBadConfigurationIsRefusedWholeAndShown);
    CPPUNIT_TEST(aCallerGoesOnAtAnotherMember);
    CPPUNIT_TEST(aKeyedCallSentToEveryMemberRunsOnce);
    CPPUNIT_TEST(aZoneMarkedOutGetsNoNewWork);
    CPPUNIT_TEST(aColdEngineIsSharedByTheMembers);
    CPPUNIT_TEST(aFrameThatDoesNotParseCostsOnlyItsConnection);
    CPPUNIT_TEST(aStoppedMemberIsRemovedAndItsKeysAreNotRunElsewhere);
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
        started += 1;
        if (started == testCount) {
            shared.reset();
        }
    }

    void everyMemberSeesEveryOther()
    {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            CPPUNIT_ASSERT(Fleet::eventually([&] { return count(entry, "\"alive\"") == 3; }));
        }
    }

    void aConfigurationIsInForceEverywhereAlsoWhenTheServiceIsDown()
    {
        // Publish, and take the service down as soon as one member has read it.
        shared->configure(R"("exceptions":[{"workspace":"w","reason":"test","set":{"weight":3}}])");
        const auto knows = [](std::size_t entry) {
            return shared->get(entry, "/configuration?workspace=w").body.find("\"weight\": 3.0")
                != std::string::npos;
        };
        CPPUNIT_ASSERT(Fleet::eventually([&] { return knows(0) || knows(1) || knows(2); }));
        platformFault("down");
        const Instant begin = monotonicNow();
        const bool all = Fleet::eventually([&] { return knows(0) && knows(1) && knows(2); });
        platformFault("up");
        CPPUNIT_ASSERT(all);
        CPPUNIT_ASSERT(monotonicNow() - begin < seconds(5));
    }

    void aStaleServiceTakesNothingBack()
    {
        const std::string before = revision(0);
        shared->configure("");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return revision(0) != before; }));
        const std::string newest = revision(0);
        platformFault("stale");
        std::this_thread::sleep_for(milliseconds(1'500));
        platformFault("fresh");
        for (std::size_t entry = 0; entry < 3; ++entry) {
            CPPUNIT_ASSERT_EQUAL(newest, revision(entry));
        }
    }

    void aBadConfigurationIsRefusedWholeAndShown()
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

    void aCallerGoesOnAtAnotherMember()
    {
        tests::Streaming first(*shared, 0, 2'000, {{"x-workspace", "gates"}});
        const std::string begun = first.hangUp();
        // The generation was cancelled with its caller; one whose entry process died runs on. So
        // the stand-in's own grace is what is tested: cut the engine's side only.
        CPPUNIT_ASSERT(!begun.empty());
        tests::Streaming second(*shared, 0, 3'000, {{"x-workspace", "gates"}});
        const std::string whole = second.wait();
        const std::string middle = whole.substr(0, whole.find("/1500\n") + 6);
        const Answer rest = shared->get(
            1, "/v1/completions",
            {{"x-workspace", "gates"}, {"last-event-id", tests::lastEventId(middle)}});
        CPPUNIT_ASSERT_EQUAL(200, rest.status);
        const std::string wrong = streamFault(middle + rest.body, 3'000);
        CPPUNIT_ASSERT_MESSAGE(wrong, wrong.empty());
        const Answer stranger = shared->get(
            1, "/v1/completions",
            {{"x-workspace", "other"}, {"last-event-id", tests::lastEventId(middle)}});
        CPPUNIT_ASSERT_EQUAL(404, stranger.status);
    }

    void aKeyedCallSentToEveryMemberRunsOnce()
    {
        const http::Headers keyed {{"idempotency-key", mint(1)}};
        for (int round = 0; round < 2; ++round) {
            for (std::size_t entry = 0; entry < 3; ++entry) {
                const Answer answer = shared->call(entry, "/services/orders/new", "keyed", keyed);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared->serviceRuns("keyed"));
    }

    void aZoneMarkedOutGetsNoNewWork()
    {
        shared->configure(R"("out":[{"zone":"north","reason":"test"}])");
        CPPUNIT_ASSERT(Fleet::eventually([&] { return shared->get(0, "/readyz").status == 503; }));
        const std::string explained = shared->get(0, "/explain?id=configuration").body;
        const bool told = explained.find("zone north marked out: test") != std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(explained, told);
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

    void aColdEngineIsSharedByTheMembers()
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
            const std::string wrong = streamFault(streaming->wait(), 40);
            CPPUNIT_ASSERT_MESSAGE(wrong, wrong.empty());
        }
        for (std::size_t engine = 0; engine < 2; ++engine) {
            const std::string counts = fleet.engineCounts(engine);
            CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"collapses\":0") != std::string::npos);
        }
    }

    void aFrameThatDoesNotParseCostsOnlyItsConnection()
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
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(0, "\"alive\""));
        CPPUNIT_ASSERT_EQUAL(200, shared->generate(0, 3).status);
    }

    void aStoppedMemberIsRemovedAndItsKeysAreNotRunElsewhere()
    {
        const http::Headers keyed {{"idempotency-key", mint(2)}};
        shared->entry(2).stopGracefully();
        shared->stopEntry(2);
        CPPUNIT_ASSERT(Fleet::eventually([&] { return count(0, "\"left\"") == 1; }));
        const Answer answer = shared->call(0, "/services/orders/new", "orphan", keyed);
        CPPUNIT_ASSERT_MESSAGE(answer.body,
                               answer.body.find("\"outcome\":\"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shared->serviceRuns("orphan"));
        CPPUNIT_ASSERT_EQUAL(200, shared->generate(1, 3).status);
    }

private:
    static constexpr int testCount = 10;
    static inline int started = 0;
    static inline std::unique_ptr<Fleet> shared;

    static std::size_t count(std::size_t entry, const std::string &text)
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

    static std::string mint(std::size_t entry)
    {
        const std::string body = shared->call(entry, "/v1/idempotency-keys", "").body;
        const std::size_t at = body.find("\"key\":\"") + 7;
        return body.substr(at, body.find('"', at) - at);
    }

    static void platformFault(const std::string &kind)
    {
        std::string body;
        http::ClientRequest request;
        request.url = "http://127.0.0.1:18200/faults?kind=" + kind;
        http::fetch(request, body);
    }
};

REGISTER_SUITE(CoordinatorTest, "coordinator");

} // namespace azurespindle::members
