#include "decision/crash_suspects.h"

#include <algorithm>
#include <xxhash.h>

namespace azurespindle::decision {
namespace {

bool contains(const std::vector<std::uint64_t> &list, std::uint64_t item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

CrashId CrashSuspects::crashId(const std::string &upstream, std::uint64_t incarnation)
{
    return XXH3_64bits_withSeed(upstream.data(), upstream.size(), incarnation);
}

bool CrashSuspects::add(Suspect &suspect, CrashId crash)
{
    if (contains(suspect.crashes, crash) || contains(suspect.clearedOf, crash)
        || suspect.crashes.size() >= maxCrashes) {
        return false;
    }
    suspect.crashes.push_back(crash);
    return true;
}

std::vector<PromptPartId> CrashSuspects::recordCrash(const std::vector<PromptPartId> &parts,
                                                     CrashId crash, Instant now)
{
    std::vector<PromptPartId> blocked;
    for (const PromptPartId part : parts) {
        const bool wasBlocked = this->reachesBlock(part, now);
        Suspect &suspect = this->suspects.touch(part);
        if (now - suspect.lastCrash > retention) {
            suspect = {};
        }
        if (!suspect.crashes.empty() && now - suspect.lastCrash < crashSpacing) {
            continue;
        }
        if (this->add(suspect, crash)) {
            suspect.lastCrash = now;
        }
        if (!wasBlocked && this->reachesBlock(part, now)) {
            blocked.push_back(part);
        }
    }
    return blocked;
}

bool CrashSuspects::clear(PromptPartId part)
{
    const Suspect *known = this->suspects.find(part);
    if (known == nullptr || known->crashes.empty()) {
        return false;
    }
    Suspect &suspect = this->suspects.touch(part);
    suspect.clearedOf.insert(suspect.clearedOf.end(), suspect.crashes.begin(),
                             suspect.crashes.end());
    suspect.crashes.clear();
    if (suspect.clearedOf.size() > maxCrashes) {
        suspect.clearedOf.erase(suspect.clearedOf.begin(), suspect.clearedOf.end() - maxCrashes);
    }
    return true;
}

std::vector<PromptPartId> CrashSuspects::recordAnswer(const std::vector<PromptPartId> &parts)
{
    std::vector<PromptPartId> cleared;
    for (const PromptPartId part : parts) {
        this->trusted.touch(part) = true;
        if (this->clear(part)) {
            cleared.push_back(part);
        }
    }
    return cleared;
}

void CrashSuspects::clear(const std::vector<PromptPartId> &parts)
{
    for (const PromptPartId part : parts) {
        this->clear(part);
    }
}

void CrashSuspects::merge(const std::vector<PartCrashes> &blocked, Instant now)
{
    for (const PartCrashes &reported : blocked) {
        for (const CrashId crash : reported.crashes) {
            const Suspect *known = this->suspects.find(reported.part);
            if (known != nullptr
                && (contains(known->crashes, crash) || contains(known->clearedOf, crash))) {
                continue;
            }
            Suspect &suspect = this->suspects.touch(reported.part);
            if (this->add(suspect, crash)) {
                suspect.lastCrash = now;
            }
        }
    }
}

const CrashSuspects::Suspect *CrashSuspects::find(PromptPartId part, Instant now) const
{
    const Suspect *suspect = this->suspects.find(part);
    return suspect == nullptr || now - suspect->lastCrash > retention ? nullptr : suspect;
}

std::size_t CrashSuspects::crashCount(PromptPartId part, Instant now) const
{
    const Suspect *suspect = this->find(part, now);
    return suspect == nullptr ? 0 : suspect->crashes.size();
}

bool CrashSuspects::reachesBlock(PromptPartId part, Instant now) const
{
    const bool isTrusted = this->trusted.find(part) != nullptr;
    return this->crashCount(part, now) >= (isTrusted ? crashesToBlockTrusted : crashesToBlock);
}

bool CrashSuspects::isExplained(const Suspect &suspect, const std::vector<PromptPartId> &parts,
                                Instant now) const
{
    bool explained = false;
    this->suspects.forEach([&](PromptPartId part, const Suspect &other) {
        const auto isOthers = [&](CrashId crash) { return contains(other.crashes, crash); };
        explained = explained
            || (!contains(parts, part) && this->reachesBlock(part, now)
                && std::all_of(suspect.crashes.begin(), suspect.crashes.end(), isOthers));
    });
    return explained;
}

bool CrashSuspects::isBlocked(const std::vector<PromptPartId> &parts, Instant now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) {
        return this->reachesBlock(part, now)
            && !this->isExplained(*this->find(part, now), parts, now);
    });
}

bool CrashSuspects::isSuspect(const std::vector<PromptPartId> &parts, Instant now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) {
        return this->crashCount(part, now) > 0 && this->trusted.find(part) == nullptr;
    });
}

std::vector<PartCrashes> CrashSuspects::blockedParts(Instant now) const
{
    std::vector<PartCrashes> blocked;
    this->suspects.forEach([&](PromptPartId part, const Suspect &suspect) {
        if (this->reachesBlock(part, now)) {
            blocked.push_back({part, suspect.crashes});
        }
    });
    if (blocked.size() > maxReported) {
        blocked.erase(blocked.begin(), blocked.end() - maxReported);
    }
    return blocked;
}

} // namespace azurespindle::decision
