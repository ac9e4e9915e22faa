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

// A model of two entry processes, a caller and a service that is small enough to be checked
// exhaustively. Its steps call the real IdempotencyStore; a state is the sequence of steps that led
// to it.

enum class Step {
    SendToIssuer,
    SendToOther,
    IssuerRunsCall,
    IssuerRestarts,
    TogglePartition,
    ResponseArrives
};
constexpr int stepCount = 6;
constexpr int depth = 7;

/// Applies steps to a pair of new stores and counts how often the service runs the call.
struct Model
{
    IdempotencyStore issuer {"a", 1, at(0)};
    IdempotencyStore other {"b", 1, at(0)};
    std::string key = issuer.issue(5, at(1));
    int incarnation = 1;
    int pendingRuns = 0;
    int runs = 0;
    bool partitioned = false;

    void receiveCall()
    {
        if (this->issuer.begin(this->key, fingerprint, at(2)) == IdempotencyDecision::Run) {
            this->pendingRuns += 1;
        }
    }

    void apply(Step step)
    {
        switch (step) {
        case Step::SendToIssuer:
            this->receiveCall();
            break;
        case Step::SendToOther:
            // The other process must not run the call. It forwards it unless it is partitioned from
            // the issuer.
            CPPUNIT_ASSERT(this->other.begin(this->key, fingerprint, at(2))
                           == IdempotencyDecision::IssuedElsewhere);
            if (!this->partitioned) {
                this->receiveCall();
            }
            break;
        case Step::IssuerRunsCall:
            this->runs += this->pendingRuns;
            this->pendingRuns = 0;
            break;
        case Step::ResponseArrives:
            this->issuer.storeResponse(this->key, {200, "text/plain", "done"});
            break;
        case Step::IssuerRestarts:
            this->incarnation += 1;
            this->pendingRuns = 0;
            this->restart();
            break;
        case Step::TogglePartition:
            this->partitioned = !this->partitioned;
            break;
        }
    }

    void restart()
    {
        this->issuer.~IdempotencyStore();
        new (&this->issuer)
            IdempotencyStore("a", static_cast<std::uint64_t>(this->incarnation), at(0));
    }
};

} // namespace

class IdempotencyStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdempotencyStoreTest);
    CPPUNIT_TEST(aCallRunsAtMostOnceInEveryInterleaving);
    CPPUNIT_TEST(aRepeatedCallGetsTheStoredResponse);
    CPPUNIT_TEST(aKeyIsRejectedForADifferentCall);
    CPPUNIT_TEST(anotherMemberOrIncarnationRejectsTheKey);
    CPPUNIT_TEST(anotherSpellingOfTheKeyIsRejected);
    CPPUNIT_TEST(aKeyIsRememberedUntilItExpires);
    CPPUNIT_TEST(aReleasedKeyMayBeUsedAgain);
    CPPUNIT_TEST(aFullStoreRejectsNewKeysInsteadOfEvicting);
    CPPUNIT_TEST(storedResponsesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Checks every sequence of up to depth steps: the caller sends the call to either process, the
    /// service runs it, the issuer restarts, a partition between the processes begins or ends, the
    /// response arrives. Repeated calls must not run twice in any of them.
    void aCallRunsAtMostOnceInEveryInterleaving()
    {
        std::size_t sequences = 0;
        std::vector<Step> steps;
        this->visitSequences(steps, sequences);
        CPPUNIT_ASSERT(sequences > 300'000);
    }

    void aRepeatedCallGetsTheStoredResponse()
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

    void aKeyIsRejectedForADifferentCall()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(10));
        keys.begin(key, fingerprint, at(20));
        CPPUNIT_ASSERT(keys.begin(key, fingerprint + 1, at(30)) == IdempotencyDecision::Mismatch);
    }

    void anotherMemberOrIncarnationRejectsTheKey()
    {
        const std::string key = IdempotencyStore("a", 1, at(0)).issue(1, at(10));
        CPPUNIT_ASSERT(IdempotencyStore("a", 2, at(0)).begin(key, fingerprint, at(20))
                       == IdempotencyDecision::IssuedElsewhere);
        CPPUNIT_ASSERT(IdempotencyStore("b", 1, at(0)).begin(key, fingerprint, at(20))
                       == IdempotencyDecision::IssuedElsewhere);
    }

    void anotherSpellingOfTheKeyIsRejected()
    {
        IdempotencyStore keys("a", 0xab, at(0));
        const std::string key = keys.issue(1, at(10));
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(20)) == IdempotencyDecision::Run);
        for (const std::string &spelling : {"a.0ab" + key.substr(4), "a.AB" + key.substr(4)}) {
            CPPUNIT_ASSERT_MESSAGE(spelling,
                                   keys.begin(spelling, fingerprint, at(30))
                                       == IdempotencyDecision::IssuedElsewhere);
        }
    }

    void aKeyIsRememberedUntilItExpires()
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

    void aReleasedKeyMayBeUsedAgain()
    {
        IdempotencyStore keys("a", 1, at(0));
        const std::string key = keys.issue(1, at(10));
        keys.begin(key, fingerprint, at(20));
        keys.release(key);
        CPPUNIT_ASSERT(keys.begin(key, fingerprint, at(30)) == IdempotencyDecision::Run);
    }

    void aFullStoreRejectsNewKeysInsteadOfEvicting()
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

    void storedResponsesAreBounded()
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
    void visitSequences(std::vector<Step> &steps, std::size_t &sequences)
    {
        sequences += 1;
        Model model;
        for (const Step step : steps) {
            model.apply(step);
        }
        CPPUNIT_ASSERT_MESSAGE("runs: " + std::to_string(model.runs), model.runs <= 1);
        if (steps.size() == depth) {
            return;
        }
        for (int next = 0; next < stepCount; ++next) {
            steps.push_back(static_cast<Step>(next));
            this->visitSequences(steps, sequences);
            steps.pop_back();
        }
    }
};

REGISTER_SUITE(IdempotencyStoreTest, "idempotency_store");

} // namespace azurespindle::decision
