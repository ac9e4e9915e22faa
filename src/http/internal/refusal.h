#ifndef AZURESPINDLE_HTTP_INTERNAL_REFUSAL_H
#define AZURESPINDLE_HTTP_INTERNAL_REFUSAL_H

#include "http/internal/connection.h"
#include "http/internal/posting_transport.h"
#include "http/internal/request_reader.h"

#include <pistache/peer.h>

#include <memory>

namespace azurespindle::http::internal {

/// Refuses the request that a connection is sending, releases its input, and closes the connection
/// after the response. If a request before it is still being answered, there is no response: the
/// close tells that what follows has not run. Call on the owning thread only.
void refuseConnection(const std::shared_ptr<ServerState> &state,
                      const std::shared_ptr<PostingTransport> &transport,
                      const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                      const RejectedRequest &rejection);

/// Returns the refusal of a connection while the memory for all callers is short.
RejectedRequest memoryShortRejection();

} // namespace azurespindle::http::internal

#endif
