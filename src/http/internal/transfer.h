#ifndef AZURESPINDLE_HTTP_INTERNAL_TRANSFER_H
#define AZURESPINDLE_HTTP_INTERNAL_TRANSFER_H

#include "http/client.h"
#include "http/response_head_reader.h"

#include <curl/curl.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace azurespindle::http::internal {

/// A transfer of the HTTP client, and the handle by which libcurl runs it.
struct Transfer
{
    TransferId id = 0;
    ClientRequest request;
    TransferCallbacks callbacks;
    CURL *handle = nullptr;
    curl_slist *headerList = nullptr;
    ResponseHeadReader head;
    std::optional<HeadFault> headFault; ///< Why the head or the trailers were refused.
    std::size_t headBytes = 0;          ///< Received so far, with interim heads and trailers.
    std::size_t bodyBytes = 0;          ///< Received so far.
    bool statusReported = false;
    bool cancelled = false;
    std::atomic<std::uint64_t> *progress = nullptr; ///< Of the client; not set for fetch().
    Instant startedAt = monotonicNow();
    Instant lastReceivedAt; ///< Time at which the latest bytes of the body arrived.

    /// Returns the time until which the next bytes have to arrive.
    Instant progressDeadline() const
    {
        const bool inBody = this->bodyBytes > 0;
        const milliseconds limit
            = inBody ? this->request.silenceTimeout : this->request.headTimeout;
        const Instant since = inBody ? this->lastReceivedAt : this->startedAt;
        return limit.count() == 0 ? Instant::max() : since + limit;
    }
};

/// Sets up the handle of a transfer from its request.
void prepare(Transfer &transfer);
/// Passes the head of the response to the transfer's callbacks, the first time that it is called.
void reportStatus(Transfer &transfer);
/// Returns how a transfer ended.
/// \param code libcurl's result.
TransferResult resultOf(Transfer &transfer, CURLcode code);
/// Frees the handle of a transfer.
void release(Transfer &transfer);

} // namespace azurespindle::http::internal

#endif
