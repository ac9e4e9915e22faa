#include "serving/request_forwarder.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace azurespindle::serving {
namespace {

constexpr const char *routedTrafficClass = "routed";
constexpr int statusUnavailable = 503;
constexpr milliseconds stoppingRetryAfter {20};
/// Bytes with which the head of a response begins. No line of an event does.
constexpr const char *responseHeadStart = "HTTP/1.";
/// Responses up to this size are so many at most that their sum is not checked.
constexpr std::size_t smallResponseBytes = 16'384;

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
    this->runLocked([&] { this->dispatch(event); });
}

void RequestForwarder::runLocked(const std::function<void()> &action)
{
    std::vector<routing::BroadcastCrash> crashes;
    bool notifyPlacement = false;
    {
        const std::lock_guard lock(this->mutex);
        action();
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
        this->forwardEvents(attempt, session, bytes);
        const Transfer *relayed = this->findTransfer(attempt);
        if (relayed != nullptr
            && relayed->splitter.pendingBytes() > upstreams::EventSplitter::maxEventBytes) {
            this->giveUp(attempt, "an event is too large");
        }
        return true;
    }
    if (transfer->body.size() + bytes.size() > maxBufferedResponseBytes) {
        this->giveUp(attempt, "too large");
        return true;
    }
    transfer->body += bytes;
    if (transfer->body.size() > smallResponseBytes) {
        this->boundBufferedBytes();
    }
    return true;
}

void RequestForwarder::giveUp(const routing::AttemptId &attempt, const std::string &detail)
{
    Transfer &transfer = *this->findTransfer(attempt);
    transfer.givenUp = true;
    transfer.body = {};
    transfer.splitter = {};
    this->client.cancel(transfer.id);
    this->dispatch(routing::AttemptEnded {attempt, routing::AttemptEnd::Lost, detail});
}

void RequestForwarder::boundBufferedBytes()
{
    while (true) {
        std::size_t total = 0;
        std::size_t longest = 0;
        routing::AttemptId longestAttempt;
        const auto add = [&](routing::RequestId request, const Transfer &transfer) {
            total += transfer.body.capacity();
            if (transfer.body.capacity() > longest) {
                longest = transfer.body.capacity();
                longestAttempt = {request, transfer.attempt};
            }
        };
        for (const auto &[request, session] : this->sessions) {
            add(request, session.currentTransfer);
            if (session.parallelTransfer) {
                add(request, *session.parallelTransfer);
            }
        }
        if (total <= maxTotalBufferedBytes) {
            return;
        }
        this->giveUp(longestAttempt, "too large beside others");
    }
}

void RequestForwarder::forwardEvents(const routing::AttemptId &attempt, Session &session,
                                     std::string_view bytes)
{
    std::string forwarded;
    bool headInStream = false;
    routing::EventsArrived arrived {attempt, 0, session.lastEventId};
    for (const upstreams::RawEvent &event : session.currentTransfer.splitter.feed(bytes)) {
        if (event.id && *event.id <= session.lastEventId) {
            continue; // The caller has it already, from an earlier attempt.
        }
        if (event.bytes.rfind(responseHeadStart, 0) == 0) {
            headInStream = true;
            break;
        }
        session.lastEventId = event.id.value_or(session.lastEventId);
        arrived.count += 1;
        forwarded += event.bytes;
    }
    if (arrived.count == 0) {
        if (headInStream) {
            this->giveUp(attempt, "a response's head stands in the stream");
        }
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
    if (headInStream && this->findTransfer(attempt) != nullptr) {
        this->giveUp(attempt, "a response's head stands in the stream");
    }
}

void RequestForwarder::onDone(const routing::AttemptId &attempt, const http::TransferResult &result)
{
    this->runLocked([&] {
        Transfer *transfer = this->findTransfer(attempt);
        if (transfer == nullptr || transfer->givenUp) {
            return;
        }
        if (result.end != http::TransferEnd::Complete) {
            transfer->body = {};
        }
        const bool insideEvent = result.end == http::TransferEnd::Complete && transfer->relaying
            && transfer->splitter.pendingBytes() > 0;
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
    transfer.id = this->client.start(this->adapter.writeAttempt(*session.request, effect.plan),
                                     std::move(callbacks));
    if (effect.parallel) {
        session.parallelTransfer = std::move(transfer);
    } else {
        session.currentTransfer = std::move(transfer);
    }
}

void RequestForwarder::execute(const routing::CancelAttempt &effect)
{
    if (Transfer *transfer = this->findTransfer(effect.attempt)) {
        transfer->relaying = false;
        this->client.cancel(transfer->id);
    }
}

void RequestForwarder::execute(const routing::RelayStream &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    if (session.parallelTransfer && session.parallelTransfer->attempt == effect.attempt.number) {
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

void RequestForwarder::execute(const routing::RequestReservation &effect)
{
    this->placementUnreported = true;
    this->adapter.requestReservation(
        effect, [this, id = effect.id](const routing::ReservationResponse &response) {
            this->handle(routing::ReservationAnswered {id, response});
        });
}

void RequestForwarder::execute(const routing::ReleaseReservation &effect)
{
    this->adapter.releaseReservation(effect);
}

void RequestForwarder::execute(const routing::BroadcastCrash &effect)
{
    this->unreportedCrashes.push_back(effect);
}

void RequestForwarder::execute(const routing::RequestClosed &effect)
{
    this->sessions.erase(effect.request);
}

void RequestForwarder::execute(const routing::WriteJournal &effect)
{
    this->journal.record(effect.entry);
}

} // namespace azurespindle::serving
