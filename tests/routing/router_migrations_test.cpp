#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

#include <map>

namespace azurespindle::routing {

using tests::RouterHarness;

namespace {

/// Two engines near, and a generation that runs on one of them with so many events. The engines
/// are so full that no copy is kept beforehand.
RequestId runWithoutBackup(RouterHarness &play, std::uint32_t events)
{
    play.configure();
    play.addEngine("e1");
    const RequestId draft = play.arrive("/long/1");
    play.addEngine("e2");
    play.beginStream(draft);
    play.events(draft, events);
    return draft;
}

RequestId runWithBackup(RouterHarness &play, std::uint32_t events)
{
    play.configure();
    play.addEngine("e1");
    play.addEngine("e2");
    const RequestId draft = play.arrive("/long/1");
    play.beginStream(draft);
    play.events(draft, events);
    return draft;
}

/// The first copy is there, and the destination says that it cannot go on from it.
void handOverInVain(RouterHarness &play, RequestId draft)
{
    play.answerMove(draft, false, MigrationStatus::Copied);
    CPPUNIT_ASSERT(play.last<StartAttempt>()->parallel);
    play.end(draft, AttemptEnd::Complete, 503, true);
}

/// The answer to the last part of a copy, for the run that began it all.
void answerFinal(RouterHarness &play, RequestId draft, MigrationStatus status,
                 const std::string &handle)
{
    play.handle(MigrationResponseArrived {{draft, 1}, true, {status, handle, 0}});
}

} // namespace

class RouterMigrationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterMigrationsTest);
    CPPUNIT_TEST(aGenerationOnALeavingEngineGoesOnElsewhere);
    CPPUNIT_TEST(aHandoverInVainStopsTheRunForTheLastPart);
    CPPUNIT_TEST(theRunIsStoppedOnlyWhenTheLinkIsFree);
    CPPUNIT_TEST(theEnginesWordGoesBeforeTheEstimate);
    CPPUNIT_TEST(neverTwoEnginesWorkOnOneGeneration);
    CPPUNIT_TEST(aDestinationWithoutRoomIsReplaced);
    CPPUNIT_TEST(aRunThatStoppedInVainGoesOnWhereItWas);
    CPPUNIT_TEST(aDestinationThatLeavesIsReplaced);
    CPPUNIT_TEST(aRunThatEndsMeanwhileIsWhole);
    CPPUNIT_TEST(anEngineThatDiesAfterTheFirstCopyLosesNothing);
    CPPUNIT_TEST(aCopyKeptBeforehandIsUsedWhenTheEngineDies);
    CPPUNIT_TEST(aCopyKeptBeforehandIsUsedBeforeTheEngineIsGone);
    CPPUNIT_TEST(aCopyThatIsNotThereLosesNothing);
    CPPUNIT_TEST(theRunsEndBesideATakeoverEndsTheStream);
    CPPUNIT_TEST(noTakeoverGoesToAnEvacuatedZone);
    CPPUNIT_TEST(aYoungCopyIsNotTrusted);
    CPPUNIT_TEST(aSilentStreamIsRescued);
    CPPUNIT_TEST(whatCannotBeSavedDoesNotLookComplete);
    CPPUNIT_TEST(aResumableStreamGoesOnAfterItsLastEvent);
    CPPUNIT_TEST(whileTheStoreIsAwayEnginesAreAsked);
    CPPUNIT_TEST(aReclaimOfThreeEnginesLosesNoGeneration);
    CPPUNIT_TEST_SUITE_END();

