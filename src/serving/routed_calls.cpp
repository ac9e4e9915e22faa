#include "serving/routed_calls.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace azurespindle::serving {
namespace {

constexpr const char *routedClass = "routed";
constexpr int statusUnavailable = 503;
constexpr milliseconds closingRetry {20};

routing::AttemptEnd endOf(const http::TransferResult &result)
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
    case http::TransferEnd::Lost:
        break;
    }
    return routing::AttemptEnd::Lost;
}

std::string ownBody(const routing::LocalReply &answer)
{
    return nlohmann::json {{"error", answer.reason}}.dump();
}

} // namespace

RoutedCalls::RoutedCalls(routing::RouterOptions options, const routing::PlatformAdapter &port,
                         http::Client &client, metrics::Registry &registry,
                         journal::Journal &journal, RoutedCallsHooks hooks)
    : port(port), client(client), registry(registry), journal(journal), hooks(std::move(hooks)),
      router(std::move(options))
{ }

void RoutedCalls::take(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    this->registry.count(metrics::Counter::Requests);
    if (this->closing) {
        const routing::LocalReply stopped {statusUnavailable, closingRetry, "this process stops"};
        exchange->respondWith(stopped.status, this->port.writeLocalReplyHead("", stopped),
                              ownBody(stopped));
        return;
    }
    routing::RequestOrReply read = this->port.readRequest(request);
    if (const auto *refusal = std::get_if<routing::LocalReply>(&read)) {
        exchange->respondWith(refusal->status, this->port.writeLocalReplyHead("", *refusal),
                              ownBody(*refusal));
        return;
    }
    Session session;
    session.request = std::make_shared<routing::RoutedRequest>(
        std::move(std::get<routing::RoutedRequest>(read)));
    session.exchange = exchange;
    session.arrived = monotonicNow();
    session.lastEventId = session.request->lastEventId.value_or(0);
    routing::RequestId id = 0;
    this->locked([&] {
        this->lastRequest += 1;
        id = this->lastRequest;
        routing::RequestArrived arrived {id, session.request};
        this->sessions.emplace(id, std::move(session));
        this->drive(arrived);
    });
    exchange->onGone([this, id] { this->handle(routing::CallerLeft {id}); });
}

void RoutedCalls::handle(const routing::RouterEvent &event)
{
    this->locked([&] { this->drive(event); });
}

void RoutedCalls::locked(const std::function<void()> &work)
{
    std::vector<routing::BroadcastCrash> telling;
    bool tellsPlacement = false;
    {
        const std::lock_guard lock(this->mutex);
        work();
        telling.swap(this->untold);
        tellsPlacement = std::exchange(this->placed, false);
    }
    for (const routing::BroadcastCrash &crash : telling) {
        this->hooks.onCrash(crash);
    }
    if (tellsPlacement) {
        this->hooks.onPlaced();
    }
}

void RoutedCalls::drive(const routing::RouterEvent &event)
{
    for (const routing::RouterEffect &effect : this->router.handle(event, monotonicNow())) {
        std::visit([this](const auto &each) { this->execute(each); }, effect);
    }
}

RoutedCalls::Transfer *RoutedCalls::find(const routing::AttemptId &attempt)
{
    const auto found = this->sessions.find(attempt.request);
    if (found == this->sessions.end()) {
        return nullptr;
    }
    Session &session = found->second;
    if (session.present.attempt == attempt.number) {
        return &session.present;
    }
    const bool isBeside = session.beside && session.beside->attempt == attempt.number;
    return isBeside ? &*session.beside : nullptr;
}

// What upstreams send. ---------------------------------------------------------------------------

