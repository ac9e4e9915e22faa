#include "platform/adapter.h"
#include "platform/fake_platform.h"
#include "platform/many_routes.h"
#include "platform/store_client.h"
#include "routing/fake_store_client.h"
#include "serving/routing_process.h"
#include "support/fleet.h"
#include "support/suite.h"

#include <future>

namespace azurespindle::serving {
namespace {

using routing::DecodedItem;
using routing::PublishedItem;
using routing::PublishedView;
using routing::StoreRevision;
using tests::FakeStore;
using tests::Fleet;

constexpr std::uint16_t storePort = 22'700;
constexpr std::uint16_t firstProcessPort = 22'710;
constexpr std::uint16_t portsPerProcess = 4;
constexpr std::size_t processCount = 4;
constexpr milliseconds testTimeout {10'000};
constexpr Instant start {seconds(1'000)};
constexpr milliseconds longEnough = PublishedView::returnedItemDelay + milliseconds(1);

/// Decodes the values `c VERSION`, `z ZONE`, `r SEQUENCE` (ready) and `d SEQUENCE` (draining).
DecodedItem decodeItem(const PublishedItem &item)
{
    const std::string rest = item.value.substr(2);
    switch (item.value[0]) {
    case 'c': {
        routing::RoutingConfiguration configuration;
        configuration.version = std::stoull(rest);
        return configuration;
    }
    case 'z':
        return routing::EvacuatedZone {rest};
    default: {
        routing::UpstreamRecord record;
        record.id = item.key;
        record.draining = item.value[0] == 'd';
        record.incarnation = 1;
        record.sequence = std::stoull(rest);
        return record;
    }
    }
}

/// A view in era 1 at revision 400, and what a store lists that comes back from a copy of
/// revision 10.
struct Drill
{
    Drill() : view(decodeItem)
    {
        this->view.applyUpdate({true,
                                {},
                                {1, 400},
                                {{"config", "c 7", {1, 300}, false},
                                 {"left", "d 50", {1, 310}, false},
                                 {"alive", "r 50", {1, 320}, false},
                                 {"young", "r 2", {1, 390}, false},
                                 {"gone", "r 50", {1, 330}, false},
                                 {"evacuated", "z south", {1, 395}, false},
                                 {"taken-back", "z north", {1, 340}, false}}},
                               start);
        this->view.applyUpdate({false,
                                {1, 400},
                                {1, 402},
                                {{"gone", "", {1, 401}, true}, {"taken-back", "", {1, 402}, true}}},
                               start);
    }

    /// The listing of the copy, in the era \a era.
    static routing::ViewUpdate copy(std::uint64_t era)
    {
        return {true,
                {},
                {era, 10},
                {{"config", "c 5", {era, 2}, false},
                 {"left", "r 40", {era, 3}, false},
                 {"alive", "r 40", {era, 4}, false},
                 {"gone", "r 40", {era, 5}, false},
                 {"taken-back", "z north", {era, 6}, false}}};
    }

    std::uint64_t version() const
    {
        return this->view.state()->routeTable->configuration().version;
    }
    bool serves(const std::string &upstream) const
    {
        const auto found = this->view.state()->upstreams.find(upstream);
        return found != this->view.state()->upstreams.end() && !found->second.draining;
    }
    bool evacuates(const std::string &zone) const
    {
        return this->view.state()->evacuatedZones.count(zone) > 0;
    }

    PublishedView view;
};

} // namespace

/// Guards against a fleet that stays at an old configuration, or uses upstreams that are gone,
/// after the store has come back from a copy: its revisions go back and are given out again.
class StoreEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreEraTest);
    CPPUNIT_TEST(aLaterEraIsNewerWhateverItsNumbers);
    CPPUNIT_TEST(theCopyDoesNotUndoWhatIsKnownBetter);
    CPPUNIT_TEST(whatTheCopyLacksIsKeptUntilItsWriterHadTime);
    CPPUNIT_TEST(aReturnedItemIsBelievedIfItStays);
    CPPUNIT_TEST(whatIsWrittenAgainIsTaken);
    CPPUNIT_TEST(peersOfDifferentErasMeet);
    CPPUNIT_TEST(theWatcherListsOnceInANewEra);
    CPPUNIT_TEST(answersOfAnEarlierEraAndUnreadableErasAreNotBelieved);
    CPPUNIT_TEST(aFleetFollowsTheStoreThroughTwoDrills);
    CPPUNIT_TEST_SUITE_END();

public:
    void aLaterEraIsNewerWhateverItsNumbers()
    {
        CPPUNIT_ASSERT(StoreRevision(2, 1) > StoreRevision(1, 900));
        CPPUNIT_ASSERT(StoreRevision(1, 2) > StoreRevision(1, 1));
        CPPUNIT_ASSERT(StoreRevision(900) < StoreRevision(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("2:1"), toText(StoreRevision(2, 1)));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), toText(StoreRevision(7)));
    }

