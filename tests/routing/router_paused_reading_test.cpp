#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

namespace azurespindle::routing {

using tests::RouterHarness;

/// Tests requests whose responses this process does not read for a while, for lack of memory.
class RouterPausedReadingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterPausedReadingTest);
    CPPUNIT_TEST(aResponseThatWaitsForMemoryIsNotSilent);
    CPPUNIT_TEST(aResponseThatIsReadAgainHasTimeToGoOn);
    CPPUNIT_TEST(aPauseDoesNotOutlastTheDeadline);
    CPPUNIT_TEST(aPauseOfAnEarlierAttemptIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->harness = std::make_unique<RouterHarness>();
        this->harness->configure();
        this->harness->addPlainUpstream("p1");
        this->harness->addPlainUpstream("p2");
        this->request = this->harness->sendRequest("/look/1");
        this->attempt = this->harness->lastEffect<StartAttempt>()->attempt;
    }

    void aResponseThatWaitsForMemoryIsNotSilent()
    {
        this->harness->handle(ReadingPaused {this->attempt, true});
        this->harness->advanceTime(milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->harness->countEffects<StartAttempt>());
    }

    void aResponseThatIsReadAgainHasTimeToGoOn()
    {
        this->harness->handle(ReadingPaused {this->attempt, true});
        this->harness->advanceTime(milliseconds(440));
        this->harness->handle(ReadingPaused {this->attempt, false});
        this->harness->advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->harness->countEffects<StartAttempt>());
        this->harness->advanceTime(milliseconds(260));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("silent again, now by itself", std::size_t(2),
                                     this->harness->countEffects<StartAttempt>());
    }

    void aPauseDoesNotOutlastTheDeadline()
    {
        this->harness->handle(ReadingPaused {this->attempt, true});
        this->harness->advanceTime(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(504, this->harness->lastReplyStatus());
    }

    void aPauseOfAnEarlierAttemptIsIgnored()
    {
        this->harness->advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->harness->countEffects<StartAttempt>());
        this->harness->handle(ReadingPaused {this->attempt, true});
        this->harness->endAttempt(this->request, AttemptEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->harness->countEffects<ForwardResponse>());
    }

private:
    std::unique_ptr<RouterHarness> harness;
    RequestId request = 0;
    AttemptId attempt;
};

REGISTER_SUITE(RouterPausedReadingTest, "router_paused_reading");

} // namespace azurespindle::routing