void RoutedCalls::onHead(const routing::AttemptId &attempt, int status,
                         const http::HeaderFields &fields)
{
    this->locked([&] {
        if (Transfer *transfer = this->find(attempt)) {
            const Session &session = this->sessions.at(attempt.request);
            transfer->head = this->port.readHead(*session.request, status, fields);
            // Copied: the transfer moves when it takes the place of the one before.
            const routing::ResponseHead head = transfer->head;
            this->drive(routing::HeadArrived {attempt, head});
        }
    });
}

bool RoutedCalls::onData(const routing::AttemptId &attempt, std::string_view bytes)
{
    bool taken = true;
    this->locked([&] { taken = this->takeData(attempt, bytes); });
    return taken;
}

bool RoutedCalls::takeData(const routing::AttemptId &attempt, std::string_view bytes)
{
    Transfer *transfer = this->find(attempt);
    if (transfer == nullptr) {
        return true;
    }
    if (transfer->relaying) {
        Session &session = this->sessions.at(attempt.request);
        if (session.exchange->congested()) {
            return false;
        }
        this->passEvents(attempt, session, bytes);
        return true;
    }
    if (transfer->body.size() + bytes.size() > maxAnswerBytes) {
        this->client.cancel(transfer->id);
        this->drive(routing::AttemptEnded {attempt, routing::AttemptEnd::Lost, "too large"});
        return true;
    }
    transfer->body += bytes;
    return true;
}

void RoutedCalls::passEvents(const routing::AttemptId &attempt, Session &session,
                             std::string_view bytes)
{
    std::string passed;
    routing::EventsArrived arrived {attempt, 0, session.lastEventId};
    for (const upstreams::RawEvent &event : session.present.splitter.take(bytes)) {
        if (event.id && *event.id <= session.lastEventId) {
            continue; // The engine before had sent it.
        }
        session.lastEventId = event.id.value_or(session.lastEventId);
        arrived.count += 1;
        passed += event.bytes;
    }
    if (arrived.count == 0) {
        return;
    }
    if (!std::exchange(session.headSent, true)) {
        session.exchange->beginStreamWith(session.present.head.status, session.present.head.fields);
        this->registry.observe(metrics::Measure::FirstToken, session.workspace, routedClass,
                               inSeconds(monotonicNow() - session.arrived));
    } else {
        this->registry.observe(metrics::Measure::Gap, session.workspace, routedClass,
                               inSeconds(monotonicNow() - session.lastEvent));
    }
    session.lastEvent = monotonicNow();
    session.exchange->send(passed);
    arrived.lastEventId = session.lastEventId;
    this->drive(arrived);
}

void RoutedCalls::onDone(const routing::AttemptId &attempt, const http::TransferResult &result)
{
    this->locked([&] {
        if (this->find(attempt) != nullptr) {
            this->drive(routing::AttemptEnded {attempt, endOf(result), result.detail});
        }
    });
}

// Effects. ---------------------------------------------------------------------------------------

void RoutedCalls::execute(const routing::StartAttempt &effect)
{
    this->placed = this->placed || effect.plan.toEngine;
    Session &session = this->sessions.at(effect.attempt.request);
    const routing::AttemptId attempt = effect.attempt;
    session.workspace = effect.plan.workspace;
    http::TransferCallbacks callbacks;
    callbacks.onHead = [this, attempt](int status, const http::HeaderFields &fields) {
        this->onHead(attempt, status, fields);
    };
    callbacks.onData
        = [this, attempt](std::string_view bytes) { return this->onData(attempt, bytes); };
    callbacks.onDone
        = [this, attempt](const http::TransferResult &result) { this->onDone(attempt, result); };
    Transfer transfer;
    transfer.attempt = attempt.number;
    transfer.id = this->client.start(this->port.writeAttempt(*session.request, effect.plan),
                                     std::move(callbacks));
    if (effect.parallel) {
        session.beside = std::move(transfer);
    } else {
        session.present = std::move(transfer);
    }
}

void RoutedCalls::execute(const routing::CancelAttempt &effect)
{
    if (Transfer *transfer = this->find(effect.attempt)) {
        transfer->relaying = false;
        this->client.cancel(transfer->id);
    }
}

