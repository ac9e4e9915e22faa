#include "decision/idempotency_store.h"

#include "support/suite.h"

#include <set>
#include <vector>

namespace azurespindle::decision {
namespace {

constexpr std::uint64_t fingerprint = 77;

Instant at(std::int64_t ms)
{
    return Instant(milliseconds(ms));
}

// A model of two entry processes, one caller and one service, small enough to visit every state.
// Its steps drive the real register: a state is the list of steps that led to it.

enum class Step { SendToHome, SendToOther, HomeRuns, HomeRestarts, OtherCutOff, AnswerArrives };
constexpr int stepCount = 6;
constexpr int depth = 7;

/// Replays steps against fresh registers and counts the runs at the service.
struct World
{
    IdempotencyStore home {"a", 1, at(0)};
    IdempotencyStore other {"b", 1, at(0)};
    std::string key = home.issue(5, at(1));
    int life = 1;
    int pendingRuns = 0;
    int runs = 0;
    bool cut = false;

    void receive()
    {
        if (this->home.begin(this->key, fingerprint, at(2)) == IdempotencyDecision::Run) {
            this->pendingRuns += 1;
        }
    }

    void apply(Step step)
    {
        switch (step) {
        case Step::SendToHome:
            this->receive();
            break;
        case Step::SendToOther:
            // The other process may never run it, and passes it on unless it is cut off.
            CPPUNIT_ASSERT(this->other.begin(this->key, fingerprint, at(2))
                           == IdempotencyDecision::IssuedElsewhere);
            if (!this->cut) {
                this->receive();
            }
            break;
        case Step::HomeRuns:
            this->runs += this->pendingRuns;
            this->pendingRuns = 0;
            break;
        case Step::AnswerArrives:
            this->home.storeResponse(this->key, {200, "text/plain", "done"});
            break;
        case Step::HomeRestarts:
            this->life += 1;
            this->pendingRuns = 0;
            this->restart();
            break;
        case Step::OtherCutOff:
            this->cut = !this->cut;
            break;
        }
    }

