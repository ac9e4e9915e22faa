#ifndef AZURESPINDLE_ROUTING_PLATFORM_ADAPTER_H
#define AZURESPINDLE_ROUTING_PLATFORM_ADAPTER_H

#include "http/client.h"
#include "http/server.h"
#include "routing/router_events.h"
#include "routing/store_watcher.h"
#include "routing/types.h"

#include <functional>
#include <variant>

namespace azurespindle::routing {

/// A request that callers sent, or why it is none.
using RequestOrReply = std::variant<RoutedRequest, LocalReply>;

/// How the platform that the router runs on speaks: names, formats and calls, no decisions.
///
/// The router knows no name of the wire; each of these translates one message.
struct PlatformAdapter
{
    /// Reads a caller's request.
    std::function<RequestOrReply(const http::ServerRequest &request)> readRequest;
    /// Writes the request that an upstream gets.
    std::function<http::ClientRequest(const RoutedRequest &request, const AttemptPlan &plan)>
        writeAttempt;
    /// Reads the head of an upstream's answer to \a request.
    std::function<ResponseHead(const RoutedRequest &request, int status,
                               const http::HeaderFields &fields)>
        readHead;
    /// Writes the header of an answer of this process's own.
    std::function<http::HeaderFields(const std::string &callerRequestId, const LocalReply &answer)>
        writeLocalReplyHead;
    /// Reads what is published under a key.
    ItemDecoder decodeItem;
    StoreCalls store;
    /// Asks an engine to copy a running generation. Calls back once, from any thread.
    std::function<void(const RequestMigration &ask,
                       const std::function<void(const MigrationResponse &)> &handler)>
        requestMigration;
    /// Asks an engine for its report. Calls back once, from any thread, unless it gets no answer.
    std::function<void(const RequestEngineReport &ask,
                       const std::function<void(const EngineReport &)> &)>
        requestReport;
    /// Frees a copy of a generation; its answer does not matter.
    std::function<void(const ReleaseCopy &drop)> releaseCopy;
};

} // namespace azurespindle::routing

#endif
