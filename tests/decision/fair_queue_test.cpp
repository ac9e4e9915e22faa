#include "decision/fair_queue.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

QueuedRequest queued(RequestId id, int expiresMs = 10'000, Priority priority = Priority::Standard)
{
    return {id, priority, Instant(), Instant(milliseconds(expiresMs))};
}

configuration::WorkspacePolicy policyWithWeight(double weight)
{
    configuration::WorkspacePolicy policy;
    policy.weight = weight;
    return policy;
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(workspacesAreServedInProportionToTheirWeights);
    CPPUNIT_TEST(anIdleWorkspaceGainsNoCredit);
    CPPUNIT_TEST(prioritiesApplyWithinAWorkspaceOnly);
    CPPUNIT_TEST(aFullQueueRejectsRequests);
    CPPUNIT_TEST(expiredRequestsAreRemoved);
    CPPUNIT_TEST(theNumberOfWorkspacesIsBounded);
    CPPUNIT_TEST(usageAtOtherProcessesIsCharged);
    CPPUNIT_TEST_SUITE_END();

public:
    void workspacesAreServedInProportionToTheirWeights()
    {
        FairQueue queue;
        queue.setPolicies(policyWithWeight(1.0), {{"heavy", policyWithWeight(3.0)}});
        RequestId id = 0;
        std::map<std::string, int> served;
        for (int turn = 0; turn < 400; ++turn) {
            for (const char *workspace : {"heavy", "light"}) {
                queue.push(workspace, queued(++id));
            }
            const RequestId first = queue.headRequests(1).front().id;
            const std::string workspace = first % 2 == 1 ? "heavy" : "light";
            queue.remove(workspace, first);
            queue.charge(workspace, 100.0);
            served[workspace] += 1;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300.0, served["heavy"], 5.0);
    }

    void anIdleWorkspaceGainsNoCredit()
    {
        FairQueue queue;
        for (RequestId id = 1; id <= 10; ++id) {
            queue.push("busy", queued(id));
            queue.remove("busy", id);
            queue.charge("busy", 1'000.0);
        }
        queue.push("busy", queued(20));
        queue.push("back", queued(21));
        queue.remove("back", 21);
        queue.charge("back", 500.0);
        queue.push("back", queued(22));
        CPPUNIT_ASSERT(queue.counter("back") >= queue.counter("busy"));
    }

    void prioritiesApplyWithinAWorkspaceOnly()
    {
        FairQueue queue;
        queue.push("a", queued(1));
        queue.charge("b", 10.0);
        queue.push("b", queued(2, 10'000, Priority::Interactive));
        queue.push("a", queued(3, 10'000, Priority::Interactive));
        const auto heads = queue.headRequests(2);
        CPPUNIT_ASSERT_EQUAL(RequestId(3), heads[0].id);
        CPPUNIT_ASSERT_EQUAL(RequestId(2), heads[1].id);
    }

    void aFullQueueRejectsRequests()
    {
        FairQueue queue;
        for (RequestId id = 1; id <= 256; ++id) {
            CPPUNIT_ASSERT(queue.push("a", queued(id)));
        }
        CPPUNIT_ASSERT(!queue.push("a", queued(257)));
        CPPUNIT_ASSERT(queue.push("b", queued(258)));
    }

    void expiredRequestsAreRemoved()
    {
        FairQueue queue;
        queue.push("a", queued(1, 100));
        queue.push("a", queued(2, 200));
        const auto expired = queue.takeExpired(Instant(milliseconds(150)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
        CPPUNIT_ASSERT_EQUAL(RequestId(1), expired.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.size());
    }

    void theNumberOfWorkspacesIsBounded()
    {
        FairQueue queue;
        for (RequestId id = 1; id <= 3 * FairQueue::maxWorkspaces; ++id) {
            const std::string workspace = "w" + std::to_string(id);
            queue.push(workspace, queued(id));
            queue.remove(workspace, id);
        }
        CPPUNIT_ASSERT(queue.workspaceCount() <= FairQueue::maxWorkspaces);
    }

    void usageAtOtherProcessesIsCharged()
    {
        FairQueue queue;
        queue.push("spread", queued(1));
        queue.push("concentrated", queued(2));
        queue.charge("concentrated", 100.0);
        CPPUNIT_ASSERT_EQUAL(RequestId(1), queue.headRequests(1).front().id);
        queue.chargeRemote({{workspaceKey("spread"), 800}, {workspaceKey("unknown"), 9}});
        CPPUNIT_ASSERT_EQUAL(RequestId(2), queue.headRequests(1).front().id);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(800.0, queue.counter("spread"), 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queue.workspaceCount());
    }
};

REGISTER_SUITE(FairQueueTest, "fair_queue");

} // namespace azurespindle::decision