    void restart()
    {
        this->home.~IdempotencyStore();
        new (&this->home) IdempotencyStore("a", static_cast<std::uint64_t>(this->life), at(0));
    }
};

} // namespace

class IdempotencyStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdempotencyStoreTest);
    CPPUNIT_TEST(everyOrderOfResendsRestartsAndCutsRunsTheCallAtMostOnce);
    CPPUNIT_TEST(aResendGetsTheSameAnswer);
    CPPUNIT_TEST(aKeyIsForOneCallOnly);
    CPPUNIT_TEST(anotherLifeOrMemberRefusesTheKey);
    CPPUNIT_TEST(anotherSpellingOfTheKeyIsRefused);
    CPPUNIT_TEST(anOldKeyIsRefusedAndNeverForgottenBeforeThat);
    CPPUNIT_TEST(aCallThatProvablyDidNotRunMayRunLater);
    CPPUNIT_TEST(aFullRegisterRefusesNewKeysInsteadOfForgetting);
    CPPUNIT_TEST(keptAnswersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Visits every sequence of up to depth steps: resend to either process, run, restart of the
    /// home, cut between the two, the answer's arrival.
    void everyOrderOfResendsRestartsAndCutsRunsTheCallAtMostOnce()
    {
        std::size_t visited = 0;
        std::vector<Step> steps;
        this->visit(steps, visited);
        CPPUNIT_ASSERT(visited > 300'000);
    }

    void aResendGetsTheSameAnswer()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(10));
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(20)) == IdempotencyDecision::Run);
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(30)) == IdempotencyDecision::InProgress);
        keys.storeResponse(key, {201, "text/plain", "filed"});
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(40))
                       == IdempotencyDecision::ResponseAvailable);
        CPPUNIT_ASSERT_EQUAL(std::string("filed"), keys.find(key)->body);
    }

    void aKeyIsForOneCallOnly()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(10));
        keys.begin(key, fingerprint, at(20));
        CPPUNIT_ASSERT(keys.begin(key, fingerprint + 1, at(30)) == IdempotencyDecision::Mismatch);
    }

    void anotherLifeOrMemberRefusesTheKey()
    {
        const std::string key = IdempotencyStore("a", 1, at(0)).issue(1, at(10));
        CPPUNIT_ASSERT(IdempotencyStore("a", 2, at(0)).begin(key, fingerprint, at(20))
                       == IdempotencyDecision::IssuedElsewhere);
        CPPUNIT_ASSERT(IdempotencyStore("b", 1, at(0)).begin(key, fingerprint, at(20))
                       == IdempotencyDecision::IssuedElsewhere);
    }

    void anotherSpellingOfTheKeyIsRefused()
    {
        IdempotencyStore keys("a", 0xab, at(0));
        const std::string key = keys.issue(1, at(10));
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(20)) == IdempotencyDecision::Run);
        for (const std::string &spelled : {"a.0ab" + key.substr(4), "a.AB" + key.substr(4)}) {
            CPPUNIT_ASSERT_MESSAGE(spelled,
                                   keys.begin(spelled, fingerprint, at(30))
                                       == IdempotencyDecision::IssuedElsewhere);
        }
    }

    void anOldKeyIsRefusedAndNeverForgottenBeforeThat()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(1'000));
        keys.begin(key, fingerprint, at(2'000));
        keys.closeWithoutResponse(key);
        const Instant last = at(1'000) + IdempotencyStore::validity;
        keys.evictExpired(last);
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, last)
                       == IdempotencyDecision::ResponseUnavailable);
        const Instant later = last + milliseconds(1);
        keys.evictExpired(later);
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, later) == IdempotencyDecision::Expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), keys.size());
    }

    void aCallThatProvablyDidNotRunMayRunLater()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(10));
        keys.begin(key, fingerprint, at(20));
        keys.release(key);
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(30)) == IdempotencyDecision::Run);
    }

    void aFullRegisterRefusesNewKeysInsteadOfForgetting()
    {
        IdempotencyStore keys("a", 1, at(0));
        for (std::size_t nonce = 0; nonce < IdempotencyStore::maxKeys; ++nonce) {
            keys.begin(keys.issue(nonce, at(10)), fingerprint, at(20));
        }
        const std::string extra = keys.issue(IdempotencyStore::maxKeys, at(10));
        CPPUNIT_ASSERT(keys.begin(extra, fingerprint, at(30)) == IdempotencyDecision::Full);
        CPPUNIT_ASSERT(keys.begin(keys.issue(0, at(10)), fingerprint, at(30))
                       == IdempotencyDecision::InProgress);
    }

    void keptAnswersAreBounded()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string body(IdempotencyStore::maxResponseBytes, 'x');
        std::string first;
        for (std::size_t nonce = 0; nonce < 200; ++nonce) {
            const std::string key = keys.issue(nonce, at(10));
            first = first.empty() ? key : first;
            keys.begin(key, fingerprint, at(20));
            keys.storeResponse(key, {200, "", body});
        }
        CPPUNIT_ASSERT(keys.totalResponseBytes() <= IdempotencyStore::maxTotalResponseBytes);
        CPPUNIT_ASSERT(keys.begin(first, fingerprint, at(30))
                       == IdempotencyDecision::ResponseUnavailable);
    }

private:
    void visit(std::vector<Step> &steps, std::size_t &visited)
    {
        visited += 1;
        World world;
        for (const Step step : steps) {
            world.apply(step);
        }
        CPPUNIT_ASSERT_MESSAGE("runs: " + std::to_string(world.runs), world.runs <= 1);
        if (steps.size() == depth) {
            return;
        }
        for (int next = 0; next < stepCount; ++next) {
            steps.push_back(static_cast<Step>(next));
            this->visit(steps, visited);
            steps.pop_back();
        }
    }
};

REGISTER_SUITE(IdempotencyStoreTest, "idempotency_store");

} // namespace azurespindle::decision
