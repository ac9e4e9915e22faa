#include "decision/rollout_controller.h"

#include "support/suite.h"

#include <optional>

namespace azurespindle::decision {

class RolloutControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutControllerTest);
    CPPUNIT_TEST(anEngineIsOrderedOnlyOnceNothingRunsThere);
    CPPUNIT_TEST(aFurtherAdapterNeedsNoDrain);
    CPPUNIT_TEST(aPermitThatRanOutBringsTheEngineBack);
    CPPUNIT_TEST(aPausedProcessForgetsItsPermit);
    CPPUNIT_TEST(anOldLookIsNoGroundForAnOrder);
    CPPUNIT_TEST(anEngineOfAnotherModelOrRoleGetsNoWork);
    CPPUNIT_TEST(anEngineThatTellsNoVersionIsNotOrdered);
    CPPUNIT_TEST(aRefusedOrderIsTriedAgainLater);
    CPPUNIT_TEST(whatWasLoadedCountsAsCold);
    CPPUNIT_TEST_SUITE_END();

public:
    void anEngineIsOrderedOnlyOnceNothingRunsThere()
    {
        RolloutController steward = draining();
        CPPUNIT_ASSERT(!steward.isAccepting("e"));
        EngineObservation held = seen("v1");
        held.committed = 1;
        CPPUNIT_ASSERT(!order(steward.recordObservation(held, Instant(seconds(2)))));
        EngineObservation busy = seen("v1");
        busy.activeGenerations = 1;
        CPPUNIT_ASSERT(!order(steward.recordObservation(busy, Instant(seconds(3)))));
        const auto sent = order(steward.recordObservation(seen("v1"), Instant(seconds(4))));
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->fencingToken);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), sent->image.version);
        CPPUNIT_ASSERT(sent->notAfter <= Instant(seconds(5)));
    }

    void aFurtherAdapterNeedsNoDrain()
    {
        RolloutController steward("s#1");
        DesiredImage wanted = want("v1");
        wanted.image.adapters = {"a"};
        steward.setDesiredImage(wanted, Instant(seconds(1)));
        EngineObservation busy = seen("v1");
        busy.activeGenerations = 5;
        steward.recordObservation(busy, Instant(seconds(1)));
        CPPUNIT_ASSERT(
            order(steward.handlePermitAnswer(granted(), Instant(seconds(1)))).has_value());
    }

    void aPermitThatRanOutBringsTheEngineBack()
    {
        RolloutController steward = draining();
        EngineObservation busy = seen("v1");
        busy.activeGenerations = 1;
        for (int second = 2; second < 20; ++second) {
            steward.tick(Instant(seconds(second)));
            steward.recordObservation(busy, Instant(seconds(second)));
        }
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.isAccepting("e"));
    }

    void aPausedProcessForgetsItsPermit()
    {
        RolloutController steward = draining();
        steward.tick(Instant(seconds(2)));
        steward.tick(Instant(seconds(8)));
        CPPUNIT_ASSERT(!order(steward.recordObservation(seen("v1"), Instant(seconds(8)))));
        CPPUNIT_ASSERT(OrderPhase::Draining != steward.status().front().phase);
    }

    void anOldLookIsNoGroundForAnOrder()
    {
        RolloutController steward("s#1");
        steward.setDesiredImage(want("v2"), Instant(seconds(1)));
        steward.recordObservation(seen("v1"), Instant(seconds(1)));
        CPPUNIT_ASSERT(!order(steward.handlePermitAnswer(granted(), Instant(seconds(3)))));
        CPPUNIT_ASSERT(
            order(steward.recordObservation(seen("v1"), Instant(seconds(4)))).has_value());
    }

    void anEngineOfAnotherModelOrRoleGetsNoWork()
    {
        RolloutController steward("s#1");
        steward.setDesiredImage(want("v1"), Instant());
        EngineObservation other = seen("v1");
        other.image.model = "another";
        steward.recordObservation(other, Instant(seconds(1)));
        CPPUNIT_ASSERT(!steward.isAccepting("e"));
        other.image.model = "m";
        steward.recordObservation(other, Instant(seconds(2)));
        CPPUNIT_ASSERT(steward.isAccepting("e"));
        other.image.role = "prefill";
        steward.recordObservation(other, Instant(seconds(3)));
        CPPUNIT_ASSERT(!steward.isAccepting("e"));
    }

    void anEngineThatTellsNoVersionIsNotOrdered()
    {
        RolloutController steward("s#1");
        steward.setDesiredImage(want("v2"), Instant());
        steward.recordObservation(seen(""), Instant(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Unseen, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.isAccepting("e"));
    }

    void aRefusedOrderIsTriedAgainLater()
    {
        RolloutController steward = draining();
        const auto sent = order(steward.recordObservation(seen("v1"), Instant(seconds(2))));
        CPPUNIT_ASSERT(sent.has_value());
        const auto effects
            = steward.handleOrderReply(*sent, OrderReply::Failed, "503", Instant(seconds(2)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, asked(effects)->phase);
        CPPUNIT_ASSERT(steward.isAccepting("e"));
        steward.recordObservation(seen("v1"), Instant(seconds(12)));
        const auto later = asked(steward.tick(Instant(seconds(13))));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, later->phase);
    }

    void whatWasLoadedCountsAsCold()
    {
        RolloutController steward = draining();
        const auto sent = order(steward.recordObservation(seen("v1"), Instant(seconds(2))));
        steward.handleOrderReply(*sent, OrderReply::Accepted, "", Instant(seconds(2)));
        CPPUNIT_ASSERT(!steward.isAccepting("e"));
        bool cold = false;
        for (const RolloutEffect &effect :
             steward.recordObservation(seen("v2"), Instant(seconds(5)))) {
            cold = cold || std::holds_alternative<MarkCold>(effect);
        }
        CPPUNIT_ASSERT(cold);
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.isAccepting("e"));
    }

private:
    static DesiredImage want(const std::string &version)
    {
        return {"e", "m", 7, {"", version, {}, ""}, true};
    }

    static EngineObservation seen(const std::string &version)
    {
        EngineObservation engine;
        engine.upstream = "e";
        engine.image.version = version;
        return engine;
    }

    static PermitAnswer granted() { return {"e", 7, true, true, milliseconds(15'000), ""}; }

    /// Returns a steward whose engine got its permit at second 1, while it was busy.
    static RolloutController draining()
    {
        RolloutController steward("s#1");
        steward.setDesiredImage(want("v2"), Instant(seconds(1)));
        EngineObservation busy = seen("v1");
        busy.activeGenerations = 1;
        steward.recordObservation(busy, Instant(seconds(1)));
        steward.handlePermitAnswer(granted(), Instant(seconds(1)));
        return steward;
    }

    static std::optional<EngineOrder> order(const RolloutEffects &effects)
    {
        for (const RolloutEffect &effect : effects) {
            if (const auto *send = std::get_if<SendOrder>(&effect)) {
                return send->order;
            }
        }
        return std::nullopt;
    }

    static std::optional<PermitRequest> asked(const RolloutEffects &effects)
    {
        for (const RolloutEffect &effect : effects) {
            if (const auto *ask = std::get_if<RequestPermit>(&effect)) {
                return ask->request;
            }
        }
        return std::nullopt;
    }
};

REGISTER_SUITE(RolloutControllerTest, "rollout_controller");

} // namespace azurespindle::decision
