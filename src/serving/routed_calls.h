#ifndef AZURESPINDLE_SERVING_ROUTED_CALLS_H
#define AZURESPINDLE_SERVING_ROUTED_CALLS_H

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

/// What RoutedCalls tells the process that it is a part of. Called without a lock held, from any
/// thread.
struct RoutedCallsHooks
{
    std::function<void(const routing::BroadcastCrash &crash)> onCrash;
    /// A request was sent to an engine: what is claimed of it has changed.
    std::function<void()> onPlaced;
};

/// The requests that are routed: carries out what the router decides.
class RoutedCalls
{
public:
    /// Answers that are no streams are held whole, up to so many bytes.
    static constexpr std::size_t maxAnswerBytes = 16'777'216;

    RoutedCalls(routing::RouterOptions options, const routing::PlatformAdapter &port,
                http::Client &client, metrics::Registry &registry, journal::Journal &journal,
                RoutedCallsHooks hooks);

    // Commands

    void take(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    /// Hands an event to the router, and carries out what follows.
    void handle(const routing::RouterEvent &event);
    /// Takes the claims that changed since the last call.
    std::vector<decision::UpstreamClaim> takeChangedClaims();
    /// Takes what was found out about upstreams lately.
    std::vector<routing::UpstreamObservation> takeNotes();
    /// From now on refuses what arrives: the process is about to stop.
    void refuseFurther() { this->closing = true; }
    /// Ends what is still open: the process stops.
    void cutAll();

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
        Transfer present;
        std::optional<Transfer> beside; ///< Begun while the present one goes on.
        bool headSent = false;
        std::uint64_t lastEventId = 0;
        std::string workspace;
        Instant lastEvent;
    };

    void onHead(const routing::AttemptId &attempt, int status, const http::HeaderFields &fields);
    bool onData(const routing::AttemptId &attempt, std::string_view bytes);
    bool takeData(const routing::AttemptId &attempt, std::string_view bytes);
    void onDone(const routing::AttemptId &attempt, const http::TransferResult &result);
    void passEvents(const routing::AttemptId &attempt, Session &session, std::string_view bytes);
    /// Returns the transfer of an attempt, or nullptr if it is of no concern any more.
    Transfer *find(const routing::AttemptId &attempt);
    /// Runs \a work with the lock held; then, without it, tells what peers are to be told: the
    /// telling may come back here.
    void locked(const std::function<void()> &work);

    /// The following run with the lock held.
    void drive(const routing::RouterEvent &event);
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
    const RoutedCallsHooks hooks;
    std::atomic<bool> closing {false};
    mutable std::mutex mutex; ///< Guards the members below.
    routing::Router router;
    std::unordered_map<routing::RequestId, Session> sessions;
    routing::RequestId lastRequest = 0;
    std::vector<routing::BroadcastCrash> untold;
    bool placed = false; ///< An attempt was started, and the peers have not been told.
};

} // namespace azurespindle::serving

#endif