    void theCopyDoesNotUndoWhatIsKnownBetter()
    {
        Drill drill;
        CPPUNIT_ASSERT(drill.view.applyUpdate(Drill::copy(2), start));
        for (const milliseconds passed : {milliseconds(0), milliseconds(2'000)}) {
            drill.view.expireRecords(start + passed);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), drill.version());
            CPPUNIT_ASSERT_MESSAGE("it said that it leaves", !drill.serves("left"));
            CPPUNIT_ASSERT(drill.serves("alive"));
            CPPUNIT_ASSERT(!drill.serves("gone"));
            CPPUNIT_ASSERT(drill.evacuates("south"));
            CPPUNIT_ASSERT(!drill.evacuates("north"));
        }
        CPPUNIT_ASSERT_MESSAGE("a second listing", drill.view.applyUpdate(Drill::copy(2), start));
        CPPUNIT_ASSERT(!drill.serves("left"));
        CPPUNIT_ASSERT(!drill.serves("gone"));
        CPPUNIT_ASSERT(!drill.evacuates("north"));
        CPPUNIT_ASSERT_MESSAGE("the earlier era", drill.view.applyUpdate(Drill::copy(1), start));
        CPPUNIT_ASSERT(drill.view.revision() == StoreRevision(2, 10));
    }

    void whatTheCopyLacksIsKeptUntilItsWriterHadTime()
    {
        Drill drill;
        drill.view.applyUpdate(Drill::copy(2), start);
        drill.view.expireRecords(start + milliseconds(2'000));
        CPPUNIT_ASSERT(drill.serves("young"));
        CPPUNIT_ASSERT(drill.evacuates("south"));
        drill.view.expireRecords(start + PublishedView::eraGracePeriod);
        CPPUNIT_ASSERT(!drill.serves("young"));
        CPPUNIT_ASSERT(!drill.evacuates("south"));
    }

    void aReturnedItemIsBelievedIfItStays()
    {
        Drill drill;
        drill.view.applyUpdate(Drill::copy(2), start);
        drill.view.applyUpdate({false, {2, 10}, {2, 11}, {{"taken-back", "", {2, 11}, true}}},
                               start);
        drill.view.expireRecords(start + longEnough);
        CPPUNIT_ASSERT_MESSAGE("it lives and has nothing new to say", drill.serves("gone"));
        CPPUNIT_ASSERT_MESSAGE("its removal was written again", !drill.evacuates("north"));
    }

    void whatIsWrittenAgainIsTaken()
    {
        Drill drill;
        drill.view.applyUpdate(Drill::copy(2), start);
        CPPUNIT_ASSERT(drill.view.applyUpdate({false,
                                               {2, 10},
                                               {2, 14},
                                               {{"config", "c 8", {2, 11}, false},
                                                {"left", "d 51", {2, 12}, false},
                                                {"young", "r 4", {2, 13}, false},
                                                {"evacuated", "z south", {2, 14}, false}}},
                                              start));
        drill.view.expireRecords(start + longEnough);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), drill.version());
        CPPUNIT_ASSERT(!drill.serves("left"));
        CPPUNIT_ASSERT(drill.serves("young"));
        CPPUNIT_ASSERT(drill.evacuates("south"));
    }

