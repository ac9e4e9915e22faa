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

bool CrashSuspects::clearPart(PromptPartId part)
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
        if (this->clearPart(part)) {
            cleared.push_back(part);
        }
    }
    return cleared;
}

void CrashSuspects::clear(const std::vector<PromptPartId> &parts)
{
    for (const PromptPartId part : parts) {
        this->clearPart(part);
    }
}

std::vector<PromptPartId> CrashSuspects::merge(const std::vector<PartCrashes> &reports, Instant now)
{
    std::vector<PromptPartId> blocked;
    for (const PartCrashes &reported : reports) {
        const bool wasBlocked = this->reachesBlock(reported.part, now);
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
        if (!wasBlocked && this->reachesBlock(reported.part, now)) {
            blocked.push_back(reported.part);
        }
    }
    return blocked;
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

std::size_t CrashSuspects::blockingCount(PromptPartId part) const
{
    return this->trusted.find(part) != nullptr ? crashesToBlockTrusted : crashesToBlock;
}

bool CrashSuspects::reachesBlock(PromptPartId part, Instant now) const
{
    return this->crashCount(part, now) >= this->blockingCount(part);
}

bool CrashSuspects::wasAnswered(PromptPartId part, const Suspect &suspect) const
{
    return !suspect.clearedOf.empty() || this->trusted.find(part) != nullptr;
}

std::size_t CrashSuspects::unexplainedCrashes(PromptPartId part,
                                              const std::vector<PromptPartId> &parts,
                                              Instant now) const
{
    const Suspect &suspect = *this->find(part, now);
    std::vector<CrashId> unexplained = suspect.crashes;
    this->suspects.forEach([&](PromptPartId otherPart, const Suspect &other) {
        const bool answered = this->wasAnswered(part, suspect);
        const bool likelier = answered == this->wasAnswered(otherPart, other)
            ? other.crashes.size() >= suspect.crashes.size()
            : answered;
        if (likelier && !contains(parts, otherPart) && this->reachesBlock(otherPart, now)) {
            std::erase_if(unexplained,
                          [&](CrashId crash) { return contains(other.crashes, crash); });
        }
    });
    return unexplained.size();
}

bool CrashSuspects::isBlocked(const std::vector<PromptPartId> &parts, Instant now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) {
        return this->reachesBlock(part, now)
            && this->unexplainedCrashes(part, parts, now) >= this->blockingCount(part);
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