void RoutedCalls::execute(const routing::RelayStream &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    if (session.beside && session.beside->attempt == effect.attempt.number) {
        session.present = std::move(*session.beside);
        session.beside.reset();
    }
    session.present.relaying = true;
    const http::TransferId transfer = session.present.id;
    session.exchange->onDrained([this, transfer] { this->client.resume(transfer); });
}

void RoutedCalls::execute(const routing::ForwardResponse &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    session.exchange->respondWith(session.present.head.status, session.present.head.fields,
                                  session.present.body);
    this->registry.observe(metrics::Measure::FirstToken, session.workspace, routedClass,
                           inSeconds(monotonicNow() - session.arrived));
}

void RoutedCalls::execute(const routing::EndStream &effect)
{
    Session &session = this->sessions.at(effect.request);
    if (!std::exchange(session.headSent, true)) {
        session.exchange->beginStreamWith(session.present.head.status, session.present.head.fields);
    }
    session.exchange->finish();
}

void RoutedCalls::execute(const routing::AbortStream &effect)
{
    this->sessions.at(effect.request).exchange->abort();
}

void RoutedCalls::execute(const routing::SendLocalReply &effect)
{
    this->registry.count(metrics::Counter::Refusals);
    const Session &session = this->sessions.at(effect.request);
    session.exchange->respondWith(
        effect.reply.status,
        this->port.writeLocalReplyHead(session.request->callerRequestId, effect.reply),
        ownBody(effect.reply));
}

void RoutedCalls::execute(const routing::RequestMigration &effect)
{
    this->placed = true;
    this->registry.count(metrics::Counter::Resumes);
    this->port.requestMigration(effect, [this, effect](const routing::MigrationResponse &answer) {
        this->handle(routing::MigrationResponseArrived {effect.attempt, effect.final, answer});
    });
}

void RoutedCalls::execute(const routing::RequestEngineReport &effect)
{
    this->registry.count(metrics::Counter::LoadReads);
    const std::string upstream = effect.upstream;
    this->port.requestReport(effect, [this, upstream](const routing::EngineReport &report) {
        this->handle(routing::EngineReportArrived {upstream, report});
    });
}

void RoutedCalls::execute(const routing::ReleaseCopy &effect)
{
    this->port.releaseCopy(effect);
}

void RoutedCalls::execute(const routing::BroadcastCrash &effect)
{
    this->untold.push_back(effect);
}

void RoutedCalls::execute(const routing::RequestClosed &effect)
{
    this->sessions.erase(effect.request);
}

void RoutedCalls::execute(const routing::WriteJournal &effect)
{
    this->journal.record(effect.entry);
}

// ------------------------------------------------------------------------------------------------

std::vector<decision::UpstreamClaim> RoutedCalls::takeChangedClaims()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeChangedClaims();
}

std::vector<routing::UpstreamObservation> RoutedCalls::takeNotes()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeObservations(monotonicNow());
}

void RoutedCalls::cutAll()
{
    const std::lock_guard lock(this->mutex);
    for (auto &[id, session] : this->sessions) {
        this->client.cancel(session.present.id);
        if (session.beside) {
            this->client.cancel(session.beside->id);
        }
        session.exchange->abort();
    }
}

routing::RouterStatus RoutedCalls::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.status();
}

std::vector<decision::UpstreamClaim> RoutedCalls::claims() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.claims();
}

members::ZoneReport RoutedCalls::zoneReport() const
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    const decision::ArrivalBudget &budget = this->router.arrivalBudget();
    return {"", static_cast<std::uint32_t>(budget.processesHeard(now)),
            this->router.claimsWithPeers(), budget.ownAndPeers(now)};
}

std::vector<decision::ArrivalCount> RoutedCalls::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.arrivals(monotonicNow());
}

} // namespace azurespindle::serving
