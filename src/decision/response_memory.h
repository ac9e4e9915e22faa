#ifndef AZURESPINDLE_DECISION_RESPONSE_MEMORY_H
#define AZURESPINDLE_DECISION_RESPONSE_MEMORY_H

#include "decision/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace azurespindle::decision {

/// Identifies a response by the attempt that receives it.
struct ResponseKey
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    bool operator==(const ResponseKey &other) const = default;
    bool operator<(const ResponseKey &other) const
    {
        return std::pair(this->request, this->attempt) < std::pair(other.request, other.attempt);
    }
};

/// Bounds of the memory for responses, in bytes.
struct ResponseMemoryLimits
{
    std::size_t total = 16'777'216;
    std::size_t forSmall = 4'194'304; ///< Part of the total for small responses, and only for them.
    std::size_t smallResponse = 8'192; ///< Largest size of a small response.
};

/// Decides which responses may be buffered now, and which have to wait for memory.
///
/// Responses whose bytes were handed to a caller but are not sent yet use the same memory; the
/// owner passes their sum as \a unsentBytes. Small responses wait neither for them nor for large
/// responses. Of large ones, those that hold memory as such come first, then the first to ask. A
/// response that outgrows the size of a small one waits among the large ones.
class ResponseMemory
{
public:
    explicit ResponseMemory(ResponseMemoryLimits limits = {}) : limits(limits) { }

    // Commands

    /// Requests \a bytes in all for a response. What was granted once is never taken back.
    /// \return false if the response has to wait until grantWaiting() returns its key
    bool request(const ResponseKey &key, std::size_t bytes, std::size_t unsentBytes);
    /// Frees the memory of a response, also if it waits for more.
    void release(const ResponseKey &key);
    /// Grants what waiting responses requested, as far as there is room.
    /// \return the responses that no longer wait
    std::vector<ResponseKey> grantWaiting(std::size_t unsentBytes);

    // Queries

    /// Returns the response to give up if each large one that holds memory waits for more, and what
    /// they hold is in the way of the first; otherwise nothing.
    std::optional<ResponseKey> blocker() const;
    /// Returns true if large responses wait, or unsent bytes use up what is meant for them.
    bool isShort(std::size_t unsentBytes) const;
    std::size_t grantedBytes() const { return this->smallBytes + this->largeBytes; }
    std::size_t waitingCount() const
    {
        return this->waitingSmall.size() + this->waitingLarge.size();
    }

private:
    struct Holding
    {
        std::size_t bytes = 0;
        std::size_t wanted = 0;     ///< Bytes in all for which it waits; 0 if it does not wait.
        std::uint64_t sequence = 0; ///< Order of the first requests.
    };
    /// Place in the order in which memory is granted.
    struct Place
    {
        bool holdsNone = false; ///< It holds no memory of large responses.
        std::uint64_t sequence = 0;
        ResponseKey key;
        bool operator<(const Place &other) const
        {
            return std::pair(this->holdsNone, this->sequence)
                < std::pair(other.holdsNone, other.sequence);
        }
    };

    Place placeOf(const ResponseKey &key, const Holding &holding) const;
    bool fits(const Holding &holding, std::size_t bytes, std::size_t unsentBytes) const;
    void grant(Holding &holding, std::size_t bytes);
    /// Grants what is requested in one of the queues, as far as there is room.
    void grantFrom(std::set<Place> &queue, std::size_t unsentBytes,
                   std::vector<ResponseKey> &granted);
    std::set<Place> &queueOf(const Holding &holding);
    bool isSmall(std::size_t bytes) const { return bytes <= this->limits.smallResponse; }

    const ResponseMemoryLimits limits;
    std::map<ResponseKey, Holding> holdings;
    std::set<Place> waitingSmall; ///< Responses that wait to hold the size of a small one.
    std::set<Place> waitingLarge;
    std::size_t smallBytes = 0; ///< Granted to small responses.
    std::size_t largeBytes = 0; ///< Granted to large responses.
    std::size_t largeHolders = 0;
    std::uint64_t lastSequence = 0;
};

} // namespace azurespindle::decision

#endif
