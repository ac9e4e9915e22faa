#include "decision/crash_register.h"

#include <algorithm>

namespace azurespindle::decision {

bool CrashRegister::blame(std::uint64_t fingerprint, const std::string &upstream,
                          std::uint64_t boot, Instant now)
{
    Record &record = this->records.touch(fingerprint);
    if (now - record.last > memory) {
        record.deaths.clear();
    }
    const Death death {upstream, boot};
    if (std::find(record.deaths.begin(), record.deaths.end(), death) != record.deaths.end()) {
        return false;
    }
    record.last = now;
    if (record.deaths.size() < deathsToRefuse) {
        record.deaths.push_back(death);
    }
    return true;
}

bool CrashRegister::clear(std::uint64_t fingerprint)
{
    const Record *record = this->records.find(fingerprint);
    if (record == nullptr || record->deaths.size() >= deathsToRefuse) {
        return false;
    }
    this->records.erase(fingerprint);
    return true;
}

std::size_t CrashRegister::deaths(std::uint64_t fingerprint, Instant now) const
{
    const Record *record = this->records.find(fingerprint);
    if (record == nullptr || now - record->last > memory) {
        return 0;
    }
    return record->deaths.size();
}

bool CrashRegister::refuses(std::uint64_t fingerprint, Instant now) const
{
    return this->deaths(fingerprint, now) >= deathsToRefuse;
}

bool CrashRegister::suspects(std::uint64_t fingerprint, Instant now) const
{
    return this->deaths(fingerprint, now) == 1;
}

} // namespace azurespindle::decision
