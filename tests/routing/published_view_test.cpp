#include "routing/published_view.h"

#include "support/suite.h"

#include <malloc.h>

#include <string>

namespace azurespindle::routing {
namespace {

/// Decodes the values `c VERSION`, `u [leaving]` and `z ZONE`; everything else is an error.
DecodedItem decodeItem(const PublishedItem &item)
{
    const std::string rest = item.value.size() > 2 ? item.value.substr(2) : "";
    if (item.value[0] == 'c') {
        RoutingConfiguration configuration;
        configuration.version = std::stoull(rest);
        return configuration;
    }
    if (item.value[0] == 'u') {
        UpstreamRecord record;
        record.id = item.key;
        record.draining = rest == "leaving";
        record.incarnation = 1;
        return record;
    }
    if (item.value[0] == 'z') {
        return EvacuatedZone {rest};
    }
    return Error {ErrorCode::DocumentInvalid, item.value};
}

PublishedItem item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {key, value, revision, false};
}

PublishedItem deleted(const std::string &key, std::uint64_t revision)
{
    return {key, {}, revision, true};
}

constexpr Instant start {seconds(100)};

/// Returns a view at revision 10 with a configuration and five upstreams.
PublishedView makeView()
{
    PublishedView view(decodeItem);
    view.applyUpdate({true,
                      0,
                      10,
                      {item("config", "c 5", 3), item("u1", "u", 4), item("u2", "u", 5),
                       item("u3", "u", 6), item("u4", "u", 7), item("u5", "u", 8)}},
                     start);
    view.takeJournalEntries();
    return view;
}

/// Returns the value of a configuration that is large enough for a difference.
std::string largeValue(std::uint64_t version, const std::string &further = "")
{
    return "c " + std::to_string(version) + std::string(2 * PublishedView::minDeltaValueBytes, '\n')
        + further;
}

std::size_t countOf(const std::vector<journal::Entry> &entries, journal::EventId id)
{
    std::size_t count = 0;
    for (const journal::Entry &entry : entries) {
        count += entry.id == id ? 1 : 0;
    }
    return count;
}

} // namespace

class PublishedViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublishedViewTest);
    CPPUNIT_TEST(aSnapshotAndSubsequentChangesAreApplied);
    CPPUNIT_TEST(aLowerConfigurationVersionIsIgnored);
    CPPUNIT_TEST(aMalformedItemIsRejectedAndOthersRemain);
    CPPUNIT_TEST(anUpdateWithMissingChangesIsRejected);
    CPPUNIT_TEST(staleAndRepeatedChangesAreIgnored);
    CPPUNIT_TEST(aSnapshotRemovesItemsThatItLacks);
    CPPUNIT_TEST(upstreamsRemovedAfterAnOutageAreKeptForTheGracePeriod);
    CPPUNIT_TEST(peersReceiveRemovalsThatAreInTheirGracePeriod);
    CPPUNIT_TEST(upstreamsRemovedInLargeNumbersAreKeptForTheGracePeriod);
    CPPUNIT_TEST(aSingleRemovedUpstreamDisappearsAtOnce);
    CPPUNIT_TEST(aPeerReceivesTheChangesThatItLacks);
    CPPUNIT_TEST(aNewIncarnationIsJournaledAsAnAddedUpstream);
    CPPUNIT_TEST(aLargeValueReachesPeersAsADifference);
    CPPUNIT_TEST(aDifferenceFromAnUnknownValueIsRejected);
    CPPUNIT_TEST(ofSeveralLargeValuesOnlyTheLastIsDecoded);
    CPPUNIT_TEST(anUnreadableLargeValueDoesNotHideTheOneBefore);
    CPPUNIT_TEST(retainedDifferencesAreBounded);
    CPPUNIT_TEST(aSeriesOfLargeVersionsTakesTheMemoryOfOne);
    CPPUNIT_TEST(aPeerFarBehindReceivesOneWholeValue);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSnapshotAndSubsequentChangesAreApplied()
    {
        PublishedView view = makeView();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.state()->routeTable->configuration().version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), view.state()->upstreams.size());
        CPPUNIT_ASSERT(view.applyUpdate(
            {false, 10, 13, {item("u1", "u leaving", 12), item("zone", "z north", 13)}}, start));
        CPPUNIT_ASSERT(view.state()->upstreams.at("u1").draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.state()->evacuatedZones.count("north"));
        CPPUNIT_ASSERT(view.applyUpdate({false, 13, 14, {deleted("zone", 14)}}, start));
        CPPUNIT_ASSERT(view.state()->evacuatedZones.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("14"), toText(view.revision()));
    }

    void aLowerConfigurationVersionIsIgnored()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 11, {item("config", "c 4", 11)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.state()->routeTable->configuration().version);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            countOf(view.takeJournalEntries(), journal::EventId::ConfigurationStale));
        view.applyUpdate({false, 11, 12, {item("config", "c 9", 12)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view.state()->routeTable->configuration().version);
    }

    void aMalformedItemIsRejectedAndOthersRemain()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 12, {item("u1", "?", 11), item("config", "?", 12)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view.state()->upstreams.count("u1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view.state()->upstreams.size());
        CPPUNIT_ASSERT(view.state()->routeTable != nullptr);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(2),
            countOf(view.takeJournalEntries(), journal::EventId::PublishedItemRefused));
    }

    void anUpdateWithMissingChangesIsRejected()
    {
        PublishedView view = makeView();
        CPPUNIT_ASSERT(!view.applyUpdate({false, 11, 12, {item("u6", "u", 12)}}, start));
        CPPUNIT_ASSERT_EQUAL(std::string("10"), toText(view.revision()));
    }

    void staleAndRepeatedChangesAreIgnored()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 20, {item("u1", "u leaving", 15)}}, start);
        view.applyUpdate({false, 10, 14, {item("u1", "u", 14)}}, start);
        CPPUNIT_ASSERT(view.state()->upstreams.at("u1").draining);
        view.applyUpdate({true, 0, 21, {item("u1", "u", 14), item("config", "c 5", 3)}}, start);
        CPPUNIT_ASSERT_MESSAGE("an older item in a snapshot does not revert a change",
                               view.state()->upstreams.at("u1").draining);
        view.applyUpdate({false, 21, 25, {deleted("u1", 13)}}, start);
        CPPUNIT_ASSERT_MESSAGE("the item was written after the deletion",
                               view.state()->upstreams.count("u1") == 1);
    }

    void aSnapshotRemovesItemsThatItLacks()
    {
        PublishedView view = makeView();
        view.applyUpdate({true,
                          0,
                          30,
                          {item("config", "c 5", 3), item("u1", "u", 4), item("u2", "u", 5),
                           item("u3", "u", 6), item("u4", "u", 7)}},
                         start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view.state()->upstreams.size());
    }

    void upstreamsRemovedAfterAnOutageAreKeptForTheGracePeriod()
    {
        PublishedView view = makeView();
        view.noteStoreRecovered(start);
        view.applyUpdate({false, 10, 12, {deleted("u1", 11), deleted("u2", 12)}},
                         start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), view.state()->upstreams.size());
        view.applyUpdate({false, 12, 13, {item("u1", "u", 13)}}, start + seconds(2));
        CPPUNIT_ASSERT(!view.expireRecords(start + milliseconds(2'800)));
        CPPUNIT_ASSERT(view.expireRecords(start + milliseconds(2'950)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("u1 was published again", std::size_t(1),
                                     view.state()->upstreams.count("u1"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("u2 was not published again", std::size_t(0),
                                     view.state()->upstreams.count("u2"));
    }

    /// Guards against removed upstreams that a peer keeps forever: a process that starts during an
    /// outage of the store receives a revision, and never asks for the earlier removals that the
    /// sender still delays. Found by fault soak seed 1.
    void peersReceiveRemovalsThatAreInTheirGracePeriod()
    {
        PublishedView view = makeView();
        view.noteStoreRecovered(start);
        view.applyUpdate({false, 10, 12, {deleted("u1", 11), deleted("u2", 12)}},
                         start + seconds(1));
        PublishedView fresh(decodeItem);
        fresh.applyUpdate(view.changesAfter(0), start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("12"), toText(fresh.revision()));
        fresh.expireRecords(start + seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fresh.state()->upstreams.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fresh.state()->upstreams.count("u1"));
    }

    void upstreamsRemovedInLargeNumbersAreKeptForTheGracePeriod()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 13, {deleted("u1", 11), deleted("u2", 12), deleted("u3", 13)}},
                         start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), view.state()->upstreams.size());
        CPPUNIT_ASSERT(view.expireRecords(start + seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view.state()->upstreams.size());
    }

    void aSingleRemovedUpstreamDisappearsAtOnce()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 11, {deleted("u1", 11)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view.state()->upstreams.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             countOf(view.takeJournalEntries(), journal::EventId::UpstreamRemoved));
    }

    void aPeerReceivesTheChangesThatItLacks()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 12, {item("u1", "u leaving", 11), deleted("u2", 12)}}, start);
        const ViewUpdate changes = view.changesAfter(10);
        CPPUNIT_ASSERT(!changes.isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.items.size());
        PublishedView peer = makeView();
        CPPUNIT_ASSERT(peer.applyUpdate(changes, start));
        CPPUNIT_ASSERT(peer.state()->upstreams == view.state()->upstreams);
        PublishedView fresh(decodeItem);
        const ViewUpdate all = view.changesAfter(0);
        CPPUNIT_ASSERT(all.isSnapshot);
        CPPUNIT_ASSERT(fresh.applyUpdate(all, start));
        CPPUNIT_ASSERT(fresh.state()->upstreams == view.state()->upstreams);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), fresh.state()->routeTable->configuration().version);
    }

    void aNewIncarnationIsJournaledAsAnAddedUpstream()
    {
        PublishedView view([](const PublishedItem &read) -> DecodedItem {
            UpstreamRecord record;
            record.id = read.key;
            record.incarnation = std::stoull(read.value);
            return record;
        });
        view.applyUpdate({true, 0, 1, {item("u1", "100", 1)}}, start);
        view.applyUpdate({false, 1, 2, {item("u1", "200", 2)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(200), view.state()->upstreams.at("u1").incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             countOf(view.takeJournalEntries(), journal::EventId::UpstreamAdded));
    }

    void aLargeValueReachesPeersAsADifference()
    {
        PublishedView view = makeView();
        PublishedView peer = makeView();
        view.applyUpdate({false, 10, 11, {item("config", largeValue(6), 11)}}, start);
        peer.applyUpdate(view.changesAfter(10), start);
        const ViewUpdate second {false, 11, 12, {item("config", largeValue(7), 12)}};
        view.applyUpdate(second, start);
        view.applyUpdate({false, 12, 13, {item("config", largeValue(8), 13)}}, start);
        for (const ViewUpdate &update : {view.forPeers(second), view.changesAfter(12)}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), update.items.size());
            CPPUNIT_ASSERT(update.items[0].delta && update.items[0].value.empty());
            CPPUNIT_ASSERT(peer.applyUpdate(update, start));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), peer.state()->routeTable->configuration().version);
        PublishedView fresh(decodeItem);
        CPPUNIT_ASSERT(fresh.applyUpdate(peer.changesAfter(0), start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), fresh.state()->routeTable->configuration().version);
        CPPUNIT_ASSERT_MESSAGE("differences in a row",
                               fresh.changesAfter(0).items == peer.changesAfter(0).items);
    }

    void aDifferenceFromAnUnknownValueIsRejected()
    {
        PublishedView view = makeView();
        view.applyUpdate({false, 10, 11, {item("config", largeValue(6), 11)}}, start);
        view.applyUpdate({false, 11, 12, {item("config", largeValue(7), 12)}}, start);
        PublishedView peer = makeView();
        ViewUpdate update = view.changesAfter(11);
        update.sinceRevision = 10;
        CPPUNIT_ASSERT(!peer.applyUpdate(update, start));
        CPPUNIT_ASSERT_EQUAL(std::string("10"), toText(peer.revision()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), peer.state()->routeTable->configuration().version);
        CPPUNIT_ASSERT(peer.applyUpdate(view.changesAfter(0), start));
        CPPUNIT_ASSERT_MESSAGE("a difference that came late is ignored",
                               peer.applyUpdate(update, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), peer.state()->routeTable->configuration().version);
    }

    void ofSeveralLargeValuesOnlyTheLastIsDecoded()
    {
        std::size_t decoded = 0;
        PublishedView view([&decoded](const PublishedItem &read) {
            decoded += 1;
            return decodeItem(read);
        });
        view.applyUpdate({true, 0, 5, {item("config", largeValue(1), 5)}}, start);
        decoded = 0;
        view.applyUpdate({false,
                          5,
                          8,
                          {item("config", largeValue(2), 6), item("config", largeValue(3), 7),
                           item("config", largeValue(4), 8)}},
                         start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), view.state()->routeTable->configuration().version);
    }

    void anUnreadableLargeValueDoesNotHideTheOneBefore()
    {
        PublishedView view = makeView();
        view.applyUpdate(
            {false,
             10,
             12,
             {item("config", largeValue(6), 11), item("config", "?" + largeValue(7), 12)}},
            start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), view.state()->routeTable->configuration().version);
    }

    void retainedDifferencesAreBounded()
    {
        PublishedView view(decodeItem);
        view.applyUpdate({true, 0, 1, {item("config", largeValue(1), 1)}}, start);
        for (std::uint64_t revision = 2; revision < 40; ++revision) {
            const std::string text(PublishedView::maxRetainedBytes / 8,
                                   static_cast<char>('a' + revision % 26));
            view.applyUpdate({false,
                              revision - 1,
                              revision,
                              {item("config", largeValue(revision, text), revision)}},
                             start);
        }
        CPPUNIT_ASSERT(view.changesAfter(1).isSnapshot);
        std::size_t bytes = 0;
        const ViewUpdate retained = view.changesAfter(36);
        CPPUNIT_ASSERT(!retained.isSnapshot);
        for (const PublishedItem &each : retained.items) {
            bytes += each.value.size() + (each.delta ? each.delta->text.inserted.size() : 0);
        }
        CPPUNIT_ASSERT(bytes <= PublishedView::maxRetainedBytes);
    }

    void aSeriesOfLargeVersionsTakesTheMemoryOfOne()
    {
        constexpr std::size_t documentBytes = 500'000;
        constexpr std::uint64_t versions = 40;
        const std::string text(documentBytes, '\n');
        PublishedView view(decodeItem);
        view.applyUpdate({true, 0, 1, {item("config", largeValue(1, text), 1)}}, start);
        const std::size_t before = mallinfo2().uordblks;
        for (std::uint64_t revision = 2; revision < versions; ++revision) {
            view.applyUpdate({false,
                              revision - 1,
                              revision,
                              {item("config", largeValue(revision, text), revision)}},
                             start);
        }
        CPPUNIT_ASSERT(mallinfo2().uordblks < before + 2 * documentBytes);
    }

    void aPeerFarBehindReceivesOneWholeValue()
    {
        constexpr std::uint64_t newest = PublishedView::maxDeltasInRow + 2;
        PublishedView view(decodeItem);
        view.applyUpdate({true, 0, 1, {item("config", largeValue(1), 1)}}, start);
        PublishedView peer(decodeItem);
        peer.applyUpdate(view.changesAfter(0), start);
        for (std::uint64_t revision = 2; revision <= newest; ++revision) {
            view.applyUpdate(
                {false, revision - 1, revision, {item("config", largeValue(revision), revision)}},
                start);
        }
        const ViewUpdate near = view.changesAfter(2);
        CPPUNIT_ASSERT_EQUAL(PublishedView::maxDeltasInRow, near.items.size());
        const ViewUpdate far = view.changesAfter(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), far.items.size());
        CPPUNIT_ASSERT(!far.items[0].delta);
        CPPUNIT_ASSERT(peer.applyUpdate(far, start));
        CPPUNIT_ASSERT_EQUAL(newest, peer.state()->routeTable->configuration().version);
    }
};

REGISTER_SUITE(PublishedViewTest, "published_view");

} // namespace azurespindle::routing
