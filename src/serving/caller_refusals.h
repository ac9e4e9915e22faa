#ifndef AZURESPINDLE_SERVING_CALLER_REFUSALS_H
#define AZURESPINDLE_SERVING_CALLER_REFUSALS_H

#include "http/server.h"
#include "journal/journal.h"

#include <array>
#include <atomic>
#include <string>

namespace azurespindle::serving {

/// Counts and journals the requests that the caller server refuses. Thread-safe.
class CallerRefusals
{
public:
    explicit CallerRefusals(journal::Journal &journal) : journal(journal) { }

    // Commands

    /// Counts \a refusal, and journals it if a limit was reached.
    void record(const http::CallerRefusal &refusal);

    // Queries

    std::uint64_t count(http::RefusalReason reason) const;
    /// Returns the counters in the Prometheus text exposition format.
    std::string exposition() const;

private:
    journal::Journal &journal;
    std::array<std::atomic<std::uint64_t>, http::refusalReasonCount> counts {};
};

} // namespace azurespindle::serving

#endif
