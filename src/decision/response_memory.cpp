#include "decision/response_memory.h"

namespace azurespindle::decision {

ResponseMemory::Place ResponseMemory::placeOf(const ResponseKey &key, const Holding &holding) const
{
    return {this->isSmall(holding.bytes), holding.sequence, key};
}

std::set<ResponseMemory::Place> &ResponseMemory::queueOf(const Holding &holding)
{
    return this->isSmall(holding.wanted) ? this->waitingSmall : this->waitingLarge;
}

bool ResponseMemory::fits(const Holding &holding, std::size_t bytes, std::size_t unsentBytes) const
{
    if (this->isSmall(bytes)) {
        return this->smallBytes - holding.bytes + bytes <= this->limits.forSmall;
    }
    const std::size_t replaced = this->isSmall(holding.bytes) ? 0 : holding.bytes;
    const std::size_t after = this->largeBytes - replaced + bytes;
    return after + unsentBytes <= this->limits.total - this->limits.forSmall;
}

void ResponseMemory::grant(Holding &holding, std::size_t bytes)
{
    (this->isSmall(holding.bytes) ? this->smallBytes : this->largeBytes) -= holding.bytes;
    this->largeHolders -= this->isSmall(holding.bytes) ? 0 : 1;
    holding.bytes = bytes;
    holding.wanted = 0;
    (this->isSmall(bytes) ? this->smallBytes : this->largeBytes) += bytes;
    this->largeHolders += this->isSmall(bytes) ? 0 : 1;
}

bool ResponseMemory::request(const ResponseKey &key, std::size_t bytes, std::size_t unsentBytes)
{
    const auto [found, isNew] = this->holdings.try_emplace(key);
    Holding &holding = found->second;
    if (isNew) {
        this->lastSequence += 1;
        holding.sequence = this->lastSequence;
    }
    if (bytes <= holding.bytes) {
        return true;
    }
    if (holding.wanted > 0) {
        return false;
    }
    holding.wanted = bytes;
    const Place place = this->placeOf(key, holding);
    std::set<Place> &queue = this->queueOf(holding);
    const bool isNext = queue.empty() || place < *queue.begin();
    if (isNext && this->fits(holding, bytes, unsentBytes)) {
        this->grant(holding, bytes);
        return true;
    }
    queue.insert(place);
    return false;
}

void ResponseMemory::release(const ResponseKey &key)
{
    const auto found = this->holdings.find(key);
    if (found == this->holdings.end()) {
        return;
    }
    this->queueOf(found->second).erase(this->placeOf(key, found->second));
    this->grant(found->second, 0);
    this->holdings.erase(found);
}

std::vector<ResponseKey> ResponseMemory::grantWaiting(std::size_t unsentBytes)
{
    std::vector<ResponseKey> granted;
    this->grantFrom(this->waitingSmall, unsentBytes, granted);
    this->grantFrom(this->waitingLarge, unsentBytes, granted);
    return granted;
}

void ResponseMemory::grantFrom(std::set<Place> &queue, std::size_t unsentBytes,
                               std::vector<ResponseKey> &granted)
{
    while (!queue.empty()) {
        const ResponseKey key = queue.begin()->key;
        Holding &holding = this->holdings.at(key);
        if (!this->fits(holding, holding.wanted, unsentBytes)) {
            return;
        }
        queue.erase(queue.begin());
        this->grant(holding, holding.wanted);
        granted.push_back(key);
    }
}

std::optional<ResponseKey> ResponseMemory::blocker() const
{
    std::size_t waitingHolders = 0;
    std::optional<ResponseKey> last;
    for (const Place &place : this->waitingLarge) {
        if (place.holdsNone) {
            break;
        }
        waitingHolders += 1;
        last = place.key;
    }
    if (!last || waitingHolders < this->largeHolders) {
        return std::nullopt;
    }
    const Holding &first = this->holdings.at(this->waitingLarge.begin()->key);
    return this->fits(first, first.wanted, 0) ? std::nullopt : last;
}

bool ResponseMemory::isShort(std::size_t unsentBytes) const
{
    return this->waitingCount() > 0
        || this->largeBytes + unsentBytes > this->limits.total - this->limits.forSmall;
}

} // namespace azurespindle::decision
