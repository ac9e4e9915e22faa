#include "decision/share_meter.h"

#include <cmath>

namespace azurespindle::decision {

void ShareMeter::note(const std::string &workspace, double tokens, double weight, Instant now)
{
    if (this->decayed == Instant()) {
        this->decayed = now;
    }
    Service &service = this->served.touch(workspace);
    service.tokens += tokens;
    service.weight = weight;
}

void ShareMeter::passTime(Instant now)
{
    const double halvings = inSeconds(now - this->decayed) / inSeconds(halfLife);
    const double kept = std::exp2(-halvings);
    this->decayed = now;
    this->sumTokens = 0.0;
    this->sumWeights = 0.0;
    this->served.eraseIf([&](const std::string &, Service &service) {
        service.tokens *= kept;
        if (service.tokens >= leastTokens) {
            this->sumTokens += service.tokens;
            this->sumWeights += service.weight;
        }
        return service.tokens < 1.0;
    });
}

bool ShareMeter::aboveShare(const std::string &workspace) const
{
    const Service *service = this->served.find(workspace);
    if (service == nullptr || service->tokens < leastTokens || this->sumWeights <= 0.0) {
        return false;
    }
    const double share = this->sumTokens * service->weight / this->sumWeights;
    return service->tokens > tolerance * share;
}

} // namespace azurespindle::decision
