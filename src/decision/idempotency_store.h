#ifndef AZURESPINDLE_DECISION_IDEMPOTENCY_STORE_H
#define AZURESPINDLE_DECISION_IDEMPOTENCY_STORE_H

#include "base/time_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace azurespindle::decision {

/// Contents of an idempotency key.
struct IdempotencyKey
{
    std::string issuer;            ///< Member that issued the key; only it may run the call.
    std::uint64_t incarnation = 0; ///< Incarnation of the issuer, which changes with each restart.
    std::uint64_t issuedAtMs = 0;  ///< Time of issue in ms after that incarnation started.
    std::uint64_t nonce = 0;       ///< Random number that makes the key hard to guess.
    bool operator==(const IdempotencyKey &other) const = default;
};

/// Returns the text of a key, `issuer.incarnation.issuedAt.nonce` with hexadecimal numbers.
std::string formatIdempotencyKey(const IdempotencyKey &parts);
/// Parses the text of a key. \return nothing if it is not in the format of formatIdempotencyKey().
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string &text);

/// Response of a completed call, kept for repeated requests with the same key.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const StoredResponse &other) const = default;
};

/// Whether a call with an idempotency key may run, and why not.
enum class IdempotencyDecision {
    Run,                 ///< The key is used for the first time; the call is to be run.
    InProgress,          ///< The call is running.
    ResponseAvailable,   ///< The call completed and its response is stored.
    ResponseUnavailable, ///< The call ran or may have run; no response is stored.
    Mismatch,            ///< The key was used with a different call.
    Expired,             ///< The key is older than IdempotencyStore::validity, or from the future.
    IssuedElsewhere,     ///< Another member or incarnation issued the key.
    Full,                ///< The store holds IdempotencyStore::maxKeys keys; the call was not run.
};

/// Returns the stable identifier of a decision that is written to logs and problem documents.
const char *name(IdempotencyDecision result);

/// Issues idempotency keys and ensures that a call with such a key runs at most once.
///
/// A caller may send a call with the same key any number of times to any member. Only the member
/// that issued the key runs the call: other members forward it, and a later incarnation of the
/// issuer refuses it. Members therefore need no consensus. When the issuer restarts, the outcome of
/// the call becomes unknown, but the call still runs at most once.
class IdempotencyStore
{
public:
    static constexpr seconds validity {3'600}; ///< How long a key can be used after it was issued.
    static constexpr std::size_t maxKeys = 65'536;
    static constexpr std::size_t maxResponseBytes = 65'536; ///< Largest response stored.
    /// Limit of all stored responses together.
    static constexpr std::size_t maxTotalResponseBytes = 8'388'608;

    IdempotencyStore(std::string issuer, std::uint64_t incarnation, Instant startedAt);

    // Commands

    /// Returns a new key. \a nonce is a random number that makes it hard to guess.
    std::string issue(std::uint64_t nonce, Instant now) const;
    /// Decides whether the call with this fingerprint may run now. Run is returned at most once per
    /// key, unless release() is called.
    IdempotencyDecision begin(const std::string &key, std::uint64_t fingerprint, Instant now);
    /// Records that the call completed with \a response. A response above maxResponseBytes is not
    /// stored, and the oldest ones are evicted above maxTotalResponseBytes.
    void storeResponse(const std::string &key, const StoredResponse &response);
    /// Records that the call definitely did not run, so that its key can be used again.
    void release(const std::string &key);
    /// Records that the call ended without a response and may have run.
    void closeWithoutResponse(const std::string &key);
    /// Removes the keys for which begin() returns Expired, except those of running calls.
    void evictExpired(Instant now);

    // Queries

    /// Returns the response stored for a key, or nullptr.
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
    std::deque<std::string> responseOrder; ///< Keys with stored responses, oldest first.
    std::size_t responseBytes = 0;
};

} // namespace azurespindle::decision

#endif
