#include "serving/request_forwarder.h"

#include "http/content_length.h"

#include <nlohmann/json.hpp>

#include <strings.h>

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr const char *routedTrafficClass = "routed";
constexpr int statusUnavailable = 503;
constexpr milliseconds stoppingRetryAfter {20};

routing::AttemptEnd toAttemptEnd(const http::TransferResult &result)
{
    switch (result.end) {
    case http::TransferEnd::Complete:
        return routing::AttemptEnd::Complete;
    case http::TransferEnd::NotSent:
        return routing::AttemptEnd::NotSent;
    case http::TransferEnd::ConnectionRefused:
        return routing::AttemptEnd::ConnectionRefused;
    case http::TransferEnd::TimedOut:
        return routing::AttemptEnd::TimedOut;
    case http::TransferEnd::ConnectionLost:
        break;
    }
    return routing::AttemptEnd::Lost;
}

/// Returns the length of the body that a response's head states, in bytes; 0 if it states none.
std::size_t statedLength(const http::HeaderFields &fields)
{
    for (const auto &[name, value] : fields) {
        if (strcasecmp(name.c_str(), "Content-Length") == 0) {
            return http::parseContentLength(value).value_or(0);
        }
    }
    return 0;
}

std::string errorBody(const routing::LocalReply &reply)
{
    return nlohmann::json {{"error", reply.reason}}.dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
}

} // namespace

RequestForwarder::RequestForwarder(routing::RouterOptions options,
                                   const routing::PlatformAdapter &adapter, http::Client &client,
                                   metrics::Registry &registry, journal::Journal &journal,
                                   RequestForwarderHooks hooks)
    : adapter(adapter), client(client), registry(registry), journal(journal),
      hooks(std::move(hooks)), router(std::move(options))
{ }

void RequestForwarder::handleRequest(const http::ServerRequest &request,
                                     const http::ExchangePtr &exchange)
{
    this->registry.count(metrics::Counter::Requests);
    if (this->rejectingRequests) {
        const routing::LocalReply stoppingReply {statusUnavailable, stoppingRetryAfter,
                                                 "this process stops"};
        exchange->respondWithFields(stoppingReply.status,
                                    this->adapter.writeLocalReplyHead("", stoppingReply),
                                    errorBody(stoppingReply));
        return;
    }
    routing::RequestOrReply requestOrReply = this->adapter.readRequest(request);
    if (const auto *refusal = std::get_if<routing::LocalReply>(&requestOrReply)) {
        exchange->respondWithFields(
            refusal->status, this->adapter.writeLocalReplyHead("", *refusal), errorBody(*refusal));
        return;
    }
    Session session;
    session.request = std::make_shared<routing::RoutedRequest>(
        std::move(std::get<routing::RoutedRequest>(requestOrReply)));
    session.exchange = exchange;
    session.arrivalTime = monotonicNow();
    session.lastEventId = session.request->lastEventId.value_or(0);
    routing::RequestId id = 0;
    this->runLocked([&] {
        this->lastRequestId += 1;
        id = this->lastRequestId;
        routing::RequestArrived arrived {id, session.request};
        this->sessions.emplace(id, std::move(session));
        this->dispatch(arrived);
    });
    exchange->onDisconnected([this, id] { this->handle(routing::CallerLeft {id}); });
}

void RequestForwarder::handle(const routing::RouterEvent &event)
{
    this->runLocked([&] {
        this->dispatch(event);
        if (std::holds_alternative<routing::TimePassed>(event)) {
            this->continueStreams();
        }
    });
}

void RequestForwarder::runLocked(const std::function<void()> &action)
{
    std::vector<routing::BroadcastCrash> crashes;
    bool notifyPlacement = false;
    {
        const std::lock_guard lock(this->mutex);
        action();
        this->continueWaiting();
        crashes.swap(this->unreportedCrashes);
        notifyPlacement = std::exchange(this->placementUnreported, false);
    }
    for (const routing::BroadcastCrash &crash : crashes) {
        this->hooks.onCrash(crash);
    }
    if (notifyPlacement) {
        this->hooks.onPlacement();
    }
}

void RequestForwarder::dispatch(const routing::RouterEvent &event)
{
    for (const routing::RouterEffect &effect : this->router.handle(event, monotonicNow())) {
        std::visit([this](const auto &each) { this->execute(each); }, effect);
    }
}

RequestForwarder::Transfer *RequestForwarder::findTransfer(const routing::AttemptId &attempt)
{
    const auto found = this->sessions.find(attempt.request);
    if (found == this->sessions.end()) {
        return nullptr;
    }
    Session &session = found->second;
    if (session.currentTransfer.attempt == attempt.number) {
        return &session.currentTransfer;
    }
    const bool isParallel
        = session.parallelTransfer && session.parallelTransfer->attempt == attempt.number;
    return isParallel ? &*session.parallelTransfer : nullptr;
}

