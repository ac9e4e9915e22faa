#ifndef AZURESPINDLE_SERVING_REQUEST_FORWARDER_H
#define AZURESPINDLE_SERVING_REQUEST_FORWARDER_H

#include "http/client.h"
#include "http/server.h"
#include "journal/journal.h"
#include "members/messages.h"
#include "metrics/registry.h"
#include "routing/platform_adapter.h"
#include "routing/router.h"
#include "upstreams/event_splitter.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace azurespindle::serving {

/// What RequestForwarder tells the process that it is a part of. Called without a lock held, from
/// any thread.
struct RequestForwarderHooks
{
    std::function<void(const routing::BroadcastCrash &crash)> onCrash;
    /// A request was sent to an engine: what is claimed of it has changed.
    std::function<void()> onPlacement;
};

/// The requests that are routed: carries out what the router decides.
class RequestForwarder
{
public:
    /// Answers that are no streams are held whole, up to so many bytes.
    static constexpr std::size_t maxBufferedResponseBytes = 16'777'216;

    RequestForwarder(routing::RouterOptions options, const routing::PlatformAdapter &port,
                     http::Client &client, metrics::Registry &registry, journal::Journal &journal,
                     RequestForwarderHooks hooks);

    // Commands

    void handleRequest(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    /// Hands an event to the router, and carries out what follows.
    void handle(const routing::RouterEvent &event);
    /// Takes the claims that changed since the last call.
    std::vector<decision::UpstreamClaim> takeChangedClaims();
    /// Takes what was found out about upstreams lately.
    std::vector<routing::UpstreamObservation> takeNotes();
    /// From now on refuses what arrives: the process is about to stop.
    void rejectNewRequests() { this->rejectingRequests = true; }
    /// Ends what is still open: the process stops.
    void abortAll();

    // Queries

    routing::RouterStatus status() const;
    std::vector<decision::UpstreamClaim> claims() const;
    std::vector<decision::RequestCounts> arrivals() const;
    /// Returns what this process and its peers have under way and counted together, for a zone
    /// whose name the caller fills in.
    members::ZoneReport zoneReport() const;

private:
    /// One attempt's transfer from its upstream.
    struct Transfer
    {
        decision::AttemptNumber attempt = 0;
        http::TransferId id = 0;
        routing::ResponseHead head;
        std::string body;
        upstreams::EventSplitter splitter;
        bool relaying = false; ///< Its events are passed on.
    };

    /// One request, and the attempts whose answers it is waiting for.
    struct Session
    {
        std::shared_ptr<const routing::RoutedRequest> request;
        http::ExchangePtr exchange;
        Instant arrived;
        Transfer currentTransfer;
        std::optional<Transfer> parallelTransfer; ///< Begun while the present one goes on.
        bool headSent = false;
        std::uint64_t lastEventId = 0;
        std::string workspace;
        Instant lastEventTime;
    };

    void onHead(const routing::AttemptId &attempt, int status, const http::HeaderFields &fields);
    bool onData(const routing::AttemptId &attempt, std::string_view bytes);
    bool processData(const routing::AttemptId &attempt, std::string_view bytes);
    void onDone(const routing::AttemptId &attempt, const http::TransferResult &result);
    void forwardEvents(const routing::AttemptId &attempt, Session &session, std::string_view bytes);
    /// Returns the transfer of an attempt, or nullptr if it is of no concern any more.
    Transfer *findTransfer(const routing::AttemptId &attempt);
    /// Runs \a work with the lock held; then, without it, tells what peers are to be told: the
    /// telling may come back here.
    void runLocked(const std::function<void()> &action);

    /// The following run with the lock held.
    void dispatch(const routing::RouterEvent &event);
    void execute(const routing::StartAttempt &effect);
    void execute(const routing::CancelAttempt &effect);
    void execute(const routing::RelayStream &effect);
    void execute(const routing::ForwardResponse &effect);
    void execute(const routing::EndStream &effect);
    void execute(const routing::AbortStream &effect);
    void execute(const routing::SendLocalReply &effect);
    void execute(const routing::RequestMigration &effect);
    void execute(const routing::RequestEngineReport &effect);
    void execute(const routing::ReleaseCopy &effect);
    void execute(const routing::BroadcastCrash &effect);
    void execute(const routing::RequestClosed &effect);
    void execute(const routing::WriteJournal &effect);

    const routing::PlatformAdapter &port;
    http::Client &client;
    metrics::Registry &registry;
    journal::Journal &journal;
    const RequestForwarderHooks hooks;
    std::atomic<bool> rejectingRequests {false};
    mutable std::mutex mutex; ///< Guards the members below.
    routing::Router router;
    std::unordered_map<routing::RequestId, Session> sessions;
    routing::RequestId lastRequest = 0;
    std::vector<routing::BroadcastCrash> unreportedCrashes;
    bool placementUnreported = false; ///< An attempt was started, and the peers have not been told.
};

} // namespace azurespindle::serving

#endif
