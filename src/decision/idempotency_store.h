#ifndef AZURESPINDLE_DECISION_IDEMPOTENCY_STORE_H
#define AZURESPINDLE_DECISION_IDEMPOTENCY_STORE_H

#include "base/time_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace azurespindle::decision {

/// What an idempotency key says about itself.
struct IdempotencyKey
{
    std::string issuer;            ///< Member that issued it and alone may run it.
    std::uint64_t incarnation = 0; ///< Which incarnation of that member.
    std::uint64_t issuedAtMs = 0;  ///< Milliseconds since that incarnation startedAt.
    std::uint64_t nonce = 0;
    bool operator==(const IdempotencyKey &other) const = default;
};

/// Formats a key: `issuer.incarnation.issuedAt.nonce`, numbers in hexadecimal.
std::string formatIdempotencyKey(const IdempotencyKey &parts);
/// Parses a key; returns nothing if it is not one of issuedHere.
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string &text);

/// The answer that is kept for a caller who asks again.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const StoredResponse &other) const = default;
};

/// What the register says to a call under a key.
enum class IdempotencyDecision {
    Run,                 ///< The first time: run it.
    InProgress,          ///< It runs now.
    ResponseAvailable,   ///< It ran; here is its answer.
    ResponseUnavailable, ///< It ran, or may have; its answer is not kept.
    Mismatch,            ///< The key was used for another call.
    Expired,             ///< Too old for this register to be sure.
    IssuedElsewhere,     ///< Another member, or another incarnation of this one, issued it.
    Full,                ///< No room to remember it; nothing was run.
};

const char *name(IdempotencyDecision verdict);

/// The keys that one member issued, in one incarnation. Whoever holds the key may send the call any
/// number of times to any member: only the issuer runs it, and once.
///
/// No agreement among members is needed, because no second register can say Run for the key:
/// other members pass the call on, another incarnation of the member refuses it. What is lost with
/// the process is the knowledge of the outcome, never the limit of one run.
class IdempotencyStore
{
public:
    static constexpr seconds validity {3'600};
    static constexpr std::size_t maxKeys = 65'536;
    static constexpr std::size_t maxResponseBytes = 65'536;         ///< One answer.
    static constexpr std::size_t maxTotalResponseBytes = 8'388'608; ///< All answers.

    IdempotencyStore(std::string issuer, std::uint64_t incarnation, Instant startedAt);

    // Commands

    /// Issues a key. \a nonce makes it hard to guess.
    std::string issue(std::uint64_t nonce, Instant now) const;
    /// Asks to run the call with this fingerprint. Only Run permits it, and only once.
    IdempotencyDecision begin(const std::string &key, std::uint64_t fingerprint, Instant now);
    /// Notes the answer of a call that ran.
    void storeResponse(const std::string &key, const StoredResponse &response);
    /// Notes that the call provably did not run: the key may be used again.
    void release(const std::string &key);
    /// Notes that the call ended and may have run.
    void closeWithoutResponse(const std::string &key);
    /// Forgets keys that begin() would call Expired.
    void evictExpired(Instant now);

    // Queries

    /// Returns the answer of a call that ran, if it is still kept.
    const StoredResponse *find(const std::string &key) const;
    std::size_t size() const { return this->entries.size(); }
    std::size_t totalResponseBytes() const { return this->responseBytes; }

private:
    enum class State { Running, Completed, Closed };

    struct Entry
    {
        State state = State::Running;
        std::uint64_t fingerprint = 0;
        Instant issuedAt;
        std::optional<StoredResponse> response;
    };

    void evictResponses();

    const std::string issuer;
    const std::uint64_t incarnation;
    const Instant startedAt;
    std::unordered_map<std::string, Entry> entries;
    std::deque<std::string> responseOrder; ///< Oldest first.
    std::size_t responseBytes = 0;
};

} // namespace azurespindle::decision

#endif
