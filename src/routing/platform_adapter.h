#ifndef AZURESPINDLE_ROUTING_PLATFORM_ADAPTER_H
#define AZURESPINDLE_ROUTING_PLATFORM_ADAPTER_H

#include "http/client.h"
#include "http/server.h"
#include "routing/router_events.h"
#include "routing/store_watcher.h"
#include "routing/types.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::routing {

/// A parsed request of a caller, or the reply that rejects a malformed one.
using RequestOrReply = std::variant<RoutedRequest, LocalReply>;

/// The functions that translate between the router's types and the wire protocol of the platform.
///
/// They hold header names, formats and calls, and make no routing decisions. The router itself
/// depends on no name of the protocol.
struct PlatformAdapter
{
    /// Parses a caller's request.
    std::function<RequestOrReply(const http::ServerRequest &request)> readRequest;
    /// Builds the HTTP request that is sent to an upstream.
    std::function<http::ClientRequest(const RoutedRequest &request, const AttemptPlan &plan)>
        writeAttempt;
    /// Parses the status and header of an upstream's response to \a request.
    std::function<ResponseHead(const RoutedRequest &request, int status,
                               const http::HeaderFields &fields)>
        readHead;
    /// Names of the fields that events of an upstream's streams may have beside the standard's.
    std::vector<std::string> extraEventFields {};
    /// Builds the header of a local reply to the request with the id \a callerRequestId.
    std::function<http::HeaderFields(const std::string &callerRequestId, const LocalReply &reply)>
        writeLocalReplyHead;
    /// Decodes an item of the publishing store.
    ItemDecoder decodeItem;
    StoreCalls store;
    /// Asks an engine to copy a running generation to another one. Calls \a handler once, from any
    /// thread.
    std::function<void(const RequestMigration &call,
                       const std::function<void(const MigrationResponse &)> &handler)>
        requestMigration;
    /// Asks an engine for its report. Calls \a handler once, from any thread, or never if the
    /// engine does not respond.
    std::function<void(const RequestEngineReport &call,
                       const std::function<void(const EngineReport &)> &)>
        requestReport;
    /// Releases a copy of a generation at its engine. The response is ignored.
    std::function<void(const ReleaseCopy &copy)> releaseCopy;
};

} // namespace azurespindle::routing

#endif
