#include "upstreams/attempt_runner.h"

#include "callers/event_id.h"

#include <cstdio>
#include <utility>

namespace azurespindle::upstreams {
namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr std::size_t maxDetailBytes = 200; ///< Of an error response, for the event log.
/// Largest response body of a plain service. A larger one fails the attempt.
constexpr std::size_t maxResponseBytes = 16'777'216;

decision::FailureKind failureOf(http::TransferEnd end)
{
    switch (end) {
    case http::TransferEnd::NotSent:
        return decision::FailureKind::NotSent;
    case http::TransferEnd::ConnectionRefused:
        return decision::FailureKind::ConnectionRefused;
    case http::TransferEnd::TimedOut:
        return decision::FailureKind::TimedOut;
    case http::TransferEnd::Complete:
    case http::TransferEnd::ConnectionLost:
        return decision::FailureKind::ConnectionLost;
    }
    return decision::FailureKind::ConnectionLost;
}

/// Returns the block hashes in hexadecimal, separated by commas.
std::string formatBlocks(const std::vector<std::uint64_t> &blocks)
{
    std::string text;
    for (const std::uint64_t block : blocks) {
        char hex[20];
        std::snprintf(hex, sizeof(hex), "%llx", static_cast<unsigned long long>(block));
        text += (text.empty() ? "" : ",") + std::string(hex);
    }
    return text;
}

} // namespace

/// State of one attempt. Only its client's thread accesses it once the transfer has started.
struct AttemptRunner::Attempt
{
    serving::PoolRunner &pool;
    serving::SessionPtr session;
    decision::AttemptNumber number;
    http::Client &client;
    http::TransferId transfer = 0;
    SseReader reader {};
    int status = 0;                  ///< HTTP status; 0 until it arrives.
    std::string errorText {};        ///< First maxDetailBytes of an error response.
    bool finished = false;           ///< The end marker was received.
    bool paused = false;             ///< Reading is paused because the caller reads too slowly.
    bool resumed = false;            ///< The attempt continues an earlier one.
    decision::Tokens nextOffset = 0; ///< Offset after the last token received.

    void reportFailure(decision::FailureKind kind, const std::string &detail) const
    {
        this->pool.post(
            decision::AttemptFailed {this->session->request().id, this->number, kind, detail});
    }

    /// Reads response bytes. \return false to pause the transfer because the caller is congested.
    bool handleData(std::string_view bytes);
    void postTokens(const SseBatch &batch);
    void handleTransferEnd(const http::TransferResult &result);
};

bool AttemptRunner::Attempt::handleData(std::string_view bytes)
{
    if (this->status != statusOk) {
        this->errorText
            += bytes.substr(0, maxDetailBytes - std::min(maxDetailBytes, this->errorText.size()));
        return true;
    }
    const decision::RequestId id = this->session->request().id;
    if (this->session->exchange()->congested()) {
        this->paused = true;
        this->pool.post(decision::CallerStalled {id, true});
        return false;
    }
    if (std::exchange(this->paused, false)) {
        this->pool.post(decision::CallerStalled {id, false});
    }
    const SseBatch batch = this->reader.read(bytes);
    this->postTokens(batch);
    if (batch.malformed) {
        this->reportFailure(decision::FailureKind::ConnectionLost,
                            "the stream cannot be understood");
    }
    return true;
}

void AttemptRunner::Attempt::postTokens(const SseBatch &batch)
{
    if (batch.tokens.empty() && !batch.finished) {
        return;
    }
    decision::TokensArrived event;
    event.request = this->session->request().id;
    event.attempt = this->number;
    event.finished = batch.finished;
    event.generation = this->session->generation();
    serving::TokenTexts texts;
    for (const TokenEvent &token : batch.tokens) {
        event.generation = token.generation;
        texts.push_back(token.text);
    }
    event.count = static_cast<decision::Tokens>(texts.size());
    event.offset = batch.tokens.empty() ? this->nextOffset : batch.tokens.front().offset;
    this->nextOffset = event.offset + event.count;
    this->finished = this->finished || batch.finished;
    this->pool.post(std::move(event), std::move(texts));
}

void AttemptRunner::Attempt::handleTransferEnd(const http::TransferResult &result)
{
    if (this->finished) {
        return;
    }
    if (result.end != http::TransferEnd::Complete) {
        this->reportFailure(failureOf(result.end), result.detail);
    } else if (result.status == statusOk) {
        this->reportFailure(decision::FailureKind::ConnectionLost,
                            "the stream ended without its end mark");
    } else if (result.status == statusNotFound && !this->session->generation().empty()
               && this->resumed) {
        this->reportFailure(decision::FailureKind::GenerationGone, "the upstream does not know it");
    } else if (result.status == statusUnavailable) {
        this->reportFailure(decision::FailureKind::Rejected, this->errorText);
    } else {
        this->reportFailure(decision::FailureKind::UpstreamError,
                            std::to_string(result.status) + " " + this->errorText);
    }
}

AttemptRunner::AttemptRunner(const settings::UpstreamTimeouts &timeouts, std::size_t threads,
                             timer::TimerService &timers)
    : timeouts(timeouts), timers(timers), generator(std::random_device {}())
{
    for (std::size_t index = 0; index < threads; ++index) {
        this->clients.push_back(std::make_unique<http::Client>());
    }
}

void AttemptRunner::stop()
{
    for (const auto &client : this->clients) {
        client->stop();
    }
}

http::Client &AttemptRunner::clientFor(decision::RequestId id)
{
    return *this->clients[id % this->clients.size()];
}