    void peersOfDifferentErasMeet()
    {
        Drill ahead;
        Drill behind;
        ahead.view.applyUpdate(Drill::copy(2), start);
        const routing::ViewUpdate update = ahead.view.changesAfter(behind.view.revision());
        CPPUNIT_ASSERT(update.isSnapshot);
        CPPUNIT_ASSERT(behind.view.applyUpdate(update, start));
        CPPUNIT_ASSERT(behind.view.revision() == ahead.view.revision());
        CPPUNIT_ASSERT_EQUAL(ahead.version(), behind.version());
        CPPUNIT_ASSERT(behind.serves("young") && !behind.serves("left"));
        const Drill older;
        CPPUNIT_ASSERT(ahead.view.applyUpdate(older.view.changesAfter({}), start));
        CPPUNIT_ASSERT_MESSAGE("an older peer does not draw it back",
                               ahead.view.revision() == StoreRevision(2, 10));
        CPPUNIT_ASSERT_MESSAGE("changes of a new era without its listing leave a gap",
                               !behind.view.applyUpdate({false, {3, 5}, {3, 6}, {}}, start));
    }

    void theWatcherListsOnceInANewEra()
    {
        WatchedStore watched;
        watched.answerListing(400, 1);
        const auto watch = watched.store.takeCall();
        CPPUNIT_ASSERT(!watch.isListing && watch.revision == 400);
        routing::StoreResponse gone = tests::failedResponse(routing::StoreCallStatus::Compacted);
        gone.era = 2;
        watch.handler(gone);
        watched.answerListing(10, 2);
        CPPUNIT_ASSERT(watched.applied == StoreRevision(2, 10));
        const auto next = watched.store.takeCall();
        CPPUNIT_ASSERT(!next.isListing && next.revision == 10);
        watched.watcher->noteKnownRevision({3, 5});
        next.handler(tests::failedResponse(routing::StoreCallStatus::Compacted));
        CPPUNIT_ASSERT_MESSAGE("a peer knows the third era", watched.store.takeCall().handler);
    }

    void answersOfAnEarlierEraAndUnreadableErasAreNotBelieved()
    {
        WatchedStore watched;
        watched.answerListing(10, 2);
        const auto watch = watched.store.takeCall();
        routing::StoreResponse late = tests::storeResponse(500, {});
        late.era = 1;
        watch.handler(late);
        CPPUNIT_ASSERT(watched.applied == StoreRevision(2, 10));
        CPPUNIT_ASSERT_EQUAL(1, watched.outdated.load());
        const http::TransferResult ok {http::TransferEnd::Complete, 200, ""};
        const std::string body = R"({"events":[],"at":7})";
        CPPUNIT_ASSERT(platform::parseStoreResponse(ok, body, {{"Store-Era", "3"}}).era == 3);
        const auto missing = platform::parseStoreResponse(ok, body);
        CPPUNIT_ASSERT(!missing.era && !missing.eraUnreadable);
        const http::HeaderFields doubled {{"Store-Era", "3"}, {"store-era", "3"}};
        for (const http::HeaderFields &fields :
             {http::HeaderFields {{"Store-Era", "-1"}}, http::HeaderFields {{"Store-Era", "x"}},
              http::HeaderFields {{"Store-Era", ""}}, doubled}) {
            const auto unreadable = platform::parseStoreResponse(ok, body, fields);
            CPPUNIT_ASSERT(!unreadable.era && unreadable.eraUnreadable);
            CPPUNIT_ASSERT(unreadable.status == routing::StoreCallStatus::Ok);
        }
    }

