#ifndef AZURESPINDLE_HTTP_INTERNAL_INPUT_BUDGET_H
#define AZURESPINDLE_HTTP_INTERNAL_INPUT_BUDGET_H

#include "base/time_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace azurespindle::http::internal {

/// Accounts for the memory that all callers of a server occupy with what they send, and keeps it
/// below a limit. Thread-safe.
///
/// Input that is not a complete request yet belongs to its connection, which may be refused to
/// release it. A complete request belongs to its exchange, and is released when that is closed.
class InputBudget
{
public:
    /// Refuses one connection and releases its input. It may be called by any thread that updates
    /// the budget, and without delay; the connection calls update() when it is done.
    using RefuseHandler = std::function<void()>;

    explicit InputBudget(std::size_t limitBytes) : limitBytes(limitBytes) { }

    // Commands

    /// Sets the limit, which applies from the next update or request on.
    void setLimit(std::size_t bytes);
    /// Adds a connection, which holds nothing yet. \return its number, which is never reused.
    std::uint64_t addConnection(RefuseHandler refuse);
    void removeConnection(std::uint64_t connection);
    /// Notes what a connection holds now. If that exceeds the limit, refuses connections until an
    /// eighth of the limit is free.
    /// \param lastProgress time at which its request last made progress.
    void update(std::uint64_t connection, std::size_t bytes, Instant lastProgress);
    /// Takes memory for a complete request. To get it, connections may be refused, but no ordinary
    /// ones.
    /// \return false, with nothing taken, if open requests leave no room for it. Small requests
    /// have an eighth of the limit beyond it to themselves.
    bool admitRequest(std::size_t bytes);
    /// Returns the memory of a request that was admitted.
    void releaseRequest(std::size_t bytes);

    // Queries

    /// Returns the memory that connections and open requests occupy, in bytes.
    std::size_t usedBytes() const;
    std::size_t limit() const;

private:
    enum class Spared { Nobody, Ordinary };

    struct Holder
    {
        std::size_t bytes = 0;
        Instant lastProgress;
        bool refused = false; ///< Refused, its memory not released yet.
        RefuseHandler refuse;
    };

    /// Returns the memory in use, without that of connections that are being refused.
    std::size_t remainingBytes() const { return this->used - this->beingReleased; }
    /// Marks connections as refused, so that \a wantedBytes are free. If ordinary ones are spared
    /// and the others do not suffice, none is refused.
    /// \return the handlers of the refused ones, to be called without the lock.
    std::vector<RefuseHandler> makeRoom(std::size_t wantedBytes, Spared spared);

    mutable std::mutex mutex; ///< Guards all members after it.
    std::size_t limitBytes;
    std::size_t used = 0;
    std::size_t beingReleased = 0;
    std::uint64_t lastConnection = 0;
    std::map<std::uint64_t, Holder> holders;
};

} // namespace azurespindle::http::internal

#endif
