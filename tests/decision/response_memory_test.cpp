#include "decision/response_memory.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

/// Room for 800 bytes of large responses, and 200 more for small ones.
constexpr ResponseMemoryLimits limits {1'000, 200, 10};

ResponseKey response(RequestId request)
{
    return {request, 1};
}

} // namespace

class ResponseMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseMemoryTest);
    CPPUNIT_TEST(moreThanTheLimitIsNeverGranted);
    CPPUNIT_TEST(aReleaseLetsTheFirstThatWaitsContinue);
    CPPUNIT_TEST(aReleaseOfOneThatWaitsForgetsIt);
    CPPUNIT_TEST(aLargeResponseIsNotOvertakenForEver);
    CPPUNIT_TEST(smallResponsesAreNotDelayedByLargeOnesOrUnsentBytes);
    CPPUNIT_TEST(unsentBytesCountUntilTheyAreSent);
    CPPUNIT_TEST(oneThatHoldsMemoryIsServedBeforeNewOnes);
    CPPUNIT_TEST(responsesThatWaitForEachOtherAreResolved);
    CPPUNIT_TEST(noResponseIsGivenUpWhileAnotherProceedsOrBytesAreUnsent);
    CPPUNIT_TEST(aThousandResponsesAllGetTheirTurn);
    CPPUNIT_TEST(manyThatBeganSmallDoNotWaitForEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
    void moreThanTheLimitIsNeverGranted()
    {
        ResponseMemory memory(limits);
        CPPUNIT_ASSERT(memory.request(response(1), 500, 0));
        CPPUNIT_ASSERT(memory.request(response(2), 300, 0));
        CPPUNIT_ASSERT(!memory.request(response(3), 11, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(800), memory.grantedBytes());
        CPPUNIT_ASSERT(memory.grantWaiting(0).empty());
        CPPUNIT_ASSERT(memory.isShort(0));
    }

    void aReleaseLetsTheFirstThatWaitsContinue()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 800, 0);
        memory.request(response(2), 400, 0);
        memory.request(response(3), 400, 0);
        memory.request(response(4), 400, 0);
        memory.release(response(1));
        const std::vector<ResponseKey> expected {response(2), response(3)};
        CPPUNIT_ASSERT(expected == memory.grantWaiting(0));
        CPPUNIT_ASSERT_MESSAGE("granted once, it is asked for again",
                               memory.request(response(2), 400, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), memory.waitingCount());
    }

    void aReleaseOfOneThatWaitsForgetsIt()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 800, 0);
        memory.request(response(2), 400, 0);
        memory.release(response(2));
        memory.release(response(2));
        memory.release(response(1));
        CPPUNIT_ASSERT(memory.grantWaiting(0).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.grantedBytes());
        CPPUNIT_ASSERT(!memory.isShort(0));
    }

    void aLargeResponseIsNotOvertakenForEver()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 500, 0);
        CPPUNIT_ASSERT(!memory.request(response(2), 700, 0));
        CPPUNIT_ASSERT_MESSAGE("it would fit, but another waits",
                               !memory.request(response(3), 100, 0));
        memory.release(response(1));
        CPPUNIT_ASSERT(response(2) == memory.grantWaiting(0).front());
    }

    void smallResponsesAreNotDelayedByLargeOnesOrUnsentBytes()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 800, 0);
        memory.request(response(2), 800, 0);
        for (RequestId small = 10; small < 30; ++small) {
            CPPUNIT_ASSERT(memory.request(response(small), 10, 100'000));
        }
        CPPUNIT_ASSERT_MESSAGE("they are bounded as well", !memory.request(response(30), 10, 0));
        memory.release(response(10));
        const std::vector<ResponseKey> expected {response(30)};
        CPPUNIT_ASSERT(expected == memory.grantWaiting(0));
    }

    void unsentBytesCountUntilTheyAreSent()
    {
        ResponseMemory memory(limits);
        CPPUNIT_ASSERT(!memory.request(response(1), 400, 401));
        CPPUNIT_ASSERT(memory.grantWaiting(401).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), memory.grantWaiting(400).size());
    }

    void oneThatHoldsMemoryIsServedBeforeNewOnes()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 400, 0);
        memory.request(response(2), 400, 0);
        CPPUNIT_ASSERT(!memory.request(response(3), 400, 0));
        CPPUNIT_ASSERT(!memory.request(response(2), 800, 0));
        memory.release(response(1));
        const std::vector<ResponseKey> expected {response(2)};
        CPPUNIT_ASSERT(expected == memory.grantWaiting(0));
    }

    void responsesThatWaitForEachOtherAreResolved()
    {
        ResponseMemory memory(limits);
        for (RequestId each = 1; each <= 4; ++each) {
            CPPUNIT_ASSERT(memory.request(response(each), 200, 0));
        }
        for (RequestId each = 4; each >= 1; --each) {
            CPPUNIT_ASSERT(!memory.request(response(each), 400, 0));
        }
        CPPUNIT_ASSERT_MESSAGE("the last to come", response(4) == memory.blocker());
        memory.release(response(4));
        CPPUNIT_ASSERT(response(1) == memory.grantWaiting(0).front());
        CPPUNIT_ASSERT(!memory.blocker());
    }

    void noResponseIsGivenUpWhileAnotherProceedsOrBytesAreUnsent()
    {
        ResponseMemory memory(limits);
        memory.request(response(1), 400, 0);
        memory.request(response(2), 400, 0);
        memory.request(response(1), 600, 0);
        CPPUNIT_ASSERT_MESSAGE("the second proceeds", !memory.blocker());
        memory.release(response(2));
        CPPUNIT_ASSERT(memory.grantWaiting(300).empty());
        CPPUNIT_ASSERT_MESSAGE("the unsent bytes will be sent", !memory.blocker());
    }

    void aThousandResponsesAllGetTheirTurn()
    {
        constexpr RequestId count = 1'000;
        ResponseMemory memory(limits);
        std::vector<ResponseKey> receiving;
        for (RequestId each = 1; each <= count; ++each) {
            if (memory.request(response(each), 300, 0)) {
                receiving.push_back(response(each));
            }
        }
        std::size_t finished = 0;
        while (!receiving.empty()) {
            memory.release(receiving.back());
            receiving.pop_back();
            finished += 1;
            for (const ResponseKey &key : memory.grantWaiting(0)) {
                receiving.push_back(key);
            }
            CPPUNIT_ASSERT(memory.grantedBytes() <= limits.total);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.grantedBytes());
    }

    void manyThatBeganSmallDoNotWaitForEachOther()
    {
        // All memory of small responses is held by such that grow.
        constexpr RequestId count = 20;
        ResponseMemory memory(limits);
        for (RequestId each = 1; each <= count; ++each) {
            CPPUNIT_ASSERT(memory.request(response(each), 10, 0));
        }
        std::vector<ResponseKey> growing;
        for (RequestId each = 1; each <= count; ++each) {
            if (memory.request(response(each), 400, 0)) {
                growing.push_back(response(each));
            }
        }
        std::size_t finished = 0;
        while (!growing.empty()) {
            memory.release(growing.back());
            growing.pop_back();
            finished += 1;
            for (const ResponseKey &key : memory.grantWaiting(0)) {
                growing.push_back(key);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.grantedBytes());
    }
};

REGISTER_SUITE(ResponseMemoryTest, "response_memory");

} // namespace azurespindle::decision
