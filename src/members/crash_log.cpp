#include "members/crash_log.h"

#include <algorithm>
#include <xxhash.h>

namespace azurespindle::members {
namespace {

std::string keyOf(const CrashReport &report)
{
    return report.pool + "/" + std::to_string(report.fingerprint);
}

bool isSameCrash(const CrashReport &first, const CrashReport &second)
{
    return first.source == second.source && first.number == second.number;
}

} // namespace

bool CrashLog::record(const CrashReport &report, seconds age, Instant now)
{
    if (!report.parts.empty() || age >= retention) {
        return false;
    }
    const std::string key = keyOf(report);
    if (report.status == CrashStatus::Cleared) {
        const Suspect *known = this->suspects.find(key);
        if (known != nullptr && known->crashes.size() < crashesToBlock) {
            this->suspects.erase(key);
        }
        return false;
    }
    Suspect &suspect = this->suspects.touch(key);
    if (now - suspect.lastCrash > retention) {
        suspect.crashes.clear();
    }
    const bool isKnown
        = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                      [&](const CrashReport &each) { return isSameCrash(each, report); });
    if (isKnown || suspect.crashes.size() >= crashesToBlock) {
        return false;
    }
    const Instant crashedAt = now - age;
    suspect.lastCrash
        = suspect.crashes.empty() ? crashedAt : std::max(suspect.lastCrash, crashedAt);
    suspect.crashes.push_back(report);
    return true;
}

std::vector<const CrashLog::Suspect *> CrashLog::blocked(Instant now) const
{
    std::vector<const Suspect *> found;
    this->suspects.forEach([&](const std::string &, const Suspect &suspect) {
        if (suspect.crashes.size() >= crashesToBlock && now - suspect.lastCrash <= retention) {
            found.push_back(&suspect);
        }
    });
    std::stable_sort(found.begin(), found.end(), [](const Suspect *first, const Suspect *second) {
        return first->lastCrash < second->lastCrash;
    });
    if (found.size() > maxExchanged) {
        found.erase(found.begin(), found.end() - maxExchanged);
    }
    return found;
}

std::uint64_t CrashLog::digest(Instant now) const
{
    std::uint64_t sum = 0;
    for (const Suspect *suspect : this->blocked(now)) {
        const std::string key = keyOf(suspect->crashes.front());
        sum += XXH3_64bits(key.data(), key.size());
    }
    return sum;
}

std::vector<PastCrash> CrashLog::blockedRequests(Instant now) const
{
    std::vector<PastCrash> crashes;
    for (const Suspect *suspect : this->blocked(now)) {
        const auto age = std::chrono::duration_cast<seconds>(now - suspect->lastCrash);
        for (const CrashReport &report : suspect->crashes) {
            crashes.push_back({report, std::max(age, seconds(0))});
        }
    }
    return crashes;
}

} // namespace azurespindle::members