// Callbacks of transfers -------------------------------------------------------------------------

void RequestForwarder::onHead(const routing::AttemptId &attempt, int status,
                              const http::HeaderFields &fields)
{
    this->runLocked([&] {
        if (Transfer *transfer = this->findTransfer(attempt)) {
            const Session &session = this->sessions.at(attempt.request);
            transfer->head = this->adapter.readHead(*session.request, status, fields);
            transfer->statedBytes = statedLength(fields);
            // The head is copied, because the router may replace the current transfer by this one,
            // which moves the original.
            const routing::ResponseHead head = transfer->head;
            this->dispatch(routing::HeadArrived {attempt, head});
        }
    });
}

bool RequestForwarder::onData(const routing::AttemptId &attempt, std::string_view bytes)
{
    bool accepted = true;
    this->runLocked([&] { accepted = this->processData(attempt, bytes); });
    return accepted;
}

bool RequestForwarder::processData(const routing::AttemptId &attempt, std::string_view bytes)
{
    Transfer *transfer = this->findTransfer(attempt);
    if (transfer == nullptr || transfer->givenUp) {
        return true;
    }
    if (transfer->relaying) {
        Session &session = this->sessions.at(attempt.request);
        if (session.exchange->congested()) {
            return false;
        }
        if (this->delaysForCaller(session)) {
            this->pausedStreams.push_back(attempt);
            this->dispatch(routing::ReadingPaused {attempt, true});
            return false;
        }
        this->relayBytes(attempt, session, bytes);
        return true;
    }
    const std::size_t needed
        = std::max(transfer->body.size() + bytes.size(), transfer->statedBytes);
    if (needed > maxBufferedResponseBytes) {
        this->giveUp(attempt, "too large");
        return true;
    }
    return this->bufferBody(attempt, *transfer, bytes);
}

void RequestForwarder::giveUp(const routing::AttemptId &attempt, const std::string &detail)
{
    Transfer &transfer = *this->findTransfer(attempt);
    transfer.givenUp = true;
    this->freeBody(attempt.request, transfer);
    transfer.events = upstreams::EventStreamReader();
    this->client.cancel(transfer.id);
    this->dispatch(routing::AttemptEnded {attempt, routing::AttemptEnd::Lost, detail});
}

void RequestForwarder::relayBytes(const routing::AttemptId &attempt, Session &session,
                                  std::string_view bytes)
{
    const upstreams::EventBatch batch = session.currentTransfer.events.feed(bytes);
    this->forwardEvents(attempt, session, batch.events);
    if (batch.fault && this->findTransfer(attempt) != nullptr) {
        this->giveUp(attempt, toText(*batch.fault));
    }
}

void RequestForwarder::forwardEvents(const routing::AttemptId &attempt, Session &session,
                                     const std::vector<upstreams::RawEvent> &events)
{
    std::string forwarded;
    routing::EventsArrived arrived {attempt, 0, session.lastEventId};
    for (const upstreams::RawEvent &event : events) {
        if (event.id && *event.id <= session.lastEventId) {
            continue; // The caller has it already, from an earlier attempt.
        }
        session.lastEventId = event.id.value_or(session.lastEventId);
        arrived.count += 1;
        forwarded += event.bytes;
    }
    if (arrived.count == 0) {
        return;
    }
    if (!std::exchange(session.headSent, true)) {
        session.exchange->beginStreamWithFields(session.currentTransfer.head.status,
                                                session.currentTransfer.head.fields);
        this->registry.observe(metrics::Measure::FirstToken, session.workspace, routedTrafficClass,
                               inSeconds(monotonicNow() - session.arrivalTime));
    } else {
        this->registry.observe(metrics::Measure::Gap, session.workspace, routedTrafficClass,
                               inSeconds(monotonicNow() - session.lastEventTime));
    }
    session.lastEventTime = monotonicNow();
    session.exchange->send(forwarded);
    arrived.lastEventId = session.lastEventId;
    this->dispatch(arrived);
}

void RequestForwarder::onDone(const routing::AttemptId &attempt, const http::TransferResult &result)
{
    this->runLocked([&] {
        Transfer *transfer = this->findTransfer(attempt);
        if (transfer == nullptr || transfer->givenUp) {
            return;
        }
        if (result.end != http::TransferEnd::Complete) {
            this->freeBody(attempt.request, *transfer);
        }
        const bool insideEvent = result.end == http::TransferEnd::Complete && transfer->relaying
            && transfer->events.pendingBytes() > 0;
        this->dispatch(insideEvent
                           ? routing::AttemptEnded {attempt, routing::AttemptEnd::Lost,
                                                    "the stream ended inside an event"}
                           : routing::AttemptEnded {attempt, toAttemptEnd(result), result.detail});
    });
}

// Effects ----------------------------------------------------------------------------------------

