#include "decision/rollout_controller.h"

#include "support/suite.h"

#include <optional>

namespace azurespindle::decision {

class RolloutControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutControllerTest);
    CPPUNIT_TEST(anEngineIsOrderedOnlyAfterItsGenerationsEnd);
    CPPUNIT_TEST(anAdditionalAdapterNeedsNoDraining);
    CPPUNIT_TEST(anEngineServesAgainAfterItsPermitExpires);
    CPPUNIT_TEST(aPausedProcessDropsItsPermit);
    CPPUNIT_TEST(noOrderIsBasedOnAnOldObservation);
    CPPUNIT_TEST(anEngineWithAnotherModelOrRoleGetsNoWork);
    CPPUNIT_TEST(anEngineThatReportsNoVersionIsNotOrdered);
    CPPUNIT_TEST(aFailedOrderIsRetriedAfterADelay);
    CPPUNIT_TEST(aReloadedEngineCountsAsCold);
    CPPUNIT_TEST_SUITE_END();

public:
    void anEngineIsOrderedOnlyAfterItsGenerationsEnd()
    {
        RolloutController controller = drainingController();
        CPPUNIT_ASSERT(!controller.isAccepting("e"));
        EngineObservation leased = observation("v1");
        leased.committed = 1;
        CPPUNIT_ASSERT(!sentOrder(controller.recordObservation(leased, Instant(seconds(2)))));
        EngineObservation busy = observation("v1");
        busy.activeGenerations = 1;
        CPPUNIT_ASSERT(!sentOrder(controller.recordObservation(busy, Instant(seconds(3)))));
        const auto sent
            = sentOrder(controller.recordObservation(observation("v1"), Instant(seconds(4))));
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->fencingToken);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), sent->image.version);
        CPPUNIT_ASSERT(sent->notAfter <= Instant(seconds(5)));
    }

    void anAdditionalAdapterNeedsNoDraining()
    {
        RolloutController controller("s#1");
        DesiredImage desired = desiredImage("v1");
        desired.image.adapters = {"a"};
        controller.setDesiredImage(desired, Instant(seconds(1)));
        EngineObservation busy = observation("v1");
        busy.activeGenerations = 5;
        controller.recordObservation(busy, Instant(seconds(1)));
        CPPUNIT_ASSERT(
            sentOrder(controller.handlePermitAnswer(grantedPermit(), Instant(seconds(1))))
                .has_value());
    }

    void anEngineServesAgainAfterItsPermitExpires()
    {
        RolloutController controller = drainingController();
        EngineObservation busy = observation("v1");
        busy.activeGenerations = 1;
        for (int second = 2; second < 20; ++second) {
            controller.tick(Instant(seconds(second)));
            controller.recordObservation(busy, Instant(seconds(second)));
        }
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, controller.status().front().phase);
        CPPUNIT_ASSERT(controller.isAccepting("e"));
    }

    void aPausedProcessDropsItsPermit()
    {
        RolloutController controller = drainingController();
        controller.tick(Instant(seconds(2)));
        controller.tick(Instant(seconds(8)));
        CPPUNIT_ASSERT(
            !sentOrder(controller.recordObservation(observation("v1"), Instant(seconds(8)))));
        CPPUNIT_ASSERT(OrderPhase::Draining != controller.status().front().phase);
    }

    void noOrderIsBasedOnAnOldObservation()
    {
        RolloutController controller("s#1");
        controller.setDesiredImage(desiredImage("v2"), Instant(seconds(1)));
        controller.recordObservation(observation("v1"), Instant(seconds(1)));
        CPPUNIT_ASSERT(
            !sentOrder(controller.handlePermitAnswer(grantedPermit(), Instant(seconds(3)))));
        CPPUNIT_ASSERT(
            sentOrder(controller.recordObservation(observation("v1"), Instant(seconds(4))))
                .has_value());
    }

    void anEngineWithAnotherModelOrRoleGetsNoWork()
    {
        RolloutController controller("s#1");
        controller.setDesiredImage(desiredImage("v1"), Instant());
        EngineObservation other = observation("v1");
        other.image.model = "another";
        controller.recordObservation(other, Instant(seconds(1)));
        CPPUNIT_ASSERT(!controller.isAccepting("e"));
        other.image.model = "m";
        controller.recordObservation(other, Instant(seconds(2)));
        CPPUNIT_ASSERT(controller.isAccepting("e"));
        other.image.role = "prefill";
        controller.recordObservation(other, Instant(seconds(3)));
        CPPUNIT_ASSERT(!controller.isAccepting("e"));
    }

    void anEngineThatReportsNoVersionIsNotOrdered()
    {
        RolloutController controller("s#1");
        controller.setDesiredImage(desiredImage("v2"), Instant());
        controller.recordObservation(observation(""), Instant(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Unseen, controller.status().front().phase);
        CPPUNIT_ASSERT(controller.isAccepting("e"));
    }

    void aFailedOrderIsRetriedAfterADelay()
    {
        RolloutController controller = drainingController();
        const auto sent
            = sentOrder(controller.recordObservation(observation("v1"), Instant(seconds(2))));
        CPPUNIT_ASSERT(sent.has_value());
        const auto effects
            = controller.handleOrderReply(*sent, OrderReply::Failed, "503", Instant(seconds(2)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, permitRequest(effects)->phase);
        CPPUNIT_ASSERT(controller.isAccepting("e"));
        controller.recordObservation(observation("v1"), Instant(seconds(12)));
        const auto later = permitRequest(controller.tick(Instant(seconds(13))));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, later->phase);
    }

    void aReloadedEngineCountsAsCold()
    {
        RolloutController controller = drainingController();
        const auto sent
            = sentOrder(controller.recordObservation(observation("v1"), Instant(seconds(2))));
        controller.handleOrderReply(*sent, OrderReply::Accepted, "", Instant(seconds(2)));
        CPPUNIT_ASSERT(!controller.isAccepting("e"));
        bool cold = false;
        for (const RolloutEffect &effect :
             controller.recordObservation(observation("v2"), Instant(seconds(5)))) {
            cold = cold || std::holds_alternative<MarkCold>(effect);
        }
        CPPUNIT_ASSERT(cold);
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, controller.status().front().phase);
        CPPUNIT_ASSERT(controller.isAccepting("e"));
    }

private:
    static DesiredImage desiredImage(const std::string &version)
    {
        return {"e", "m", 7, {"", version, {}, ""}, true};
    }

    static EngineObservation observation(const std::string &version)
    {
        EngineObservation engine;
        engine.upstream = "e";
        engine.image.version = version;
        return engine;
    }

    static PermitAnswer grantedPermit() { return {"e", 7, true, true, milliseconds(15'000), ""}; }

    /// Returns a controller whose engine got its permit at second 1, while it ran a generation.
    static RolloutController drainingController()
    {
        RolloutController controller("s#1");
        controller.setDesiredImage(desiredImage("v2"), Instant(seconds(1)));
        EngineObservation busy = observation("v1");
        busy.activeGenerations = 1;
        controller.recordObservation(busy, Instant(seconds(1)));
        controller.handlePermitAnswer(grantedPermit(), Instant(seconds(1)));
        return controller;
    }

    static std::optional<EngineOrder> sentOrder(const RolloutEffects &effects)
    {
        for (const RolloutEffect &effect : effects) {
            if (const auto *send = std::get_if<SendOrder>(&effect)) {
                return send->order;
            }
        }
        return std::nullopt;
    }

    static std::optional<PermitRequest> permitRequest(const RolloutEffects &effects)
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