public:
    void aGenerationOnALeavingEngineGoesOnElsewhere()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.setLeaving("e1");
        const auto ask = play.last<RequestMigration>();
        CPPUNIT_ASSERT(ask && !ask->final);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), ask->from);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:2"), ask->to);
        play.answerMove(draft, false, MigrationStatus::Copied);
        const auto start = play.last<StartAttempt>();
        CPPUNIT_ASSERT_MESSAGE("the run goes on until the destination answers", start->parallel);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/h"), start->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), start->plan.resumeAfterEvent.value_or(0));
        play.beginStream(draft);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two engines never work on it for long", 1U,
                                     play.last<CancelAttempt>()->attempt.number);
        CPPUNIT_ASSERT_EQUAL(2U, play.last<RelayStream>()->attempt.number);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it was not stopped for a last part", std::size_t(1),
                                     play.count<RequestMigration>());
        play.events(draft, 3);
        play.end(draft, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
        CPPUNIT_ASSERT(play.router.claims().empty());
    }

    /// The destination could not use the first copy: the run is stopped, and the rest copied.
    void aHandoverInVainStopsTheRunForTheLastPart()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.setLeaving("e1");
        handOverInVain(play, draft);
        play.pass(milliseconds(1'000));
        const auto ask = play.last<RequestMigration>();
        CPPUNIT_ASSERT(ask && ask->final);
        play.handle(AttemptEnded {{draft, 1}, AttemptEnd::Lost, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<AbortStream>());
        answerFinal(play, draft, MigrationStatus::Copied, "h2");
        const auto start = play.last<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/h2"), start->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), start->plan.resumeAfterEvent.value_or(0));
        play.beginStream(draft);
        play.events(draft, 3);
        play.end(draft, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
        CPPUNIT_ASSERT(play.router.claims().empty());
    }

    /// Load: an engine with many long generations leaves. All first copies wait in one queue, and a
    /// run that is stopped before they are through pauses for as long as they take.
    void theRunIsStoppedOnlyWhenTheLinkIsFree()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.handle(PeerReportArrived {"peer", true, {{"e1", {5, 17'500, 0}}}, {}, {}});
        play.setLeaving("e1");
        handOverInVain(play, draft);
        play.pass(milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE("others' copies are still under way",
                               !play.last<RequestMigration>()->final);
        play.pass(milliseconds(700));
        CPPUNIT_ASSERT(play.last<RequestMigration>()->final);
        RouterHarness alone;
        const RequestId single = runWithoutBackup(alone, 7);
        alone.setLeaving("e1");
        handOverInVain(alone, single);
        alone.pass(milliseconds(400));
        CPPUNIT_ASSERT_MESSAGE("nothing else is on the link",
                               alone.last<RequestMigration>()->final);
    }

    void theEnginesWordGoesBeforeTheEstimate()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.handle(PeerReportArrived {"peer", true, {{"e1", {8, 28'000, 0}}}, {}, {}});
        play.setLeaving("e1");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), play.last<RequestEngineReport>()->upstream);
        play.handle(EngineReportArrived {"e1", {true, milliseconds(800)}});
        handOverInVain(play, draft);
        play.pass(milliseconds(400));
        CPPUNIT_ASSERT(!play.last<RequestMigration>()->final);
        play.pass(milliseconds(100));
        CPPUNIT_ASSERT_MESSAGE("the engine will be gone soon",
                               play.last<RequestMigration>()->final);
    }

    void neverTwoEnginesWorkOnOneGeneration()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.setLeaving("e1");
        handOverInVain(play, draft);
        play.pass(milliseconds(1'000));
        answerFinal(play, draft, MigrationStatus::Copied, "h");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the last events are still awaited", std::size_t(2),
                                     play.count<StartAttempt>());
        play.handle(EventsArrived {{draft, 1}, 1, 8});
        play.pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the old stream is closed first", std::size_t(1),
                                     play.count<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), play.count<StartAttempt>());
    }

    void aDestinationWithoutRoomIsReplaced()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.addEngine("e3");
        play.setLeaving("e1");
        const std::string first = play.last<RequestMigration>()->to;
        play.answerMove(draft, false, MigrationStatus::NoCapacity);
        CPPUNIT_ASSERT(first != play.last<RequestMigration>()->to);
        play.answerMove(draft, false, MigrationStatus::NotRunning);
        const std::size_t asked = play.count<RequestMigration>();
        play.pass(milliseconds(200));
        CPPUNIT_ASSERT_MESSAGE("it is asked again", play.count<RequestMigration>() > asked);
    }

    void aRunThatStoppedInVainGoesOnWhereItWas()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.setLeaving("e1");
        handOverInVain(play, draft);
        play.pass(milliseconds(1'000));
        play.handle(AttemptEnded {{draft, 1}, AttemptEnd::Lost, ""});
        answerFinal(play, draft, MigrationStatus::NoCapacity, "kept");
        const auto start = play.last<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/kept"), start->plan.takeover->source);
    }

    void aDestinationThatLeavesIsReplaced()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.addEngine("e3");
        play.setLeaving("e1");
        const bool toSecond = play.last<RequestMigration>()->to == "10.0.0.1:2";
        handOverInVain(play, draft);
        play.setLeaving(toSecond ? "e2" : "e3");
        CPPUNIT_ASSERT_EQUAL(std::string(toSecond ? "10.0.0.1:3" : "10.0.0.1:2"),
                             play.last<RequestMigration>()->to);
    }

    void aRunThatEndsMeanwhileIsWhole()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.setLeaving("e1");
        play.answerMove(draft, false, MigrationStatus::Copied);
        play.handle(AttemptEnded {{draft, 1}, AttemptEnd::Complete, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the copy is given back", std::size_t(1),
                                     play.count<ReleaseCopy>());
        RouterHarness late;
        const RequestId other = runWithoutBackup(late, 7);
        late.setLeaving("e1");
        handOverInVain(late, other);
        late.pass(milliseconds(1'000));
        late.handle(AttemptEnded {{other, 1}, AttemptEnd::Complete, ""});
        answerFinal(late, other, MigrationStatus::NotRunning, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), late.count<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), late.count<AbortStream>());
    }

    void anEngineThatDiesAfterTheFirstCopyLosesNothing()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.handle(PeerReportArrived {"peer", true, {{"e1", {8, 28'000, 0}}}, {}, {}});
        play.setLeaving("e1");
        play.answerMove(draft, false, MigrationStatus::Copied, "first");
        play.handle(EventsArrived {{draft, 1}, 5, 12});
        play.handle(AttemptEnded {{draft, 1}, AttemptEnd::Lost, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<AbortStream>());
        const auto start = play.last<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/first"), start->plan.takeover->source);
        play.beginStream(draft);
        play.events(draft, 6);
        play.end(draft, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
    }

    /// Load: engines die without a word, or are reclaimed while nobody can be told.
    void aCopyKeptBeforehandIsUsedWhenTheEngineDies()
    {
        RouterHarness play;
        const RequestId draft = runWithBackup(play, 20);
        const auto first = play.last<StartAttempt>();
        CPPUNIT_ASSERT(!first->plan.backupAddress.empty());
        CPPUNIT_ASSERT(first->plan.backupAddress != first->plan.upstream.address);
        play.pass(milliseconds(900));
        play.end(draft, AttemptEnd::Lost);
        const auto second = play.last<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(first->plan.backupAddress, second->plan.upstream.address);
        CPPUNIT_ASSERT_EQUAL(first->plan.backupAddress + "/c1", second->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), second->plan.resumeAfterEvent.value_or(0));
    }

    void aCopyKeptBeforehandIsUsedBeforeTheEngineIsGone()
    {
        RouterHarness play;
        const RequestId draft = runWithBackup(play, 20);
        const std::string engine = play.startedOn();
        play.pass(milliseconds(900));
        play.events(draft, 1);
        play.setLeaving(engine);
        play.handle(EngineReportArrived {engine, {true, milliseconds(1'000)}});
        play.pass(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<StartAttempt>());
        play.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), play.count<StartAttempt>());
        CPPUNIT_ASSERT(play.last<StartAttempt>()->parallel);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the run goes on until the takeover answers", std::size_t(0),
                                     play.count<CancelAttempt>());
        play.events(draft, 1);
        play.beginStream(draft);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(1U, play.last<CancelAttempt>()->attempt.number);
        CPPUNIT_ASSERT_EQUAL(2U, play.last<RelayStream>()->attempt.number);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing is copied over the link", std::size_t(0),
                                     play.count<RequestMigration>());
        play.end(draft, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
        CPPUNIT_ASSERT(play.router.claims().empty());
    }

    /// Found by hunted days (LOST): the engine that was to keep the copy had had no room for it,
    /// and the run had been given up before that showed.
    void aCopyThatIsNotThereLosesNothing()
    {
        RouterHarness play;
        const RequestId draft = runWithBackup(play, 20);
        const std::string engine = play.startedOn();
        play.pass(milliseconds(900));
        play.events(draft, 1);
        play.setLeaving(engine);
        play.handle(EngineReportArrived {engine, {true, milliseconds(600)}});
        play.pass(milliseconds(300));
        CPPUNIT_ASSERT(play.last<StartAttempt>()->parallel);
        play.end(draft, AttemptEnd::Complete, 503, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<CancelAttempt>());
        play.pass(milliseconds(60));
        CPPUNIT_ASSERT_MESSAGE("it is moved instead", play.count<RequestMigration>() > 0);
    }

    void theRunsEndBesideATakeoverEndsTheStream()
    {
        RouterHarness play;
        const RequestId draft = runWithBackup(play, 20);
        const std::string engine = play.startedOn();
        play.pass(milliseconds(900));
        play.events(draft, 1);
        play.setLeaving(engine);
        play.handle(EngineReportArrived {engine, {true, milliseconds(300)}});
        play.pass(milliseconds(20));
        CPPUNIT_ASSERT(play.last<StartAttempt>()->parallel);
        play.handle(AttemptEnded {{draft, 1}, AttemptEnd::Complete, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<EndStream>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the takeover is given up", 2U,
                                     play.last<CancelAttempt>()->attempt.number);
        CPPUNIT_ASSERT(play.router.claims().empty());
    }

    /// Found by a hunted day (EVAC): the copy lay in a zone that was emptied meanwhile.
    void noTakeoverGoesToAnEvacuatedZone()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        play.addEngine("e2", "south");
        const RequestId draft = play.arrive("/long/1");
        play.beginStream(draft);
        play.events(draft, 20);
        play.pass(milliseconds(900));
        const bool backupSouth = play.startedOn() == "e1";
        play.evacuate(backupSouth ? "south" : "north");
        play.end(draft, AttemptEnd::Lost);
        play.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<AbortStream>());
    }

    void aYoungCopyIsNotTrusted()
    {
        RouterHarness play;
        runWithBackup(play, 2);
        const std::string engine = play.startedOn();
        play.setLeaving(engine);
        play.handle(EngineReportArrived {engine, {true, milliseconds(200)}});
        play.pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<StartAttempt>());
    }

    /// Load: a zone is cut off for seconds; its streams stand still, and their connections stay
    /// stuck for long after it is back.
    void aSilentStreamIsRescued()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.pass(milliseconds(1'400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<RequestMigration>());
        play.pass(milliseconds(200));
        auto ask = play.last<RequestMigration>();
        CPPUNIT_ASSERT_MESSAGE("nothing is heard of the run, so it is stopped at once",
                               ask && ask->final);
        play.answerMove(draft, true, MigrationStatus::Failed, "");
        const std::size_t asked = play.count<RequestMigration>();
        play.pass(milliseconds(1'000));
        CPPUNIT_ASSERT_MESSAGE("the cut may be over", play.count<RequestMigration>() > asked);
        play.answerMove(draft, true, MigrationStatus::Copied, "h");
        play.pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), play.count<StartAttempt>());
    }

    void whatCannotBeSavedDoesNotLookComplete()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        const RequestId draft = play.arrive("/long/1");
        play.beginStream(draft);
        play.events(draft, 7);
        play.end(draft, AttemptEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<SendLocalReply>());
    }

    void aResumableStreamGoesOnAfterItsLastEvent()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        play.addEngine("e2");
        const RequestId check = play.arrive("/short/1");
        const std::string first = play.startedOn();
        play.beginStream(check);
        play.events(check, 2);
        play.end(check, AttemptEnd::Lost);
        CPPUNIT_ASSERT(first != play.startedOn());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             play.last<StartAttempt>()->plan.resumeAfterEvent.value_or(0));
        // A refusal there is no end of the stream.
        play.end(check, AttemptEnd::Complete, 503, true);
        play.pass(milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<AbortStream>());
    }

    /// Load: engines are reclaimed while the store is down, so that nobody publishes it.
    void whileTheStoreIsAwayEnginesAreAsked()
    {
        RouterHarness play;
        const RequestId draft = runWithoutBackup(play, 7);
        play.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<RequestEngineReport>());
        play.handle(StoreAvailabilityChanged {true});
        play.pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), play.last<RequestEngineReport>()->upstream);
        play.handle(EngineReportArrived {"e1", {true, milliseconds(1'200)}});
        play.pass(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), play.last<RequestMigration>()->from);
        play.answerMove(draft, false, MigrationStatus::Copied);
        play.arrive("/long/2");
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), play.startedOn());
        const auto notes = play.router.takeObservations(play.now());
        CPPUNIT_ASSERT(!notes.empty() && notes[0].kind == UpstreamObservation::Kind::Draining);
        CPPUNIT_ASSERT_MESSAGE("what is left is told, not what was left",
                               notes[0].timeUntilExit < milliseconds(1'200));
    }

    /// Load: three engines of eight leave at once, with all that runs there. Copies succeed; every
    /// generation goes on, and no engine is planned beyond its memory.
    void aReclaimOfThreeEnginesLosesNoGeneration()
    {
        RouterHarness play;
        play.configure();
        for (int engine = 1; engine <= 8; ++engine) {
            play.addEngine("e" + std::to_string(engine), engine % 2 == 0 ? "north" : "south");
        }
        std::map<RequestId, std::string> runs;
        for (int draft = 0; draft < 24; ++draft) {
            const RequestId id = play.arrive("/long/1");
            runs[id] = play.startedOn();
            play.beginStream(id);
            play.events(id, 10);
        }
        play.pass(milliseconds(800));
        for (const char *draining : {"e1", "e2", "e3"}) {
            play.setLeaving(draining);
        }
        for (int step = 0; step < 60; ++step) {
            for (const auto &[id, engine] : runs) {
                play.events(id, 1);
                play.answerMove(id, false, MigrationStatus::Copied);
                play.answerMove(id, true, MigrationStatus::Copied);
                play.beginStream(id);
            }
            play.pass(milliseconds(40));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<AbortStream>());
        for (const decision::UpstreamClaim &claim : play.router.claims()) {
            const bool gone
                = claim.upstream == "e1" || claim.upstream == "e2" || claim.upstream == "e3";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(claim.upstream, 0U, gone ? claim.claim.attempts : 0U);
            CPPUNIT_ASSERT_MESSAGE(claim.upstream, claim.claim.memory <= 34'000U);
        }
    }
};

REGISTER_SUITE(RouterMigrationsTest, "router_migrations");

} // namespace azurespindle::routing
