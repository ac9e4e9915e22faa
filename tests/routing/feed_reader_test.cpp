#include "routing/feed_reader.h"

#include "routing/feed_play.h"
#include "support/suite.h"

#include <atomic>
#include <memory>

namespace azurespindle::routing {
namespace {

using tests::answered;
using tests::endedAs;
using tests::FeedPlay;

/// A reader over a store that is played by hand.
struct Reading
{
    explicit Reading(bool keepsUp = true)
        : reader(std::make_shared<FeedReader>(store.calls(),
                                              FeedHooks {[this, keepsUp](const ViewUpdate &update) {
                                                             updates.push_back(update);
                                                             return keepsUp;
                                                         },
                                                         [this] { lost += 1; },
                                                         [this](microseconds) { back += 1; }},
                                              timers))
    {
        timers.start();
    }

    ~Reading()
    {
        reader->setActive(false);
        timers.stop();
    }

    FeedPlay store;
    timer::TimerService timers;
    std::vector<ViewUpdate> updates;
    std::atomic<int> lost {0};
    std::atomic<int> back {0};
    std::shared_ptr<FeedReader> reader;
};

} // namespace

class FeedReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedReaderTest);
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
        FeedPlay::Call call = reading.store.take();
        CPPUNIT_ASSERT(call.lists && call.after.empty());
        call.handler(answered(10, {{"a", "1", 3, false}}, true));
        call = reading.store.take();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call.after);
        call.handler(answered(12, {{"b", "2", 11, false}}));
        call = reading.store.take();
        CPPUNIT_ASSERT(!call.lists);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), call.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading.updates.size());
        CPPUNIT_ASSERT(reading.updates[0].whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reading.updates[0].items.size());
    }

    void aHistoryThatIsGoneIsListedAnew()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.take().handler(answered(10, {}));
        reading.store.take().handler(endedAs(FeedStatus::HistoryGone));
        CPPUNIT_ASSERT(reading.store.take().lists);
        CPPUNIT_ASSERT_EQUAL(0, reading.lost.load());
    }

    void anOutageIsToldOnceAndTriedAgain()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.take().handler(answered(10, {}));
        for (const FeedStatus status : {FeedStatus::Failed, FeedStatus::Refused}) {
            reading.store.take().handler(endedAs(status));
        }
        FeedPlay::Call call = reading.store.take();
        CPPUNIT_ASSERT_EQUAL(1, reading.lost.load());
        CPPUNIT_ASSERT(reading.reader->away());
        CPPUNIT_ASSERT(!call.lists);
        call.handler(answered(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT_EQUAL(1, reading.back.load());
        CPPUNIT_ASSERT(reading.reader->reads());
    }

    void aGapIsListedAnew()
    {
        Reading reading(false);
        reading.reader->setActive(true);
        reading.store.take().handler(answered(10, {}));
        reading.store.take().handler(answered(12, {{"a", "1", 12, false}}));
        CPPUNIT_ASSERT(reading.store.take().lists);
    }

    void aPausedReaderMakesNoCall()
    {
        Reading reading;
        reading.reader->setActive(true);
        FeedPlay::Call call = reading.store.take();
        reading.reader->setActive(false);
        call.handler(answered(10, {}));
        CPPUNIT_ASSERT(!reading.store.take(milliseconds(200)).handler);
        CPPUNIT_ASSERT(!reading.reader->reads());
        reading.reader->setActive(true);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), reading.store.take().revision);
    }

    void whatOthersToldIsNotReadAgain()
    {
        Reading reading;
        reading.reader->noteKnown(40);
        reading.reader->setActive(true);
        const FeedPlay::Call call = reading.store.take();
        CPPUNIT_ASSERT(!call.lists);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), call.revision);
    }

    /// Load: engines leave by threes, each of which writes its record.
    void changesThatComeTogetherCostOneCall()
    {
        Reading reading;
        reading.reader->setActive(true);
        reading.store.take().handler(answered(10, {}));
        const FeedPlay::Call first = reading.store.take();
        const Instant told = monotonicNow();
        first.handler(answered(11, {{"a", "1", 11, false}}));
        CPPUNIT_ASSERT(reading.store.take().handler);
        CPPUNIT_ASSERT(monotonicNow() - told >= FeedReader::gatherTime - milliseconds(5));
    }
};

REGISTER_SUITE(FeedReaderTest, "feed_reader");

} // namespace azurespindle::routing