std::uint64_t AttemptRunner::nextRandom()
{
    const std::lock_guard lock(this->mutex);
    return this->generator();
}

void AttemptRunner::start(serving::PoolRunner &pool, const serving::SessionPtr &session,
                          const decision::StartAttempt &start, const settings::Address &address)
{
    // The lease may have expired while this process was paused.
    if (monotonicNow() >= start.leaseExpires) {
        pool.post(decision::AttemptFailed {start.request, start.attempt,
                                           decision::FailureKind::NotSent, "the lease ran out"});
        return;
    }
    if (session->isServiceCall()) {
        this->startCall(pool, session, start, address);
        return;
    }
    const decision::Request &request = session->request();
    const std::string generation = callers::makeGenerationName(
        request.workspace, this->nextRandom(), request.id, start.attempt);
    session->beginAttempt(generation);
    http::ClientRequest send;
    send.method = "POST";
    send.url = "http://" + address.text() + "/v1/completions";
    send.headers = {{"content-type", "application/json"},
                    {"x-generation-id", generation},
                    {"x-priority", name(request.priority)},
                    {"x-prefix-blocks", formatBlocks(request.prefixBlocks)}};
    send.body = session->upstreamBody();
    auto attempt = std::make_shared<Attempt>(
        Attempt {pool, session, start.attempt, this->clientFor(request.id)});
    this->startStream(attempt, std::move(send));
}

void AttemptRunner::startStream(const std::shared_ptr<Attempt> &attempt,
                                http::ClientRequest request)
{
    request.connectTimeout = this->timeouts.connect;
    request.maxResponseBytes = 0;
    http::TransferCallbacks callbacks;
    callbacks.onStatus = [attempt](int status, const http::Headers &) { attempt->status = status; };
    callbacks.onData = [attempt](std::string_view bytes) { return attempt->handleData(bytes); };
    callbacks.onDone
        = [attempt](const http::TransferResult &result) { attempt->handleTransferEnd(result); };
    http::Client &client = attempt->client;
    const http::TransferId transfer = client.start(std::move(request), std::move(callbacks));
    const decision::RequestId id = attempt->session->request().id;
    attempt->session->setTransfer(id % this->clients.size(), transfer);
    attempt->session->exchange()->onDrained([&client, transfer] { client.resume(transfer); });
}

void AttemptRunner::resume(serving::PoolRunner &pool, const serving::SessionPtr &session,
                           const decision::ResumeAttempt &resume, const settings::Address &address)
{
    auto attempt = std::make_shared<Attempt>(
        Attempt {pool, session, resume.attempt, this->clientFor(resume.request)});
    attempt->resumed = true;
    attempt->nextOffset = resume.offset;
    http::ClientRequest send;
    send.url = "http://" + address.text() + "/generations/" + resume.generation
        + "?offset=" + std::to_string(resume.offset);
    // A connection that went silent may still look open, so a resume never reuses a connection.
    send.freshConnection = true;
    if (resume.delay.count() == 0) {
        this->startStream(attempt, std::move(send));
        return;
    }
    this->timers.after(resume.delay, [this, attempt, send] { this->startStream(attempt, send); });
}

void AttemptRunner::startCall(serving::PoolRunner &pool, const serving::SessionPtr &session,
                              const decision::StartAttempt &start, const settings::Address &address)
{
    const serving::ServiceCall &call = session->call();
    session->beginAttempt("");
    http::ClientRequest send;
    send.method = call.method;
    send.url = "http://" + address.text() + call.path;
    send.headers = call.headers;
    send.body = call.body;
    send.connectTimeout = this->timeouts.connect;
    send.totalTimeout = this->timeouts.call;
    send.maxResponseBytes = maxResponseBytes;
    send.freshConnection = !session->request().idempotent;
    auto answer = std::make_shared<serving::ServiceResponse>();
    http::TransferCallbacks callbacks;
    callbacks.onStatus = [answer](int status, const http::Headers &headers) {
        answer->status = status;
        const auto type = headers.find("content-type");
        if (type != headers.end()) {
            answer->headers["content-type"] = type->second;
        }
    };
    callbacks.onData = [answer](std::string_view bytes) {
        answer->body += bytes;
        return true;
    };
    const decision::RequestId id = start.request;
    const decision::AttemptNumber number = start.attempt;
    callbacks.onDone = [&pool, session, answer, id, number](const http::TransferResult &result) {
        if (result.end != http::TransferEnd::Complete) {
            pool.post(decision::AttemptFailed {id, number, failureOf(result.end), result.detail});
            return;
        }
        session->setResponse(*answer);
        pool.post(decision::CallAnswered {id, number});
    };
    const http::TransferId transfer
        = this->clientFor(id).start(std::move(send), std::move(callbacks));
    session->setTransfer(id % this->clients.size(), transfer);
}

void AttemptRunner::cancel(const serving::SessionPtr &session,
                           const decision::CancelAttempt &cancel, const settings::Address &address)
{
    const auto [client, transfer] = session->transfer();
    if (transfer != 0) {
        this->clients[client]->cancel(transfer);
    }
    const std::string generation
        = cancel.generation.empty() ? session->generation() : cancel.generation;
    if (cancel.keep || session->isServiceCall() || generation.empty()) {
        return;
    }
    http::ClientRequest send;
    send.method = "DELETE";
    send.url = "http://" + address.text() + "/generations/" + generation;
    send.connectTimeout = this->timeouts.connect;
    send.totalTimeout = this->timeouts.connect * 2;
    this->clients[client]->start(std::move(send), {});
}

} // namespace azurespindle::upstreams
