#ifndef AZURESPINDLE_SERVING_REQUEST_FORWARDER_H
#define AZURESPINDLE_SERVING_REQUEST_FORWARDER_H

#include "decision/response_memory.h"
#include "http/client.h"
#include "http/server.h"
#include "journal/journal.h"
#include "members/messages.h"
#include "metrics/registry.h"
#include "routing/platform_adapter.h"
#include "routing/router.h"
#include "upstreams/event_stream_reader.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace azurespindle::serving {

/// Callbacks of RequestForwarder to the process that owns it.
///
/// They may be called from any thread, and are called without a lock held.
struct RequestForwarderHooks
{
    /// An upstream died while it ran a request; the peers have to be notified.
    std::function<void(const routing::BroadcastCrash &crash)> onCrash;
    /// A request was sent to an engine, or the migration of one was requested, so this process's
    /// claims on engines have changed.
    std::function<void()> onPlacement;
    /// Returns the memory, in bytes, of responses that were handed to callers' connections and are
    /// not sent yet. If it is not set, none counts. Called with the lock held.
    std::function<std::size_t()> unsentBytes = nullptr;
};

/// State of a RequestForwarder for monitoring.
struct ForwarderStatus
{
    routing::RouterStatus router;
    std::size_t responseBytes = 0; ///< Memory granted to responses that are being received.
    /// Ids and speeds of the upstreams that differ most from the usual speed of their services.
    std::vector<std::pair<std::string, double>> unusualSpeeds {};
    /// Errors of the output length forecasts by route.
    std::vector<decision::ForecastError> forecastErrors {};
};

/// Forwards requests to upstreams and relays their responses, as routing::Router decides.
///
/// Feeds the router with events, executes the effects that it returns, and holds the connection
/// state of every open request. Thread-safe.
class RequestForwarder
{
public:
    /// Largest body, in bytes, of a response that is not streamed; it is buffered in full.
    static constexpr std::size_t maxBufferedResponseBytes = 4'194'304;
    /// Memory, in bytes, of all such responses together, including those not sent to callers yet.
    static constexpr std::size_t maxTotalBufferedBytes = 16'777'216;

    RequestForwarder(routing::RouterOptions options, const routing::PlatformAdapter &adapter,
                     http::Client &client, metrics::Registry &registry, journal::Journal &journal,
                     RequestForwarderHooks hooks);

    // Commands

