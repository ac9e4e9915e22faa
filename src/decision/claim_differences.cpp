#include "decision/claim_differences.h"

namespace azurespindle::decision {

bool ClaimDifferences::matters(const ResourceClaim &before, const ResourceClaim &after)
{
    const Tokens change = after.memory > before.memory ? after.memory - before.memory
                                                       : before.memory - after.memory;
    return before.attempts != after.attempts || before.prefill != after.prefill
        || change >= minMemoryChange;
}

ClaimUpdate ClaimDifferences::next(const std::vector<UpstreamClaim> &claims)
{
    ClaimUpdate update;
    update.complete = this->reports % this->reportsPerCompleteOne == 0;
    this->reports += 1;
    std::map<std::string, ResourceClaim> current;
    for (const UpstreamClaim &each : claims) {
        current[each.upstream] = each.claim;
    }
    if (update.complete) {
        update.claims = claims;
        this->told = std::move(current);
        return update;
    }
    for (const auto &[upstream, claim] : current) {
        const auto before = this->told.find(upstream);
        if (before == this->told.end() || matters(before->second, claim)) {
            update.claims.push_back({upstream, claim});
            this->told[upstream] = claim;
        }
    }
    for (auto each = this->told.begin(); each != this->told.end();) {
        if (current.count(each->first) > 0) {
            ++each;
            continue;
        }
        update.claims.push_back({each->first, {}});
        each = this->told.erase(each);
    }
    return update;
}

} // namespace azurespindle::decision