    void aFleetFollowsTheStoreThroughTwoDrills()
    {
        FakeStore store(storePort);
        store.stateEra();
        store.put("op/config", tests::platformConfiguration(1));
        std::vector<std::unique_ptr<RoutingProcess>> processes;
        for (std::uint16_t index = 0; index < processCount; ++index) {
            processes.push_back(
                std::make_unique<RoutingProcess>(settingsOf(index), platform::makePlatformAdapter));
            CPPUNIT_ASSERT(!processes.back()->start());
        }
        http::Client client;
        CPPUNIT_ASSERT(Fleet::eventually([&] { return allAnswer(client, "/look/1", 503); }));
        for (std::uint64_t drill = 1; drill <= 2; ++drill) {
            store.takeCopy();
            for (std::uint64_t change = 0; change < 400; ++change) {
                store.put("other", std::to_string(change));
            }
            const std::string lost = "lost" + std::to_string(drill);
            store.put("op/config",
                      tests::platformConfiguration(10 * drill, tests::plainRoute("extra", lost)));
            CPPUNIT_ASSERT(
                Fleet::eventually([&] { return allAnswer(client, "/" + lost + "/1", 503); }));
            const std::size_t callsBefore = store.calls();
            store.comeBackFromCopy();
            const std::string added = "added" + std::to_string(drill);
            store.put(
                "op/config",
                tests::platformConfiguration(10 * drill + 1, tests::plainRoute("extra", added)));
            CPPUNIT_ASSERT_MESSAGE(
                "the next version is in force everywhere",
                Fleet::eventually([&] { return allAnswer(client, "/" + added + "/1", 503); }));
            CPPUNIT_ASSERT(
                Fleet::eventually([&] { return allAnswer(client, "/" + lost + "/1", 404); }));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(store.calls() - callsBefore),
                                   store.calls() - callsBefore < 10 * processCount);
        }
        processes.clear();
        client.stop();
    }

private:
    /// A watcher of a store that leaves its answers to the test.
    struct WatchedStore
    {
        WatchedStore()
        {
            this->timers.start();
            this->watcher = std::make_shared<routing::StoreWatcher>(
                this->store.calls(),
                routing::StoreWatcherHooks {
                    [this](const routing::ViewUpdate &update, std::size_t) {
                        this->applied = update.revision;
                        return true;
                    },
                    [] {}, [](microseconds) {},
                    [this](const StoreRevision &, std::uint64_t) { this->outdated += 1; }},
                this->timers);
            this->watcher->setActive(true);
        }
        ~WatchedStore()
        {
            this->watcher->setActive(false);
            this->timers.stop();
        }
        void answerListing(std::uint64_t revision, std::uint64_t era)
        {
            const auto listing = this->store.takeCall();
            CPPUNIT_ASSERT(listing.isListing);
            routing::StoreResponse page = tests::storeResponse(revision, {});
            page.era = era;
            listing.handler(page);
        }

        timer::TimerService timers;
        tests::FakeStoreClient store;
        StoreRevision applied;
        std::atomic<int> outdated {0};
        std::shared_ptr<routing::StoreWatcher> watcher;
    };

    static settings::RoutingSettings settingsOf(std::uint16_t index)
    {
        const auto base = static_cast<std::uint16_t>(firstProcessPort + index * portsPerProcess);
        settings::RoutingSettings settings;
        settings.name = "entry-" + std::to_string(index);
        settings.zone = index % 2 == 0 ? "north" : "south";
        settings.callerAddress = {"127.0.0.1", base};
        settings.readyAddress = {"127.0.0.1", static_cast<std::uint16_t>(base + 1)};
        settings.memberAddress = {"127.0.0.1", static_cast<std::uint16_t>(base + 2)};
        settings.publisherAddress = {"127.0.0.1", storePort};
        settings.seeds = {{"127.0.0.1", firstProcessPort + 2}};
        return settings;
    }

    /// Returns true if all processes answer a request with \a status: 404 without a route, 503
    /// with one, as there is no upstream.
    static bool allAnswer(http::Client &client, const std::string &path, int status)
    {
        for (std::uint16_t index = 0; index < processCount; ++index) {
            std::promise<int> answered;
            http::ClientRequest request;
            request.url = "http://127.0.0.1:"
                + std::to_string(firstProcessPort + index * portsPerProcess) + path;
            request.headers = {{"Host", "shop.example"},
                               {"Azurespindle-Attempt-Id", "s" + std::to_string(lastId += 1)},
                               {"Azurespindle-Key", "k1"}};
            request.totalTimeout = testTimeout;
            http::TransferCallbacks callbacks;
            callbacks.onDone = [&answered](const http::TransferResult &result) {
                answered.set_value(result.status);
            };
            client.start(std::move(request), std::move(callbacks));
            if (answered.get_future().get() != status) {
                return false;
            }
        }
        return true;
    }

    static inline int lastId = 0;
};

REGISTER_SUITE(StoreEraTest, "store_era");

} // namespace azurespindle::serving