    /// Routes a caller's request. Responds at once if it cannot be read or the process is stopping.
    void handleRequest(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    /// Passes an event to the router and executes the effects.
    void handle(const routing::RouterEvent &event);
    /// Returns the claims that changed since the last call.
    std::vector<decision::UpstreamClaim> takeChangedClaims();
    /// See Router::takePlacements().
    std::vector<decision::UpstreamClaim> takePlacements();
    /// See Router::recordReport().
    void recordReport(std::uint64_t number, const std::vector<decision::UpstreamClaim> &claims,
                      bool all);
    /// Returns the recent observations about upstreams that are to be sent to peers.
    std::vector<routing::UpstreamObservation> takeObservations();
    /// See Router::takeOwnLimits() and Router::takeZoneLimits().
    std::vector<decision::NamedLimit> takeOwnLimits(bool all);
    std::vector<decision::NamedLimit> takeZoneLimits(bool all);
    std::vector<decision::NamedLimit> takeFleetLimits(bool all);
    /// Waits for the lock that requests need, and frees it again.
    void passLock() { const std::lock_guard lock(this->mutex); }
    /// See decision::UpstreamSpeeds::takeChanged().
    std::vector<decision::SpeedSum> takeChangedSpeeds(decision::SpeedScope scope,
                                                      std::size_t maxCount);
    /// Answers every later request with 503, because the process is about to stop.
    void rejectNewRequests() { this->rejectingRequests = true; }

    // Queries

    routing::RouterStatus status() const;
    /// Returns the status, or nothing if the lock is not free within \a timeout.
    std::optional<ForwarderStatus> statusWithin(milliseconds timeout) const;
    std::vector<decision::UpstreamClaim> claims() const;
    std::vector<decision::RequestCounts> arrivals() const;
    /// Returns the claims and arrival counts of this process and its peers together. The zone's
    /// name is left empty for the caller to fill in.
    members::ZoneReport zoneReport() const;
    /// Returns the claims and arrival counts of all processes of which this one hears.
    members::FleetReport fleetReport() const;
    std::vector<decision::PartCrashes> blockedParts() const;
    bool hasChangedLimits() const;
    /// Returns true if responses wait for memory.
    bool isMemoryShort() const;
    /// See decision::UpstreamSpeeds::mostDiffering().
    std::vector<std::pair<std::string, double>> differingSpeeds(std::size_t maxCount) const;
    /// See decision::UpstreamSpeeds::sums().
    std::vector<decision::SpeedSum> speedSums(decision::SpeedScope scope) const;

private:
    /// The HTTP transfer of one attempt.
    struct Transfer
    {
        decision::AttemptNumber attempt = 0;
        http::TransferId id = 0;
        routing::ResponseHead head;
        std::string body; ///< Received so far; unused for a relayed stream.
        /// Length of the body as the head states it, in bytes; 0 if it does not.
        std::size_t statedBytes = 0;
        upstreams::EventStreamReader events;
        bool relaying = false; ///< Its events are sent to the caller.
        bool givenUp = false;  ///< Cancelled here; further bytes are dropped.
    };

    /// An open request with its current attempts.
    struct Session
    {
        std::shared_ptr<const routing::RoutedRequest> request;
        http::ExchangePtr exchange;
        Instant arrivalTime;
        Transfer currentTransfer;
        /// Runs beside currentTransfer until its own stream is relayed.
        std::optional<Transfer> parallelTransfer;
        bool headSent = false;         ///< The response head was sent to the caller.
        std::uint64_t lastEventId = 0; ///< Id of the last event sent to the caller.
        std::string workspace;
        Instant lastEventTime; ///< When an event was last sent to the caller.
    };

    void onHead(const routing::AttemptId &attempt, int status, const http::HeaderFields &fields);
    /// \return false to pause the transfer until the caller has read what was sent.
    bool onData(const routing::AttemptId &attempt, std::string_view bytes);
    bool processData(const routing::AttemptId &attempt, std::string_view bytes);
    void onDone(const routing::AttemptId &attempt, const http::TransferResult &result);
    /// Reads a part of a relayed stream, and gives the attempt up if it is not sound.
    void relayBytes(const routing::AttemptId &attempt, Session &session, std::string_view bytes);
    void forwardEvents(const routing::AttemptId &attempt, Session &session,
                       const std::vector<upstreams::RawEvent> &events);
    /// Returns the transfer of an attempt, or nullptr if the attempt is over.
    Transfer *findTransfer(const routing::AttemptId &attempt);
    /// Runs \a action with the lock held, then calls the hooks without it, because they may call
    /// this object again.
    void runLocked(const std::function<void()> &action);

    // The functions below require the lock.
    /// Closes the connection of an attempt whose response is no sound one, and ends the attempt.
    void giveUp(const routing::AttemptId &attempt, const std::string &detail);
    /// Adds bytes to a response that is not streamed. \return false if it has to wait for memory.
    bool bufferBody(const routing::AttemptId &attempt, Transfer &transfer, std::string_view bytes);
    /// Frees the memory of a transfer's body.
    void freeBody(routing::RequestId request, Transfer &transfer);
    /// Continues responses that waited for memory and have got it.
    void continueWaiting();
    /// Continues the streams that were paused for lack of memory.
    void continueStreams();
    /// Returns true if a stream has to wait because its caller reads slowly and memory is short.
    bool delaysForCaller(const Session &session) const;
    std::size_t unsentBytes() const;
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

    const routing::PlatformAdapter &adapter;
    http::Client &client;
    metrics::Registry &registry;
    journal::Journal &journal;
    const RequestForwarderHooks hooks;
    std::atomic<bool> rejectingRequests {false};
    mutable std::timed_mutex mutex; ///< Guards the members below.
    routing::Router router;
    std::unordered_map<routing::RequestId, Session> sessions;
    routing::RequestId lastRequestId = 0;
    decision::ResponseMemory responseMemory {
        decision::ResponseMemoryLimits {.total = maxTotalBufferedBytes}};
    std::vector<routing::AttemptId> pausedStreams;          ///< Streams that wait for memory.
    std::vector<routing::BroadcastCrash> unreportedCrashes; ///< onCrash has yet to be called.
    bool placementUnreported = false;                       ///< onPlacement has yet to be called.
};

} // namespace azurespindle::serving

#endif
