#include "decision/order_steward.h"

#include "support/suite.h"

#include <optional>

namespace azurespindle::decision {

class OrderStewardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderStewardTest);
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
        OrderSteward steward = draining();
        CPPUNIT_ASSERT(!steward.accepting("e"));
        EngineSeen held = seen("v1");
        held.committed = 1;
        CPPUNIT_ASSERT(!order(steward.see(held, Instant(seconds(2)))));
        EngineSeen busy = seen("v1");
        busy.busy = 1;
        CPPUNIT_ASSERT(!order(steward.see(busy, Instant(seconds(3)))));
        const auto sent = order(steward.see(seen("v1"), Instant(seconds(4))));
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->fence);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), sent->image.version);
        CPPUNIT_ASSERT(sent->notAfter <= Instant(seconds(5)));
    }

    void aFurtherAdapterNeedsNoDrain()
    {
        OrderSteward steward("s#1");
        WantedImage wanted = want("v1");
        wanted.image.adapters = {"a"};
        steward.want(wanted, Instant(seconds(1)));
        EngineSeen busy = seen("v1");
        busy.busy = 5;
        steward.see(busy, Instant(seconds(1)));
        CPPUNIT_ASSERT(order(steward.permit(granted(), Instant(seconds(1)))).has_value());
    }

    void aPermitThatRanOutBringsTheEngineBack()
    {
        OrderSteward steward = draining();
        EngineSeen busy = seen("v1");
        busy.busy = 1;
        for (int second = 2; second < 20; ++second) {
            steward.tick(Instant(seconds(second)));
            steward.see(busy, Instant(seconds(second)));
        }
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.accepting("e"));
    }

    void aPausedProcessForgetsItsPermit()
    {
        OrderSteward steward = draining();
        steward.tick(Instant(seconds(2)));
        steward.tick(Instant(seconds(8)));
        CPPUNIT_ASSERT(!order(steward.see(seen("v1"), Instant(seconds(8)))));
        CPPUNIT_ASSERT(OrderPhase::Draining != steward.status().front().phase);
    }

    void anOldLookIsNoGroundForAnOrder()
    {
        OrderSteward steward("s#1");
        steward.want(want("v2"), Instant(seconds(1)));
        steward.see(seen("v1"), Instant(seconds(1)));
        CPPUNIT_ASSERT(!order(steward.permit(granted(), Instant(seconds(3)))));
        CPPUNIT_ASSERT(order(steward.see(seen("v1"), Instant(seconds(4)))).has_value());
    }

    void anEngineOfAnotherModelOrRoleGetsNoWork()
    {
        OrderSteward steward("s#1");
        steward.want(want("v1"), Instant());
        EngineSeen other = seen("v1");
        other.image.model = "another";
        steward.see(other, Instant(seconds(1)));
        CPPUNIT_ASSERT(!steward.accepting("e"));
        other.image.model = "m";
        steward.see(other, Instant(seconds(2)));
        CPPUNIT_ASSERT(steward.accepting("e"));
        other.image.role = "prefill";
        steward.see(other, Instant(seconds(3)));
        CPPUNIT_ASSERT(!steward.accepting("e"));
    }

    void anEngineThatTellsNoVersionIsNotOrdered()
    {
        OrderSteward steward("s#1");
        steward.want(want("v2"), Instant());
        steward.see(seen(""), Instant(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Unseen, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.accepting("e"));
    }

    void aRefusedOrderIsTriedAgainLater()
    {
        OrderSteward steward = draining();
        const auto sent = order(steward.see(seen("v1"), Instant(seconds(2))));
        CPPUNIT_ASSERT(sent.has_value());
        const auto effects = steward.reply(*sent, OrderReply::Failed, "503", Instant(seconds(2)));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, asked(effects)->phase);
        CPPUNIT_ASSERT(steward.accepting("e"));
        steward.see(seen("v1"), Instant(seconds(12)));
        const auto later = asked(steward.tick(Instant(seconds(13))));
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Waiting, later->phase);
    }

    void whatWasLoadedCountsAsCold()
    {
        OrderSteward steward = draining();
        const auto sent = order(steward.see(seen("v1"), Instant(seconds(2))));
        steward.reply(*sent, OrderReply::Accepted, "", Instant(seconds(2)));
        CPPUNIT_ASSERT(!steward.accepting("e"));
        bool cold = false;
        for (const OrderEffect &effect : steward.see(seen("v2"), Instant(seconds(5)))) {
            cold = cold || std::holds_alternative<TurnedCold>(effect);
        }
        CPPUNIT_ASSERT(cold);
        CPPUNIT_ASSERT_EQUAL(OrderPhase::Settled, steward.status().front().phase);
        CPPUNIT_ASSERT(steward.accepting("e"));
    }

private:
    static WantedImage want(const std::string &version)
    {
        return {"e", "m", 7, {"", version, {}, ""}, true};
    }

    static EngineSeen seen(const std::string &version)
    {
        EngineSeen engine;
        engine.upstream = "e";
        engine.image.version = version;
        return engine;
    }

    static PermitAnswer granted() { return {"e", 7, true, true, milliseconds(15'000), ""}; }

    /// Returns a steward whose engine got its permit at second 1, while it was busy.
    static OrderSteward draining()
    {
        OrderSteward steward("s#1");
        steward.want(want("v2"), Instant(seconds(1)));
        EngineSeen busy = seen("v1");
        busy.busy = 1;
        steward.see(busy, Instant(seconds(1)));
        steward.permit(granted(), Instant(seconds(1)));
        return steward;
    }

    static std::optional<EngineOrder> order(const OrderEffects &effects)
    {
        for (const OrderEffect &effect : effects) {
            if (const auto *send = std::get_if<SendOrder>(&effect)) {
                return send->order;
            }
        }
        return std::nullopt;
    }

    static std::optional<PermitRequest> asked(const OrderEffects &effects)
    {
        for (const OrderEffect &effect : effects) {
            if (const auto *ask = std::get_if<AskPermit>(&effect)) {
                return ask->request;
            }
        }
        return std::nullopt;
    }
};

REGISTER_SUITE(OrderStewardTest, "order_steward");

} // namespace azurespindle::decision
