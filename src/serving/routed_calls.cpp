#include "serving/routed_calls.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace azurespindle::serving {
namespace {

constexpr const char *routedClass = "routed";

routing::AttemptEnd endOf(const http::TransferResult &result)
{
    switch (result.end) {
    case http::TransferEnd::Complete:
        return routing::AttemptEnd::Complete;
    case http::TransferEnd::NotSent:
        return routing::AttemptEnd::NotSent;
    case http::TransferEnd::ConnectionRefused:
        return routing::AttemptEnd::Refused;
    case http::TransferEnd::TimedOut:
        return routing::AttemptEnd::TimedOut;
    case http::TransferEnd::Lost:
        break;
    }
    return routing::AttemptEnd::Lost;
}

std::string ownBody(const routing::OwnAnswer &answer)
{
    return nlohmann::json {{"error", answer.reason}}.dump();
}

} // namespace

RoutedCalls::RoutedCalls(routing::RouterOptions options, const routing::PlatformPort &port,
                         http::Client &client, metrics::Registry &registry,
                         journal::Journal &journal,
                         std::function<void(const routing::TellCrash &)> tellCrash)
    : port(port), client(client), registry(registry), journal(journal),
      tellCrash(std::move(tellCrash)), router(std::move(options))
{ }

void RoutedCalls::take(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    this->registry.count(metrics::Counter::Requests);
    routing::ReadRequest read = this->port.readRequest(request);
    if (const auto *refusal = std::get_if<routing::OwnAnswer>(&read)) {
        exchange->respondWith(refusal->status, this->port.writeOwnHead("", *refusal),
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
    std::vector<routing::TellCrash> telling;
    {
        const std::lock_guard lock(this->mutex);
        work();
        telling.swap(this->untold);
    }
    for (const routing::TellCrash &crash : telling) {
        this->tellCrash(crash);
    }
}

void RoutedCalls::drive(const routing::RouterEvent &event)
{
    for (const routing::RouterEffect &effect : this->router.handle(event, monotonicNow())) {
        std::visit([this](const auto &each) { this->execute(each); }, effect);
    }
}

RoutedCalls::Session *RoutedCalls::current(const routing::AttemptId &attempt)
{
    const auto found = this->sessions.find(attempt.request);
    const bool is = found != this->sessions.end() && found->second.attempt == attempt.number;
    return is ? &found->second : nullptr;
}

// What upstreams send. ---------------------------------------------------------------------------

void RoutedCalls::onHead(const routing::AttemptId &attempt, int status,
                         const http::HeaderFields &fields)
{
    this->locked([&] {
        if (Session *session = this->current(attempt)) {
            session->head = this->port.readHead(*session->request, status, fields);
            this->drive(routing::HeadArrived {attempt, session->head});
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
    Session *session = this->current(attempt);
    if (session == nullptr) {
        return true;
    }
    if (session->relaying) {
        if (session->exchange->congested()) {
            session->paused = true;
            return false;
        }
        this->passEvents(attempt, *session, bytes);
        return true;
    }
    if (session->body.size() + bytes.size() > maxAnswerBytes) {
        const http::TransferId transfer = session->transfer;
        this->client.cancel(transfer);
        this->drive(routing::AttemptEnded {attempt, routing::AttemptEnd::Lost, "too large"});
        return true;
    }
    session->body += bytes;
    return true;
}

void RoutedCalls::passEvents(const routing::AttemptId &attempt, Session &session,
                             std::string_view bytes)
{
    std::string passed;
    routing::EventsArrived arrived {attempt, 0, session.lastEventId};
    for (const upstreams::RawEvent &event : session.splitter.take(bytes)) {
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
        session.exchange->beginStreamWith(session.head.status, session.head.fields);
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
        if (this->current(attempt) != nullptr) {
            this->drive(routing::AttemptEnded {attempt, endOf(result), result.detail});
        }
    });
}

// Effects. ---------------------------------------------------------------------------------------

void RoutedCalls::execute(const routing::StartAttempt &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    session.attempt = effect.attempt.number;
    session.head = {};
    session.body.clear();
    session.splitter = {};
    session.relaying = false;
    session.paused = false;
    session.workspace = effect.plan.workspace;
    const routing::AttemptId attempt = effect.attempt;
    http::TransferCallbacks callbacks;
    callbacks.onHead = [this, attempt](int status, const http::HeaderFields &fields) {
        this->onHead(attempt, status, fields);
    };
    callbacks.onData
        = [this, attempt](std::string_view bytes) { return this->onData(attempt, bytes); };
    callbacks.onDone = [this, attempt](const http::TransferResult &result) {
        this->onDone(attempt, result);
    };
    session.transfer = this->client.start(this->port.writeAttempt(*session.request, effect.plan),
                                          std::move(callbacks));
    const http::TransferId transfer = session.transfer;
    session.exchange->onDrained([this, transfer] { this->client.resume(transfer); });
}

void RoutedCalls::execute(const routing::CancelAttempt &effect)
{
    if (Session *session = this->current(effect.attempt)) {
        session->relaying = false;
        this->client.cancel(session->transfer);
    }
}

void RoutedCalls::execute(const routing::RelayStream &effect)
{
    this->sessions.at(effect.attempt.request).relaying = true;
}

void RoutedCalls::execute(const routing::PassAnswer &effect)
{
    Session &session = this->sessions.at(effect.attempt.request);
    session.exchange->respondWith(session.head.status, session.head.fields, session.body);
    this->registry.observe(metrics::Measure::FirstToken, session.workspace, routedClass,
                           inSeconds(monotonicNow() - session.arrived));
}

void RoutedCalls::execute(const routing::EndStream &effect)
{
    Session &session = this->sessions.at(effect.request);
    if (!std::exchange(session.headSent, true)) {
        session.exchange->beginStreamWith(session.head.status, session.head.fields);
    }
    session.exchange->finish();
}

void RoutedCalls::execute(const routing::BreakOff &effect)
{
    this->sessions.at(effect.request).exchange->abort();
}

void RoutedCalls::execute(const routing::AnswerOwn &effect)
{
    this->registry.count(metrics::Counter::Refusals);
    const Session &session = this->sessions.at(effect.request);
    session.exchange->respondWith(effect.answer.status,
                              this->port.writeOwnHead(session.request->callerId, effect.answer),
                              ownBody(effect.answer));
}

void RoutedCalls::execute(const routing::AskMove &effect)
{
    this->registry.count(metrics::Counter::Resumes);
    this->port.askMove(effect, [this, effect](const routing::MoveAnswer &answer) {
        this->handle(routing::MoveAnswered {effect.attempt, effect.final, answer});
    });
}

void RoutedCalls::execute(const routing::AskReport &effect)
{
    this->registry.count(metrics::Counter::LoadReads);
    const std::string upstream = effect.upstream;
    this->port.askReport(effect, [this, upstream](const routing::EngineReport &report) {
        this->handle(routing::ReportArrived {upstream, report});
    });
}

void RoutedCalls::execute(const routing::DropCopy &effect)
{
    this->port.dropCopy(effect);
}

void RoutedCalls::execute(const routing::TellCrash &effect)
{
    this->untold.push_back(effect);
}

void RoutedCalls::execute(const routing::RequestClosed &effect)
{
    this->sessions.erase(effect.request);
}

void RoutedCalls::execute(const routing::Journal &effect)
{
    this->journal.record(effect.entry);
}

// ------------------------------------------------------------------------------------------------

std::vector<decision::UpstreamClaim> RoutedCalls::takeChangedClaims()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeChangedClaims();
}

std::vector<routing::UpstreamNote> RoutedCalls::takeNotes()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeNotes(monotonicNow());
}

void RoutedCalls::cutAll()
{
    const std::lock_guard lock(this->mutex);
    for (auto &[id, session] : this->sessions) {
        this->client.cancel(session.transfer);
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

std::vector<decision::ArrivalCount> RoutedCalls::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.arrivals(monotonicNow());
}

} // namespace azurespindle::serving
