#include "routing/store_watcher.h"

#include "routing/fake_store_client.h"
#include "support/suite.h"

#include <atomic>
#include <memory>

namespace azurespindle::routing {
namespace {

using tests::failedResponse;
using tests::FakeStoreClient;
using tests::storeResponse;

/// A StoreWatcher over a fake store, with a record of its callbacks.
struct WatchedStore
{
    explicit WatchedStore(bool applies = true)
        : watcher(std::make_shared<StoreWatcher>(
            store.calls(),
            StoreWatcherHooks {[this, applies](const ViewUpdate &update, std::size_t) {
                                   updates.push_back(update);
                                   return applies;
                               },
                               [this] { outages += 1; }, [this](microseconds) { recoveries += 1; }},
            timers))
    {
        timers.start();
    }

    ~WatchedStore()
    {
        watcher->setActive(false);
        timers.stop();
    }

    FakeStoreClient store;
    timer::TimerService timers;
    std::vector<ViewUpdate> updates;
    std::atomic<int> outages {0};
    std::atomic<int> recoveries {0};
    std::shared_ptr<StoreWatcher> watcher;
};

} // namespace

class StoreWatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatcherTest);
    CPPUNIT_TEST(pagesAreMergedAndTheWatchStartsAtTheFirstPagesRevision);
    CPPUNIT_TEST(compactedHistoryLeadsToANewListing);
    CPPUNIT_TEST(anOutageIsReportedOnceAndCallsAreRetried);
    CPPUNIT_TEST(anUpdateThatIsNotAppliedLeadsToANewListing);
    CPPUNIT_TEST(aPausedWatcherMakesNoCalls);
    CPPUNIT_TEST(changesKnownFromPeersAreNotRequested);
    CPPUNIT_TEST(changesInQuickSuccessionAreCoalesced);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against missed changes: the pages of a listing are no consistent snapshot, so a
    /// change made between two of them must be watched for.
    void pagesAreMergedAndTheWatchStartsAtTheFirstPagesRevision()
    {
        WatchedStore watched;
        watched.watcher->setActive(true);
        FakeStoreClient::Call call = watched.store.takeCall();
        CPPUNIT_ASSERT(call.isListing && call.after.empty());
        call.handler(storeResponse(10, {{"a", "1", 3, false}}, true));
        call = watched.store.takeCall();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call.after);
        call.handler(storeResponse(12, {{"b", "2", 11, false}}));
        call = watched.store.takeCall();
        CPPUNIT_ASSERT(!call.isListing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), call.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), watched.updates.size());
        CPPUNIT_ASSERT(watched.updates[0].isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), watched.updates[0].items.size());
    }

    void compactedHistoryLeadsToANewListing()
    {
        WatchedStore watched;
        watched.watcher->setActive(true);
        watched.store.takeCall().handler(storeResponse(10, {}));
        watched.store.takeCall().handler(failedResponse(StoreCallStatus::Compacted));
        CPPUNIT_ASSERT(watched.store.takeCall().isListing);
        CPPUNIT_ASSERT_EQUAL(0, watched.outages.load());
    }

    void anOutageIsReportedOnceAndCallsAreRetried()
    {
        WatchedStore watched;
        watched.watcher->setActive(true);
        watched.store.takeCall().handler(storeResponse(10, {}));
        for (const StoreCallStatus status : {StoreCallStatus::Failed, StoreCallStatus::Refused}) {
            watched.store.takeCall().handler(failedResponse(status));
        }
        FakeStoreClient::Call call = watched.store.takeCall();
        CPPUNIT_ASSERT_EQUAL(1, watched.outages.load());
        CPPUNIT_ASSERT(watched.watcher->storeUnavailable());
        CPPUNIT_ASSERT(!call.isListing);
        call.handler(storeResponse(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT_EQUAL(1, watched.recoveries.load());
        CPPUNIT_ASSERT(watched.watcher->isReceiving());
    }

    void anUpdateThatIsNotAppliedLeadsToANewListing()
    {
        WatchedStore watched(false);
        watched.watcher->setActive(true);
        watched.store.takeCall().handler(storeResponse(10, {}));
        watched.store.takeCall().handler(storeResponse(12, {{"a", "1", 12, false}}));
        CPPUNIT_ASSERT(watched.store.takeCall().isListing);
    }

    void aPausedWatcherMakesNoCalls()
    {
        WatchedStore watched;
        watched.watcher->setActive(true);
        FakeStoreClient::Call call = watched.store.takeCall();
        watched.watcher->setActive(false);
        call.handler(storeResponse(10, {}));
        CPPUNIT_ASSERT(!watched.store.takeCall(milliseconds(200)).handler);
        CPPUNIT_ASSERT(!watched.watcher->isReceiving());
        watched.watcher->setActive(true);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), watched.store.takeCall().revision);
    }

    void changesKnownFromPeersAreNotRequested()
    {
        WatchedStore watched;
        watched.watcher->noteKnownRevision(40);
        watched.watcher->setActive(true);
        const FakeStoreClient::Call call = watched.store.takeCall();
        CPPUNIT_ASSERT(!call.isListing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), call.revision);
    }

    /// Guards against a call for each change when several engines drain at once, as each of them
    /// writes its record.
    void changesInQuickSuccessionAreCoalesced()
    {
        WatchedStore watched;
        watched.watcher->setActive(true);
        watched.store.takeCall().handler(storeResponse(10, {}));
        const FakeStoreClient::Call first = watched.store.takeCall();
        const Instant respondedAt = monotonicNow();
        first.handler(storeResponse(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT(watched.store.takeCall().handler);
        CPPUNIT_ASSERT(monotonicNow() - respondedAt
                       >= StoreWatcher::coalescingDelay - milliseconds(5));
    }
};

REGISTER_SUITE(StoreWatcherTest, "store_watcher");

} // namespace azurespindle::routing
