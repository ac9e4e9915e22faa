#include "decision/crash_tracker.h"

#include <algorithm>

namespace azurespindle::decision {

bool CrashTracker::recordCrash(std::uint64_t fingerprint, const std::string &upstream,
                               std::uint64_t boot, Instant crashedAt)
{
    Record &record = this->records.touch(fingerprint);
    if (crashedAt - record.last > retention) {
        record.crashes.clear();
    }
    const Crash crash {upstream, boot};
    if (std::find(record.crashes.begin(), record.crashes.end(), crash) != record.crashes.end()) {
        return false;
    }
    record.last = record.crashes.empty() ? crashedAt : std::max(record.last, crashedAt);
    if (record.crashes.size() < crashesToBlock) {
        record.crashes.push_back(crash);
    }
    return true;
}

bool CrashTracker::clearSuspect(std::uint64_t fingerprint)
{
    const Record *record = this->records.find(fingerprint);
    if (record == nullptr || record->crashes.size() >= crashesToBlock) {
        return false;
    }
    this->records.erase(fingerprint);
    return true;
}

std::size_t CrashTracker::crashCount(std::uint64_t fingerprint, Instant now) const
{
    const Record *record = this->records.find(fingerprint);
    if (record == nullptr || now - record->last > retention) {
        return 0;
    }
    return record->crashes.size();
}

bool CrashTracker::isBlocked(std::uint64_t fingerprint, Instant now) const
{
    return this->crashCount(fingerprint, now) >= crashesToBlock;
}

bool CrashTracker::isSuspect(std::uint64_t fingerprint, Instant now) const
{
    return this->crashCount(fingerprint, now) == 1;
}

} // namespace azurespindle::decision
