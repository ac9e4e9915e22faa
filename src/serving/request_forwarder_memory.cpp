// The memory of responses that a RequestForwarder receives.

#include "serving/request_forwarder.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Unsent bytes up to which a slow caller's stream goes on while memory is short.
constexpr std::size_t unsentBytesWhileShort = 16'384;
/// Memory that a response of unknown length requests at once when it outgrows a small one. With
/// smaller steps many responses would wait for each other's memory.
constexpr std::size_t unknownLengthStep = 1'048'576;

} // namespace

std::size_t RequestForwarder::unsentBytes() const
{
    return this->hooks.unsentBytes ? this->hooks.unsentBytes() : 0;
}

bool RequestForwarder::bufferBody(const routing::AttemptId &attempt, Transfer &transfer,
                                  std::string_view bytes)
{
    const std::size_t needed = transfer.body.size() + bytes.size();
    std::size_t allocated = transfer.body.capacity();
    if (needed > allocated) {
        const std::size_t least
            = needed > decision::ResponseMemoryLimits {}.smallResponse ? unknownLengthStep : 0;
        const std::size_t doubled = std::min(2 * allocated, maxBufferedResponseBytes);
        allocated = transfer.statedBytes >= needed ? transfer.statedBytes
                                                   : std::max({needed, doubled, least});
    }
    if (!this->responseMemory.request({attempt.request, attempt.number}, allocated,
                                      this->unsentBytes())) {
        this->dispatch(routing::ReadingPaused {attempt, true});
        return false;
    }
    transfer.body.reserve(allocated);
    transfer.body += bytes;
    return true;
}

void RequestForwarder::freeBody(routing::RequestId request, Transfer &transfer)
{
    transfer.body = std::string();
    this->responseMemory.release({request, transfer.attempt});
}

void RequestForwarder::continueWaiting()
{
    if (this->responseMemory.waitingCount() == 0) {
        return;
    }
    for (const decision::ResponseKey &key :
         this->responseMemory.grantWaiting(this->unsentBytes())) {
        const routing::AttemptId attempt {key.request, key.attempt};
        if (const Transfer *transfer = this->findTransfer(attempt)) {
            this->client.resume(transfer->id);
            this->dispatch(routing::ReadingPaused {attempt, false});
        }
    }
    // One at a time: the next event or tick continues if that was not enough.
    if (const auto blocker = this->responseMemory.blocker()) {
        this->giveUp({blocker->request, blocker->attempt},
                     "not enough memory to buffer the response");
    }
}

void RequestForwarder::continueStreams()
{
    for (const routing::AttemptId &attempt : std::exchange(this->pausedStreams, {})) {
        if (const Transfer *transfer = this->findTransfer(attempt)) {
            this->client.resume(transfer->id);
            this->dispatch(routing::ReadingPaused {attempt, false});
        }
    }
}

bool RequestForwarder::delaysForCaller(const Session &session) const
{
    return session.exchange->unsentBytes() >= unsentBytesWhileShort
        && this->responseMemory.isShort(this->unsentBytes());
}

bool RequestForwarder::isMemoryShort() const
{
    const std::lock_guard lock(this->mutex);
    return this->responseMemory.isShort(this->unsentBytes());
}

} // namespace azurespindle::serving