void RequestForwarder::execute(const routing::StartAttempt &effect)
{
    this->placementUnreported = this->placementUnreported || effect.plan.toEngine;
    Session &session = this->sessions.at(effect.attempt.request);
    const routing::AttemptId attempt = effect.attempt;
    session.workspace = effect.plan.workspace;
    http::TransferCallbacks callbacks;
    callbacks.onHeaderFields = [this, attempt](int status, const http::HeaderFields &fields) {
        this->onHead(attempt, status, fields);
    };
    callbacks.onData
        = [this, attempt](std::string_view bytes) { return this->onData(attempt, bytes); };
    callbacks.onDone
        = [this, attempt](const http::TransferResult &result) { this->onDone(attempt, result); };
    Transfer transfer;
    transfer.attempt = attempt.number;
    transfer.events = upstreams::EventStreamReader(this->adapter.extraEventFields);
    transfer.id = this->client.start(this->adapter.writeAttempt(*session.request, effect.plan),
                                     std::move(callbacks));
    if (effect.parallel) {
        if (session.parallelTransfer) {
            this->freeBody(attempt.request, *session.parallelTransfer);
        }
        session.parallelTransfer = std::move(transfer);
    } else {
        this->freeBody(attempt.request, session.currentTransfer);
        session.currentTransfer = std::move(transfer);
    }
}

void RequestForwarder::execute(const routing::CancelAttempt &effect)
{
    if (Transfer *transfer = this->findTransfer(effect.attempt)) {
        transfer->relaying = false;
        transfer->givenUp = true;
        this->freeBody(effect.attempt.request, *transfer);
        this->client.cancel(transfer->id);
    }
}

void RequestForwarder::execute(const routing::RelayStream &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    if (session.parallelTransfer && session.parallelTransfer->attempt == effect.attempt.number) {
        this->freeBody(effect.attempt.request, session.currentTransfer);
        session.currentTransfer = std::move(*session.parallelTransfer);
        session.parallelTransfer.reset();
    }
    session.currentTransfer.relaying = true;
    const http::TransferId transfer = session.currentTransfer.id;
    session.exchange->onDrained([this, transfer] { this->client.resume(transfer); });
}

void RequestForwarder::execute(const routing::ForwardResponse &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    session.exchange->respondWithFields(session.currentTransfer.head.status,
                                        session.currentTransfer.head.fields,
                                        session.currentTransfer.body);
    this->registry.observe(metrics::Measure::FirstToken, session.workspace, routedTrafficClass,
                           inSeconds(monotonicNow() - session.arrivalTime));
}

void RequestForwarder::execute(const routing::EndStream &effect)
{
    Session &session = this->sessions.at(effect.request);
    if (!std::exchange(session.headSent, true)) {
        session.exchange->beginStreamWithFields(session.currentTransfer.head.status,
                                                session.currentTransfer.head.fields);
    }
    session.exchange->finish();
}

void RequestForwarder::execute(const routing::AbortStream &effect)
{
    this->sessions.at(effect.request).exchange->abort();
}

void RequestForwarder::execute(const routing::SendLocalReply &effect)
{
    this->registry.count(metrics::Counter::Refusals);
    const Session &session = this->sessions.at(effect.request);
    session.exchange->respondWithFields(
        effect.reply.status,
        this->adapter.writeLocalReplyHead(session.request->callerRequestId, effect.reply),
        errorBody(effect.reply));
}

void RequestForwarder::execute(const routing::RequestMigration &effect)
{
    this->placementUnreported = true;
    this->registry.count(metrics::Counter::Resumes);
    this->adapter.requestMigration(
        effect, [this, effect](const routing::MigrationResponse &response) {
            this->handle(
                routing::MigrationResponseArrived {effect.attempt, effect.final, response});
        });
}

void RequestForwarder::execute(const routing::RequestEngineReport &effect)
{
    this->registry.count(metrics::Counter::LoadReads);
    const std::string upstream = effect.upstream;
    this->adapter.requestReport(effect, [this, upstream](const routing::EngineReport &report) {
        this->handle(routing::EngineReportArrived {upstream, report});
    });
}

void RequestForwarder::execute(const routing::ReleaseCopy &effect)
{
    this->adapter.releaseCopy(effect);
}

void RequestForwarder::execute(const routing::BroadcastCrash &effect)
{
    this->unreportedCrashes.push_back(effect);
}

void RequestForwarder::execute(const routing::RequestClosed &effect)
{
    const auto found = this->sessions.find(effect.request);
    if (found == this->sessions.end()) {
        return;
    }
    this->freeBody(effect.request, found->second.currentTransfer);
    if (found->second.parallelTransfer) {
        this->freeBody(effect.request, *found->second.parallelTransfer);
    }
    this->sessions.erase(found);
}

void RequestForwarder::execute(const routing::WriteJournal &effect)
{
    this->journal.record(effect.entry);
}

} // namespace azurespindle::serving
