#ifndef AZURESPINDLE_ROUTING_PORTS_H
#define AZURESPINDLE_ROUTING_PORTS_H

#include "http/client.h"
#include "http/server.h"
#include "routing/feed_reader.h"
#include "routing/router_events.h"
#include "routing/types.h"

#include <functional>
#include <variant>

namespace azurespindle::routing {

/// A request that callers sent, or why it is none.
using ReadRequest = std::variant<RoutedRequest, OwnAnswer>;

/// How the platform that the router runs on speaks: names, formats and calls, no decisions.
///
/// The router knows no name of the wire; each of these translates one message.
struct PlatformPort
{
    /// Reads a caller's request.
    std::function<ReadRequest(const http::ServerRequest &request)> readRequest;
    /// Writes the request that an upstream gets.
    std::function<http::ClientRequest(const RoutedRequest &request, const AttemptPlan &plan)>
        writeAttempt;
    /// Reads the head of an upstream's answer to \a request.
    std::function<AnswerHead(const RoutedRequest &request, int status,
                             const http::HeaderFields &fields)>
        readHead;
    /// Writes the header of an answer of this process's own.
    std::function<http::HeaderFields(const std::string &callerId, const OwnAnswer &answer)>
        writeOwnHead;
    /// Reads what is published under a key.
    ReadItem readItem;
    FeedCalls feed;
    /// Asks an engine to copy a running generation. Calls back once, from any thread.
    std::function<void(const AskMove &ask, const std::function<void(const MoveAnswer &)> &handler)>
        askMove;
    /// Asks an engine for its report. Calls back once, from any thread, unless it gets no answer.
    std::function<void(const AskReport &ask, const std::function<void(const EngineReport &)> &)>
        askReport;
    /// Frees a copy of a generation; its answer does not matter.
    std::function<void(const DropCopy &drop)> dropCopy;
};

} // namespace azurespindle::routing

#endif
