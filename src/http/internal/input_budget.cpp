#include "http/internal/input_budget.h"

#include "http/internal/refusal_choice.h"

#include <algorithm>
#include <utility>

namespace azurespindle::http::internal {
namespace {

/// Part of the limit that is free after refusals, so that not every further byte refuses another
/// connection.
constexpr std::size_t freeDivisor = 8;
/// Part of the limit that small requests may use beyond it.
constexpr std::size_t ordinaryReserveDivisor = 8;

void callAll(const std::vector<InputBudget::RefuseHandler> &handlers)
{
    for (const InputBudget::RefuseHandler &refuse : handlers) {
        refuse();
    }
}

} // namespace

void InputBudget::setLimit(std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->limitBytes = bytes;
}

std::uint64_t InputBudget::addConnection(RefuseHandler refuse)
{
    const std::lock_guard lock(this->mutex);
    this->lastConnection += 1;
    this->holders[this->lastConnection].refuse = std::move(refuse);
    return this->lastConnection;
}

void InputBudget::removeConnection(std::uint64_t connection)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->holders.find(connection);
    if (found == this->holders.end()) {
        return;
    }
    this->used -= found->second.bytes;
    this->beingReleased -= found->second.refused ? found->second.bytes : 0;
    this->holders.erase(found);
}

void InputBudget::update(std::uint64_t connection, std::size_t bytes, Instant lastProgress)
{
    std::vector<RefuseHandler> refused;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->holders.find(connection);
        if (found == this->holders.end()) {
            return;
        }
        Holder &holder = found->second;
        this->used = this->used - holder.bytes + bytes;
        if (holder.refused) {
            this->beingReleased = this->beingReleased - holder.bytes + bytes;
        }
        holder.bytes = bytes;
        holder.lastProgress = lastProgress;
        if (this->remainingBytes() > this->limitBytes) {
            refused = this->makeRoom(this->limitBytes / freeDivisor, Spared::Nobody);
        }
    }
    callAll(refused);
}

std::vector<InputBudget::RefuseHandler> InputBudget::makeRoom(std::size_t wantedBytes,
                                                              Spared spared)
{
    const std::size_t target = this->limitBytes - std::min(this->limitBytes, wantedBytes);
    if (this->remainingBytes() <= target) {
        return {};
    }
    const Instant now = monotonicNow();
    const std::size_t excess = this->remainingBytes() - target;
    const std::size_t smallest = spared == Spared::Ordinary ? ordinaryInputBytes + 1 : 1;
    std::vector<HeldInput> held;
    std::size_t releasable = 0;
    for (const auto &[connection, holder] : this->holders) {
        if (!holder.refused && holder.bytes >= smallest) {
            held.push_back({connection, holder.bytes, now - holder.lastProgress});
            releasable += holder.bytes;
        }
    }
    if (spared == Spared::Ordinary && releasable < excess) {
        return {};
    }
    std::vector<RefuseHandler> handlers;
    for (const std::uint64_t connection : chooseRefusals(std::move(held), excess)) {
        Holder &holder = this->holders[connection];
        holder.refused = true;
        this->beingReleased += holder.bytes;
        handlers.push_back(holder.refuse);
    }
    return handlers;
}

bool InputBudget::admitRequest(std::size_t bytes)
{
    std::vector<RefuseHandler> refused;
    bool admitted = false;
    {
        const std::lock_guard lock(this->mutex);
        refused = this->makeRoom(bytes, Spared::Ordinary);
        const std::size_t reserve
            = bytes <= ordinaryInputBytes ? this->limitBytes / ordinaryReserveDivisor : 0;
        admitted = this->remainingBytes() + bytes <= this->limitBytes + reserve;
        this->used += admitted ? bytes : 0;
    }
    callAll(refused);
    return admitted;
}

void InputBudget::releaseRequest(std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->used -= bytes;
}

std::size_t InputBudget::usedBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->used;
}

std::size_t InputBudget::limit() const
{
    const std::lock_guard lock(this->mutex);
    return this->limitBytes;
}

} // namespace azurespindle::http::internal
