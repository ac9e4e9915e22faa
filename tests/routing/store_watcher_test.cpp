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

/// A reader over a store that is played by hand.
struct Reading
{
    explicit Reading(bool keepsUp = true)
        : reader(std::make_shared<StoreWatcher>(
            store.calls(),
            StoreWatcherHooks {[this, keepsUp](const ViewUpdate &update) {
                                   updates.push_back(update);
                                   return keepsUp;
                               },
                               [this] { lost += 1; }, [this](microseconds) { back += 1; }},
            timers))
    {
        timers.start();
    }

    ~Reading()
    {
        reader->setActive(false);
        timers.stop();
    }

    FakeStoreClient store;
    timer::TimerService timers;
    std::vector<ViewUpdate> updates;
    std::atomic<int> lost {0};
    std::atomic<int> back {0};
    std::shared_ptr<StoreWatcher> reader;
};

} // namespace

class StoreWatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatcherTest);
    CPPUNIT_TEST(pagesAreJoinedAndWatchedFromTheFirstOn);
    CPPUNIT_TEST(aHistoryThatIsGoneIsListedAnew);
    CPPUNIT_TEST(anOutageIsToldOnceAndTriedAgain);
    CPPUNIT_TEST(aGapIsListedAnew);
    CPPUNIT_TEST(aPausedReaderMakesNoCall);
    CPPUNIT_TEST(whatOthersToldIsNotReadAgain);
    CPPUNIT_TEST(changesThatComeTogetherCostOneCall);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Pages are no snapshot: what changes between two of them must not be missed.
    void pagesAreJoinedAndWatchedFromTheFirstOn()
    {
        Reading reading;
        reading.reader->setActive(true);
        FakeStoreClient::Call call = reading.store.takeCall();
        CPPUNIT_ASSERT(call.isListing && call.after.empty());
        call.handler(storeResponse(10, {{"a", "1", 3, false}}, true));
        call = reading.store.takeCall();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call.after);
        call.handler(storeResponse(12, {{"b", "2", 11, false}}));
        call = reading.store.takeCall();
        CPPUNIT_ASSERT(!call.isListing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), call.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading.updates.size());
        CPPUNIT_ASSERT(reading.updates[0].isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reading.updates[0].items.size());
    }

    void aHistoryThatIsGoneIsListedAnew()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.takeCall().handler(storeResponse(10, {}));
        reading.store.takeCall().handler(failedResponse(StoreCallStatus::Compacted));
        CPPUNIT_ASSERT(reading.store.takeCall().isListing);
        CPPUNIT_ASSERT_EQUAL(0, reading.lost.load());
    }

    void anOutageIsToldOnceAndTriedAgain()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.takeCall().handler(storeResponse(10, {}));
        for (const StoreCallStatus status : {StoreCallStatus::Failed, StoreCallStatus::Refused}) {
            reading.store.takeCall().handler(failedResponse(status));
        }
        FakeStoreClient::Call call = reading.store.takeCall();
        CPPUNIT_ASSERT_EQUAL(1, reading.lost.load());
        CPPUNIT_ASSERT(reading.reader->storeUnavailable());
        CPPUNIT_ASSERT(!call.isListing);
        call.handler(storeResponse(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT_EQUAL(1, reading.back.load());
        CPPUNIT_ASSERT(reading.reader->isReceiving());
    }

    void aGapIsListedAnew()
    {
        Reading reading(false);
        reading.reader->setActive(true);
        reading.store.takeCall().handler(storeResponse(10, {}));
        reading.store.takeCall().handler(storeResponse(12, {{"a", "1", 12, false}}));
        CPPUNIT_ASSERT(reading.store.takeCall().isListing);
    }

    void aPausedReaderMakesNoCall()
    {
        Reading reading;
        reading.reader->setActive(true);
        FakeStoreClient::Call call = reading.store.takeCall();
        reading.reader->setActive(false);
        call.handler(storeResponse(10, {}));
        CPPUNIT_ASSERT(!reading.store.takeCall(milliseconds(200)).handler);
        CPPUNIT_ASSERT(!reading.reader->isReceiving());
        reading.reader->setActive(true);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), reading.store.takeCall().revision);
    }

    void whatOthersToldIsNotReadAgain()
    {
        Reading reading;
        reading.reader->noteKnownRevision(40);
        reading.reader->setActive(true);
        const FakeStoreClient::Call call = reading.store.takeCall();
        CPPUNIT_ASSERT(!call.isListing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), call.revision);
    }

    /// Load: engines leave by threes, each of which writes its record.
    void changesThatComeTogetherCostOneCall()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.takeCall().handler(storeResponse(10, {}));
        const FakeStoreClient::Call first = reading.store.takeCall();
        const Instant told = monotonicNow();
        first.handler(storeResponse(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT(reading.store.takeCall().handler);
        CPPUNIT_ASSERT(monotonicNow() - told >= StoreWatcher::coalescingDelay - milliseconds(5));
    }
};

REGISTER_SUITE(StoreWatcherTest, "store_watcher");

} // namespace azurespindle::routing
