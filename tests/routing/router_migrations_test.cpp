#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

#include <map>

namespace azurespindle::routing {

using tests::RouterHarness;

namespace {

/// Starts a generation on engine e1, delivers \a events events, and adds engine e2. The generation
/// has no backup, as e2 does not exist yet when it starts.
RequestId startGenerationWithoutBackup(RouterHarness &harness, std::uint32_t events)
{
    harness.configure();
    harness.addEngine("e1");
    const RequestId generation = harness.sendRequest("/long/1");
    harness.addEngine("e2");
    harness.receiveStreamHead(generation);
    harness.receiveEvents(generation, events);
    return generation;
}

/// Starts a generation on one of two engines, with a backup on the other, and delivers \a events
/// events.
RequestId startGenerationWithBackup(RouterHarness &harness, std::uint32_t events)
{
    harness.configure();
    harness.addEngine("e1");
    harness.addEngine("e2");
    const RequestId generation = harness.sendRequest("/long/1");
    harness.receiveStreamHead(generation);
    harness.receiveEvents(generation, events);
    return generation;
}

/// Completes the first copy.
void completeFirstCopy(RouterHarness &harness, RequestId generation)
{
    harness.respondToMigration(generation, false, MigrationStatus::Copied, "first");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the source still runs", std::size_t(1),
                                 harness.countEffects<StartAttempt>());
}

/// Ends the first attempt, as an engine does that has stopped the generation.
void endSource(RouterHarness &harness, RequestId generation, AttemptEnd end = AttemptEnd::Lost)
{
    harness.handle(AttemptEnded {{generation, 1}, end, "stopped"});
}

/// Returns the number of requests to stop the generation that came before the second attempt.
std::size_t stopsBeforeTakeover(const RouterHarness &harness)
{
    return harness.countEffects<StartAttempt>() == 2
        ? harness.countBeforeLast<StartAttempt>([](const RouterEffect &effect) {
              const auto *call = std::get_if<RequestMigration>(&effect);
              return call != nullptr && call->final;
          })
        : 0;
}

/// Responds to the request for the final copy, which belongs to the first attempt.
void respondToFinalCopy(RouterHarness &harness, RequestId generation, MigrationStatus status,
                        const std::string &handle)
{
    harness.handle(MigrationResponseArrived {{generation, 1}, true, {status, handle, 0}});
}

/// Migrates a generation to e2, whose takeover (attempt 2) does not begin. As e2 drains as well,
/// the generation is copied on to e3, and as e2 does not answer the request to stop, a parallel
/// takeover (attempt 3) is started there.
RequestId startTakeoverBesideAnother(RouterHarness &harness)
{
    const RequestId generation = startGenerationWithoutBackup(harness, 7);
    harness.setDraining("e1");
    completeFirstCopy(harness, generation);
    harness.advanceTime(milliseconds(400));
    respondToFinalCopy(harness, generation, MigrationStatus::Copied, "final");
    harness.advanceTime(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.lastUpstream());
    harness.addEngine("e3");
    harness.setDraining("e2");
    harness.advanceTime(milliseconds(20));
    harness.respondToMigration(generation, false, MigrationStatus::Copied, "second");
    harness.advanceTime(milliseconds(1'300));
    const auto parallel = harness.lastEffect<StartAttempt>();
    CPPUNIT_ASSERT(parallel->parallel);
    CPPUNIT_ASSERT_EQUAL(3U, parallel->attempt.number);
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), parallel->plan.upstream.id);
    return generation;
}

ResponseHead streamHead()
{
    ResponseHead head;
    head.status = 200;
    head.authentic = true;
    head.eventStream = true;
    return head;
}

} // namespace

class RouterMigrationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterMigrationsTest);
    CPPUNIT_TEST(aGenerationOnADrainingEngineIsMigrated);
    CPPUNIT_TEST(aFailedHandoverLeadsToAFinalCopy);
    CPPUNIT_TEST(theFinalCopyWaitsForOtherCopiesOnTheLink);
    CPPUNIT_TEST(theReportedExitTimeOverridesTheEstimate);
    CPPUNIT_TEST(theSourceIsCancelledBeforeATakeoverStarts);
    CPPUNIT_TEST(aDestinationWithoutCapacityIsReplaced);
    CPPUNIT_TEST(aGenerationWhoseFinalCopyFailsContinuesAtItsSource);
    CPPUNIT_TEST(aDrainingDestinationIsReplaced);
    CPPUNIT_TEST(aGenerationThatCompletesDuringItsMigrationEndsAsComplete);
    CPPUNIT_TEST(aGenerationSurvivesACrashAfterItsFirstCopy);
    CPPUNIT_TEST(theBackupIsUsedWhenTheEngineCrashes);
    CPPUNIT_TEST(theBackupIsUsedBeforeADrainingEngineExits);
    CPPUNIT_TEST(aMissingBackupDoesNotEndTheGeneration);
    CPPUNIT_TEST(theStreamEndsIfTheSourceCompletesDuringATakeover);
    CPPUNIT_TEST(noTakeoverStartsWhileTheSourceMayRun);
    CPPUNIT_TEST(aLostConnectionIsNotTakenForAStoppedRun);
    CPPUNIT_TEST(anEngineThatDoesNotConfirmAStopIsAskedAgain);
    CPPUNIT_TEST(aSilentSourceIsAskedToStopBeforeItsBackupIsUsed);
    CPPUNIT_TEST(aResumedStreamIsStoppedAtItsFirstEngine);
    CPPUNIT_TEST(aStoppedGenerationContinuesAtItsSourceIfItsDestinationDrains);
    CPPUNIT_TEST(generationsAreNotTakenOverInAnEvacuatedZone);
    CPPUNIT_TEST(aBackupIsNotUsedBeforeItIsReady);
    CPPUNIT_TEST(anAttemptThatHasNotBegunHasNoBackup);
    CPPUNIT_TEST(aSilentStreamIsRecoveredByMigration);
    CPPUNIT_TEST(aStoppedStreamWithoutChunksIsNotTakenForAComplete);
    CPPUNIT_TEST(aStreamThatNoBackupContinuesIsNotTakenOverWithoutEnd);
    CPPUNIT_TEST(aLateTakeoverDoesNotDiscardTheMigrationThatLeavesIt);
    CPPUNIT_TEST(aTakeoverThatFailsDoesNotEndTheOneBesideIt);
    CPPUNIT_TEST(anUnrecoverableStreamIsAborted);
    CPPUNIT_TEST(aResumableStreamContinuesAfterItsLastEvent);
    CPPUNIT_TEST(enginesArePolledWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(drainingThreeEnginesAtOnceLosesNoGeneration);
    CPPUNIT_TEST_SUITE_END();

public:
    void aGenerationOnADrainingEngineIsMigrated()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        const auto call = harness.lastEffect<RequestMigration>();
        CPPUNIT_ASSERT(call && !call->final);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), call->from);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:2"), call->to);
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(400));
        CPPUNIT_ASSERT_MESSAGE("the source is asked to stop",
                               harness.lastEffect<RequestMigration>()->final);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<CancelAttempt>());
        endSource(harness, generation);
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_MESSAGE("no other attempt runs beside it", !start->parallel);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it does not wait for the final copy",
                                     std::string("10.0.0.1:1/first"), start->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), start->plan.resumeAfterEvent.value_or(0));
        harness.receiveStreamHead(generation);
        CPPUNIT_ASSERT_EQUAL(2U, harness.lastEffect<RelayStream>()->attempt.number);
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "last");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the final copy is not needed", std::string("last"),
                                     harness.lastEffect<ReleaseCopy>()->handle);
        harness.receiveEvents(generation, 3);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against a generation that is lost because its destination cannot use the first copy:
    /// the source must be stopped and the rest copied.
    void aFailedHandoverLeadsToAFinalCopy()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(1'000));
        const auto call = harness.lastEffect<RequestMigration>();
        CPPUNIT_ASSERT(call && call->final);
        endSource(harness, generation);
        harness.endAttempt(generation, AttemptEnd::Complete, 503, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it waits for the final copy", std::size_t(2),
                                     harness.countEffects<StartAttempt>());
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "h2");
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/h2"), start->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), start->plan.resumeAfterEvent.value_or(0));
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 3);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against long pauses in streams when an engine with many long generations drains. All
    /// first copies share one queue, and a generation that is stopped before they complete pauses
    /// until they do.
    void theFinalCopyWaitsForOtherCopiesOnTheLink()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.handle(PeerReportArrived {"peer", true, {{"e1", {5, 17'500, 0}}}, {}, {}});
        harness.setDraining("e1");
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE("copies of other generations are in progress",
                               !harness.lastEffect<RequestMigration>()->final);
        harness.advanceTime(milliseconds(700));
        CPPUNIT_ASSERT(harness.lastEffect<RequestMigration>()->final);
        RouterHarness alone;
        const RequestId single = startGenerationWithoutBackup(alone, 7);
        alone.setDraining("e1");
        completeFirstCopy(alone, single);
        alone.advanceTime(milliseconds(400));
        CPPUNIT_ASSERT_MESSAGE("no other copy uses the link",
                               alone.lastEffect<RequestMigration>()->final);
    }

    void theReportedExitTimeOverridesTheEstimate()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.handle(PeerReportArrived {"peer", true, {{"e1", {8, 28'000, 0}}}, {}, {}});
        harness.setDraining("e1");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                             harness.lastEffect<RequestEngineReport>()->upstream);
        harness.handle(EngineReportArrived {"e1", {true, milliseconds(800)}});
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(400));
        CPPUNIT_ASSERT(!harness.lastEffect<RequestMigration>()->final);
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_MESSAGE("the engine exits soon",
                               harness.lastEffect<RequestMigration>()->final);
    }

    void theSourceIsCancelledBeforeATakeoverStarts()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        completeFirstCopy(harness, generation);
        while (!harness.lastEffect<RequestMigration>()->final) {
            harness.advanceTime(milliseconds(20));
        }
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "h");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the last events may still arrive", std::size_t(1),
                                     harness.countEffects<StartAttempt>());
        harness.handle(EventsArrived {{generation, 1}, 1, 8});
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the old stream is closed first", std::size_t(1),
                                     harness.countEffects<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
    }

    void aDestinationWithoutCapacityIsReplaced()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.addEngine("e3");
        harness.setDraining("e1");
        const std::string first = harness.lastEffect<RequestMigration>()->to;
        harness.respondToMigration(generation, false, MigrationStatus::NoCapacity);
        CPPUNIT_ASSERT(first != harness.lastEffect<RequestMigration>()->to);
        harness.respondToMigration(generation, false, MigrationStatus::NotRunning);
        const std::size_t callCount = harness.countEffects<RequestMigration>();
        harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_MESSAGE("the migration is requested again",
                               harness.countEffects<RequestMigration>() > callCount);
    }

    void aGenerationWhoseFinalCopyFailsContinuesAtItsSource()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(1'000));
        endSource(harness, generation);
        harness.endAttempt(generation, AttemptEnd::Complete, 503, true);
        respondToFinalCopy(harness, generation, MigrationStatus::NoCapacity, "kept");
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/kept"), start->plan.takeover->source);
    }

    void aDrainingDestinationIsReplaced()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.addEngine("e3");
        harness.setDraining("e1");
        const bool toSecond = harness.lastEffect<RequestMigration>()->to == "10.0.0.1:2";
        completeFirstCopy(harness, generation);
        harness.setDraining(toSecond ? "e2" : "e3");
        CPPUNIT_ASSERT_EQUAL(std::string(toSecond ? "10.0.0.1:3" : "10.0.0.1:2"),
                             harness.lastEffect<RequestMigration>()->to);
    }

    void aGenerationThatCompletesDuringItsMigrationEndsAsComplete()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        harness.respondToMigration(generation, false, MigrationStatus::Copied);
        harness.handle(AttemptEnded {{generation, 1}, AttemptEnd::Complete, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the copy is released", std::size_t(1),
                                     harness.countEffects<ReleaseCopy>());
        RouterHarness late;
        const RequestId other = startGenerationWithoutBackup(late, 7);
        late.setDraining("e1");
        completeFirstCopy(late, other);
        late.advanceTime(milliseconds(1'000));
        late.handle(AttemptEnded {{other, 1}, AttemptEnd::Complete, ""});
        respondToFinalCopy(late, other, MigrationStatus::NotRunning, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), late.countEffects<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), late.countEffects<AbortStream>());
    }

    void aGenerationSurvivesACrashAfterItsFirstCopy()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.handle(PeerReportArrived {"peer", true, {{"e1", {8, 28'000, 0}}}, {}, {}});
        harness.setDraining("e1");
        harness.respondToMigration(generation, false, MigrationStatus::Copied, "first");
        harness.handle(EventsArrived {{generation, 1}, 5, 12});
        endSource(harness, generation);
        respondToFinalCopy(harness, generation, MigrationStatus::EngineGone, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/first"), start->plan.takeover->source);
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 6);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
    }

    /// Guards against generations that are lost when engines crash, or are shut down while the
    /// store is unavailable and cannot announce it.
    void theBackupIsUsedWhenTheEngineCrashes()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        const auto first = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT(!first->plan.backupAddress.empty());
        CPPUNIT_ASSERT(first->plan.backupAddress != first->plan.upstream.address);
        harness.advanceTime(milliseconds(900));
        endSource(harness, generation);
        respondToFinalCopy(harness, generation, MigrationStatus::EngineGone, "");
        const auto second = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(first->plan.backupAddress, second->plan.upstream.address);
        CPPUNIT_ASSERT_EQUAL(first->plan.backupAddress + "/c1", second->plan.takeover->source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), second->plan.resumeAfterEvent.value_or(0));
    }

    void theBackupIsUsedBeforeADrainingEngineExits()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        const std::string engine = harness.lastUpstream();
        harness.advanceTime(milliseconds(900));
        harness.receiveEvents(generation, 1);
        harness.setDraining(engine);
        harness.handle(EngineReportArrived {engine, {true, milliseconds(1'000)}});
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the source still runs", std::size_t(1),
                                     harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT(harness.lastEffect<RequestMigration>()->final);
        harness.receiveEvents(generation, 1);
        endSource(harness, generation);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsBeforeTakeover(harness));
        CPPUNIT_ASSERT(!harness.lastEffect<StartAttempt>()->parallel);
        CPPUNIT_ASSERT(harness.lastUpstream() != engine);
        harness.receiveStreamHead(generation);
        CPPUNIT_ASSERT_EQUAL(2U, harness.lastEffect<RelayStream>()->attempt.number);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against a lost generation: the engine chosen for the backup had no capacity for the
    /// copy, and the current attempt was cancelled before this became known. Found on hunted days
    /// (rule LOST).
    void aMissingBackupDoesNotEndTheGeneration()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        const std::string engine = harness.lastUpstream();
        harness.advanceTime(milliseconds(900));
        harness.receiveEvents(generation, 1);
        harness.setDraining(engine);
        harness.handle(EngineReportArrived {engine, {true, milliseconds(600)}});
        harness.advanceTime(milliseconds(300));
        endSource(harness, generation);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        harness.endAttempt(generation, AttemptEnd::Complete, 503, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "last");
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it continues from the final copy instead", 3U,
                                     start->attempt.number);
        CPPUNIT_ASSERT(start->plan.takeover->source.find("/last") != std::string::npos);
    }

    void theStreamEndsIfTheSourceCompletesDuringATakeover()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        harness.advanceTime(milliseconds(1'900));
        CPPUNIT_ASSERT_MESSAGE("the source is silent and does not answer",
                               harness.lastEffect<StartAttempt>()->parallel);
        endSource(harness, generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the takeover is cancelled", 2U,
                                     harness.lastEffect<CancelAttempt>()->attempt.number);
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against a run that works on at its engine while another engine continues it (rule
    /// TWICE): the destination was asked to begin before the source had stopped.
    void noTakeoverStartsWhileTheSourceMayRun()
    {
        for (const bool hasBackup : {false, true}) {
            RouterHarness harness;
            const RequestId generation = hasBackup ? startGenerationWithBackup(harness, 20)
                                                   : startGenerationWithoutBackup(harness, 20);
            const std::string engine = harness.lastUpstream();
            harness.advanceTime(milliseconds(900));
            harness.setDraining(engine);
            harness.respondToMigration(generation, false, MigrationStatus::Copied, "first");
            for (int step = 0; step < 40; ++step) {
                harness.receiveEvents(generation, 1);
                harness.advanceTime(milliseconds(100));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
            endSource(harness, generation);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsBeforeTakeover(harness));
        }
    }

    /// Guards against a run that goes on at an engine that does not notice closed connections (rule
    /// TWICE): the end of the connection was taken for the end of the run.
    void aLostConnectionIsNotTakenForAStoppedRun()
    {
        for (const MigrationStatus answer :
             {MigrationStatus::NotRunning, MigrationStatus::EngineGone, MigrationStatus::Copied}) {
            RouterHarness harness;
            const RequestId generation = startGenerationWithBackup(harness, 20);
            harness.advanceTime(milliseconds(900));
            endSource(harness, generation);
            CPPUNIT_ASSERT(harness.lastEffect<RequestMigration>()->final);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
            respondToFinalCopy(harness, generation, answer,
                               answer == MigrationStatus::Copied ? "last" : "");
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
            harness.advanceTime(milliseconds(1'000));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the stop is confirmed", std::size_t(1),
                                         harness.countEffects<RequestMigration>());
        }
    }

    /// Guards against a stream that waits for an engine that cannot be reached, and against a run
    /// that is forgotten there (rule TWICE).
    void anEngineThatDoesNotConfirmAStopIsAskedAgain()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        harness.advanceTime(milliseconds(900));
        endSource(harness, generation);
        harness.advanceTime(milliseconds(240));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the takeover does not wait for long", std::size_t(2),
                                     harness.countEffects<StartAttempt>());
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 3);
        for (std::size_t asked = 1; asked <= 3; ++asked) {
            CPPUNIT_ASSERT_EQUAL(asked, harness.countEffects<RequestMigration>());
            respondToFinalCopy(harness, generation, MigrationStatus::Failed, "");
            harness.advanceTime(milliseconds(600));
            harness.receiveEvents(generation, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.router.status().unconfirmedStops);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "late");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("also after the request has ended", std::size_t(0),
                                     harness.router.status().unconfirmedStops);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing uses the copy", std::string("late"),
                                     harness.lastEffect<ReleaseCopy>()->handle);
    }

    /// Guards against two runs of one generation when a silent engine works on (rule TWICE).
    void aSilentSourceIsAskedToStopBeforeItsBackupIsUsed()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        harness.advanceTime(milliseconds(1'600));
        CPPUNIT_ASSERT(harness.lastEffect<RequestMigration>()->final);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        respondToFinalCopy(harness, generation, MigrationStatus::NoCapacity, "kept");
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT(!harness.lastEffect<StartAttempt>()->parallel);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<CancelAttempt>());
    }

    /// Guards against a resumed stream whose first run goes on (rule TWICE).
    void aResumedStreamIsStoppedAtItsFirstEngine()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        const RequestId generation = harness.sendRequest("/short/1");
        const std::string first = harness.lastUpstream() == "e1" ? "10.0.0.1:1" : "10.0.0.1:2";
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 2);
        harness.endAttempt(generation, AttemptEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsBeforeTakeover(harness));
        CPPUNIT_ASSERT_EQUAL(first, harness.lastEffect<RequestMigration>()->from);
    }

    /// Guards against a stopped generation that is lost because its destination drains as well.
    void aStoppedGenerationContinuesAtItsSourceIfItsDestinationDrains()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.setDraining("e1");
        completeFirstCopy(harness, generation);
        harness.advanceTime(milliseconds(400));
        harness.evacuateZone("south");
        harness.remove("e2");
        endSource(harness, generation);
        respondToFinalCopy(harness, generation, MigrationStatus::Copied, "last");
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), start->plan.upstream.id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1/last"), start->plan.takeover->source);
    }

    /// Guards against requests to an evacuated zone: the backup was held in a zone that was
    /// evacuated afterwards. Found on a hunted day (rule EVAC).
    void generationsAreNotTakenOverInAnEvacuatedZone()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2", "south");
        const RequestId generation = harness.sendRequest("/long/1");
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 20);
        harness.advanceTime(milliseconds(900));
        const bool backupSouth = harness.lastUpstream() == "e1";
        harness.evacuateZone(backupSouth ? "south" : "north");
        harness.endAttempt(generation, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<AbortStream>());
    }

    void aBackupIsNotUsedBeforeItIsReady()
    {
        RouterHarness harness;
        startGenerationWithBackup(harness, 2);
        const std::string engine = harness.lastUpstream();
        harness.setDraining(engine);
        harness.handle(EngineReportArrived {engine, {true, milliseconds(200)}});
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
    }

    /// Guards against a takeover from a backup that does not exist: a crowded engine admits the run
    /// late, and the events of an earlier attempt were taken for its own.
    void anAttemptThatHasNotBegunHasNoBackup()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 20);
        harness.addEngine("e3");
        harness.advanceTime(milliseconds(900));
        endSource(harness, generation);
        respondToFinalCopy(harness, generation, MigrationStatus::EngineGone, "");
        CPPUNIT_ASSERT(!harness.lastEffect<StartAttempt>()->plan.backupAddress.empty());
        harness.advanceTime(milliseconds(1'780));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no takeover of the takeover", std::size_t(2),
                                     harness.countEffects<StartAttempt>());
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 3);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against streams that hang after a network partition of a few seconds: their
    /// connections remain stuck long after the zone is reachable again.
    void aSilentStreamIsRecoveredByMigration()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.advanceTime(milliseconds(1'400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<RequestMigration>());
        harness.advanceTime(milliseconds(200));
        auto call = harness.lastEffect<RequestMigration>();
        CPPUNIT_ASSERT_MESSAGE("the stream is silent, so the source is stopped at once",
                               call && call->final);
        harness.respondToMigration(generation, true, MigrationStatus::Failed, "");
        const std::size_t callCount = harness.countEffects<RequestMigration>();
        harness.advanceTime(milliseconds(1'000));
        CPPUNIT_ASSERT_MESSAGE("the partition may be over",
                               harness.countEffects<RequestMigration>() > callCount);
        harness.respondToMigration(generation, true, MigrationStatus::Copied, "h");
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
    }

    void aStoppedStreamWithoutChunksIsNotTakenForAComplete()
    {
        for (const bool endsWithConnection : {false, true}) {
            for (const MigrationStatus status :
                 {MigrationStatus::Failed, MigrationStatus::NotRunning}) {
                RouterHarness harness;
                const RequestId generation = startGenerationWithoutBackup(harness, 7);
                ResponseHead head = streamHead();
                head.endsWithConnection = endsWithConnection;
                harness.handle(HeadArrived {{generation, 1}, head});
                harness.advanceTime(milliseconds(1'600));
                CPPUNIT_ASSERT(harness.lastEffect<RequestMigration>()->final);
                harness.endAttempt(generation, AttemptEnd::Complete);
                respondToFinalCopy(harness, generation, status, "");
                const bool stopped = endsWithConnection && status == MigrationStatus::Failed;
                CPPUNIT_ASSERT_EQUAL(std::size_t(stopped ? 0 : 1),
                                     harness.countEffects<EndStream>());
                CPPUNIT_ASSERT_EQUAL(std::size_t(stopped ? 1 : 0),
                                     harness.countEffects<AbortStream>());
            }
        }
    }

    void aStreamThatNoBackupContinuesIsNotTakenOverWithoutEnd()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithBackup(harness, 2);
        for (int takeover = 0; takeover < 20; ++takeover) {
            harness.advanceTime(milliseconds(100));
            harness.endAttempt(generation, AttemptEnd::Lost);
            harness.receiveStreamHead(generation);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT(harness.countEffects<StartAttempt>() <= 6);
    }

    /// Guards against a process that corrupts its memory and ends (rule LOST): the head of a late
    /// takeover discarded the migration away from it, which the failure of the parallel takeover
    /// then used.
    void aLateTakeoverDoesNotDiscardTheMigrationThatLeavesIt()
    {
        RouterHarness harness;
        const RequestId generation = startTakeoverBesideAnother(harness);
        harness.handle(HeadArrived {{generation, 2}, streamHead()});
        harness.endAttempt(generation, AttemptEnd::Complete, 503, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        harness.handle(
            MigrationResponseArrived {{generation, 2}, true, {MigrationStatus::Copied, "last", 0}});
        harness.advanceTime(milliseconds(100));
        const auto start = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it continues from the final copy", 4U, start->attempt.number);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:2/last"), start->plan.takeover->source);
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 3);
        harness.endAttempt(generation, AttemptEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
    }

    /// Guards against a generation that is lost although a parallel takeover could continue it: the
    /// end of the attempt that it leaves was taken for its own.
    void aTakeoverThatFailsDoesNotEndTheOneBesideIt()
    {
        for (const AttemptEnd end : {AttemptEnd::Lost, AttemptEnd::ConnectionRefused}) {
            RouterHarness harness;
            const RequestId generation = startTakeoverBesideAnother(harness);
            harness.handle(AttemptEnded {{generation, 2}, end, "played"});
            harness.advanceTime(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.countEffects<StartAttempt>());
            harness.receiveStreamHead(generation);
            CPPUNIT_ASSERT_EQUAL(3U, harness.lastEffect<RelayStream>()->attempt.number);
            harness.receiveEvents(generation, 3);
            harness.endAttempt(generation, AttemptEnd::Complete);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<EndStream>());
            CPPUNIT_ASSERT(harness.router.claims().empty());
        }
    }

    void anUnrecoverableStreamIsAborted()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId generation = harness.sendRequest("/long/1");
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 7);
        harness.endAttempt(generation, AttemptEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<SendLocalReply>());
    }

    void aResumableStreamContinuesAfterItsLastEvent()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        const RequestId generation = harness.sendRequest("/short/1");
        const std::string first = harness.lastUpstream();
        harness.receiveStreamHead(generation);
        harness.receiveEvents(generation, 2);
        harness.endAttempt(generation, AttemptEnd::Lost);
        CPPUNIT_ASSERT(first != harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             harness.lastEffect<StartAttempt>()->plan.resumeAfterEvent.value_or(0));
        // A rejection by the next upstream must not end the stream as complete.
        harness.endAttempt(generation, AttemptEnd::Complete, 503, true);
        harness.advanceTime(milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<EndStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<AbortStream>());
    }

    /// Guards against generations that are lost when engines are shut down during an outage of the
    /// store, which therefore does not publish that they drain.
    void enginesArePolledWhileTheStoreIsUnavailable()
    {
        RouterHarness harness;
        const RequestId generation = startGenerationWithoutBackup(harness, 7);
        harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<RequestEngineReport>());
        harness.handle(StoreAvailabilityChanged {true});
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"),
                             harness.lastEffect<RequestEngineReport>()->upstream);
        harness.handle(EngineReportArrived {"e1", {true, milliseconds(1'200)}});
        harness.advanceTime(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"),
                             harness.lastEffect<RequestMigration>()->from);
        harness.respondToMigration(generation, false, MigrationStatus::Copied);
        harness.sendRequest("/long/2");
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.lastUpstream());
        const auto observations = harness.router.takeObservations(harness.now());
        CPPUNIT_ASSERT(!observations.empty()
                       && observations[0].kind == UpstreamObservation::Kind::Draining);
        CPPUNIT_ASSERT_MESSAGE("the time until exit is reduced by the age of the observation",
                               observations[0].timeUntilExit < milliseconds(1'200));
    }

    /// Guards against lost generations and overcommitted memory when three of eight engines drain
    /// at once. All copies succeed, so every generation must continue within the engines' memory.
    void drainingThreeEnginesAtOnceLosesNoGeneration()
    {
        RouterHarness harness;
        harness.configure();
        for (int engine = 1; engine <= 8; ++engine) {
            harness.addEngine("e" + std::to_string(engine), engine % 2 == 0 ? "north" : "south");
        }
        std::map<RequestId, std::string> runs;
        for (int run = 0; run < 24; ++run) {
            const RequestId id = harness.sendRequest("/long/1");
            runs[id] = harness.lastUpstream();
            harness.receiveStreamHead(id);
            harness.receiveEvents(id, 10);
        }
        harness.advanceTime(milliseconds(800));
        for (const char *draining : {"e1", "e2", "e3"}) {
            harness.setDraining(draining);
        }
        for (int step = 0; step < 60; ++step) {
            for (const auto &[id, engine] : runs) {
                harness.receiveEvents(id, 1);
                harness.respondToMigration(id, false, MigrationStatus::Copied);
                harness.respondToMigration(id, true, MigrationStatus::Copied);
                harness.receiveStreamHead(id);
            }
            harness.advanceTime(milliseconds(40));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        for (const decision::UpstreamClaim &claim : harness.router.claims()) {
            const bool drained
                = claim.upstream == "e1" || claim.upstream == "e2" || claim.upstream == "e3";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(claim.upstream, 0U, drained ? claim.claim.attempts : 0U);
            CPPUNIT_ASSERT_MESSAGE(claim.upstream, claim.claim.memory <= 34'000U);
        }
    }
};

REGISTER_SUITE(RouterMigrationsTest, "router_migrations");

} // namespace azurespindle::routing
