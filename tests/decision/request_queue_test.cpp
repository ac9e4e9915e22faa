#include "decision/request_queue.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

const Instant start(seconds(100));

WaitingRequest makeRequest(RequestId id, Tokens memory, std::uint32_t priority = 1)
{
    return {id, "models", priority, start + milliseconds(id), memory, 0, 0, {}, false};
}

} // namespace

class RequestQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQueueTest);
    CPPUNIT_TEST(theOrderIsPriorityThenArrival);
    CPPUNIT_TEST(aRequestThatReturnsTakesItsPlaceAgain);
    CPPUNIT_TEST(aWorkspaceFarOverItsShareWaitsBehindTheOthers);
    CPPUNIT_TEST(aSmallerRequestIsTriedAfterOneThatDoesNotFit);
    CPPUNIT_TEST(anotherServiceIsNotHeldUp);
    CPPUNIT_TEST(aRequestWithOtherUpstreamsIsTried);
    CPPUNIT_TEST(aLargeRequestIsOvertakenABoundedNumberOfTimes);
    CPPUNIT_TEST(aPassTriesFewRequestsInVain);
    CPPUNIT_TEST(anArrivalOvertakesOnlyRequestsThatNeedMore);
    CPPUNIT_TEST_SUITE_END();

public:
    void theOrderIsPriorityThenArrival()
    {
        RequestQueue queue;
        queue.add(makeRequest(3, 100));
        queue.add(makeRequest(1, 100));
        queue.add(makeRequest(4, 100, 0));
        queue.add(makeRequest(2, 100));
        CPPUNIT_ASSERT((std::vector<RequestId> {4, 1, 2, 3}) == queue.ids());
        queue.remove(1);
        CPPUNIT_ASSERT((std::vector<RequestId> {4, 2, 3}) == queue.ids());
    }

    void aRequestThatReturnsTakesItsPlaceAgain()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 100));
        queue.add(makeRequest(2, 100));
        queue.remove(1);
        queue.add(makeRequest(1, 100));
        CPPUNIT_ASSERT((std::vector<RequestId> {1, 2}) == queue.ids());
    }

    void aWorkspaceFarOverItsShareWaitsBehindTheOthers()
    {
        RequestQueue queue;
        WaitingRequest large = makeRequest(1, 100);
        large.workspace = "large";
        queue.add(large);
        queue.add(makeRequest(2, 100));
        queue.add(makeRequest(4, 100, 2));
        queue.setWorkspacesBehind({"large"});
        CPPUNIT_ASSERT_MESSAGE("of its priority only",
                               (std::vector<RequestId> {2, 1, 4}) == queue.ids());
        large.id = 3;
        large.arrivedAt -= seconds(5);
        queue.add(large);
        CPPUNIT_ASSERT((std::vector<RequestId> {2, 3, 1, 4}) == queue.ids());
        queue.setWorkspacesBehind({});
        CPPUNIT_ASSERT((std::vector<RequestId> {3, 1, 2, 4}) == queue.ids());
    }

    void aSmallerRequestIsTriedAfterOneThatDoesNotFit()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 3'500));
        queue.add(makeRequest(2, 3'400));
        queue.add(makeRequest(3, 2'200));
        QueuePass pass(queue);
        CPPUNIT_ASSERT(pass.mayTry(*queue.find(1)));
        pass.recordMiss(*queue.find(1));
        CPPUNIT_ASSERT_MESSAGE("it needs about as much", !pass.mayTry(*queue.find(2)));
        CPPUNIT_ASSERT(pass.mayTry(*queue.find(3)));
    }

    void anotherServiceIsNotHeldUp()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 3'500));
        WaitingRequest other = makeRequest(2, 3'500);
        other.service = "desk";
        queue.add(other);
        QueuePass pass(queue);
        pass.recordMiss(*queue.find(1));
        CPPUNIT_ASSERT(pass.mayTry(*queue.find(2)));
    }

    /// A request that is restricted to a full region must not hold up those that are not.
    void aRequestWithOtherUpstreamsIsTried()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 100));
        WaitingRequest elsewhere = makeRequest(2, 100);
        elsewhere.constraints = 7;
        queue.add(elsewhere);
        QueuePass pass(queue);
        pass.recordMiss(*queue.find(1));
        CPPUNIT_ASSERT(pass.mayTry(*queue.find(2)));
        CPPUNIT_ASSERT(!queue.mustWaitBehindOthers(2));
    }

    /// A steady flow of small requests must not keep a large one waiting for ever.
    void aLargeRequestIsOvertakenABoundedNumberOfTimes()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 3'500));
        std::uint32_t overtakes = 0;
        for (RequestId id = 2; id < 40; ++id) {
            queue.add(makeRequest(id, 500));
            QueuePass pass(queue);
            pass.recordMiss(*queue.find(1));
            if (pass.mayTry(*queue.find(id))) {
                queue.remove(id);
                for (const RequestId passedOver : pass.passedOver("models")) {
                    queue.recordOvertake(passedOver);
                }
                overtakes += 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(RequestQueue::maxOvertakes, overtakes);
        queue.add(makeRequest(50, 100));
        CPPUNIT_ASSERT(queue.mustWaitBehindOthers(50));
    }

    /// Each try considers all upstreams; 512 requests of different sizes must not cost 512 tries.
    void aPassTriesFewRequestsInVain()
    {
        RequestQueue queue;
        for (RequestId id = 1; id <= RequestQueue::maxRequests; ++id) {
            queue.add(
                makeRequest(id, static_cast<Tokens>(1 + 2 * (RequestQueue::maxRequests - id))));
        }
        CPPUNIT_ASSERT(queue.isFull());
        QueuePass pass(queue);
        std::size_t tries = 0;
        for (const RequestId id : queue.ids()) {
            if (pass.mayTry(*queue.find(id))) {
                pass.recordMiss(*queue.find(id));
                tries += 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(QueuePass::maxMisses, tries);
    }

    void anArrivalOvertakesOnlyRequestsThatNeedMore()
    {
        RequestQueue queue;
        queue.add(makeRequest(1, 2'200));
        queue.add(makeRequest(2, 2'200));
        queue.add(makeRequest(3, 1'000));
        CPPUNIT_ASSERT(!queue.mustWaitBehindOthers(1));
        CPPUNIT_ASSERT(queue.mustWaitBehindOthers(2));
        CPPUNIT_ASSERT(!queue.mustWaitBehindOthers(3));
        CPPUNIT_ASSERT((std::vector<RequestId> {1, 2}) == queue.idsBefore(3));
    }
};

REGISTER_SUITE(RequestQueueTest, "request_queue");

} // namespace azurespindle::decision
