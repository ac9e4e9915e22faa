#include "decision/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {

void ColdStartLimiter::recordSend(const std::string &upstream, Instant now)
{
    this->lastSends.touch(upstream) = now;
}

void ColdStartLimiter::setProcesses(const ProcessNames &processNames, const std::string &ownName)
{
    if (this->names != processNames || this->self != ownName) {
        this->senderChoices.eraseIf([](const auto &, const auto &) { return true; });
    }
    this->names = processNames;
    this->self = ownName;
}

bool ColdStartLimiter::isSenderTo(const std::string &upstream, std::size_t count) const
{
    std::pair<std::size_t, bool> &choice = this->senderChoices.touch(upstream);
    if (choice.first != count) {
        choice = {count, isSender(*this->names, this->self, upstream, count)};
    }
    return choice.second;
}

std::size_t ColdStartLimiter::senderCount(double usedRate, std::size_t alternatives) const
{
    const std::size_t count = this->names->size();
    const auto borne = static_cast<std::size_t>(std::max(1.0, std::floor(usedRate)));
    const std::size_t share = (count + alternatives - 1) / std::max<std::size_t>(alternatives, 1);
    return std::min(count, std::max(borne, share));
}

bool ColdStartLimiter::allows(const std::string &upstream, double requestsPerSecond,
                              std::size_t alternatives, Instant now) const
{
    if (requestsPerSecond <= 0.0) {
        return true;
    }
    const double usedRate = requestsPerSecond * usedShare;
    auto senders = static_cast<double>(this->processes);
    if (this->names != nullptr && static_cast<double>(this->names->size()) > usedRate) {
        const std::size_t count = this->senderCount(usedRate, alternatives);
        if (!this->isSenderTo(upstream, count)) {
            return false;
        }
        senders = static_cast<double>(count);
    }
    const Instant *last = this->lastSends.find(upstream);
    return last == nullptr || inSeconds(now - *last) >= senders / usedRate;
}

} // namespace azurespindle::decision
