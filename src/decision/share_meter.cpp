#include "decision/share_meter.h"

#include <cmath>

namespace azurespindle::decision {

void ShareMeter::recordUsage(const std::string &workspace, double tokens, double weight,
                             Instant now)
{
    if (this->lastDecay == Instant()) {
        this->lastDecay = now;
    }
    Usage &entry = this->usage.touch(workspace);
    entry.tokens += tokens;
    entry.weight = weight;
}

void ShareMeter::decay(Instant now)
{
    const double halvings = inSeconds(now - this->lastDecay) / inSeconds(halfLife);
    const double remaining = std::exp2(-halvings);
    this->lastDecay = now;
    this->totalTokens = 0.0;
    this->totalWeight = 0.0;
    this->usage.eraseIf([&](const std::string &, Usage &entry) {
        entry.tokens *= remaining;
        if (entry.tokens >= minTokens) {
            this->totalTokens += entry.tokens;
            this->totalWeight += entry.weight;
        }
        return entry.tokens < 1.0;
    });
}

bool ShareMeter::isAboveShare(const std::string &workspace) const
{
    const Usage *entry = this->usage.find(workspace);
    if (entry == nullptr || entry->tokens < minTokens || this->totalWeight <= 0.0) {
        return false;
    }
    const double share = this->totalTokens * entry->weight / this->totalWeight;
    return entry->tokens > tolerance * share;
}

} // namespace azurespindle::decision
