#include "members/document_watch.h"

#include <utility>

namespace azurespindle::members {
namespace {

constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
/// Added to the poll timeout to get the total timeout of a call.
constexpr milliseconds responseMargin {5'000};

} // namespace

struct DocumentWatch::State
{
    State(std::string url, http::Client &client, timer::TimerService &timers,
          metrics::Registry &registry, WatchCallbacks callbacks)
        : url(std::move(url)), client(client), timers(timers), registry(registry),
          callbacks(std::move(callbacks))
    { }

    const std::string url; ///< Address of the document; if empty, there is nothing to watch.
    http::Client &client;
    timer::TimerService &timers;
    metrics::Registry &registry;
    const WatchCallbacks callbacks;
    std::mutex mutex; ///< Guards the fields below.
    bool active = false;
    bool calling = false;            ///< A call is in flight or scheduled.
    bool unavailable = false;        ///< The last call failed.
    std::uint64_t knownRevision = 0; ///< Revision after which the next call asks.
    std::string lastBody; ///< Body of the last answer, by which repeated ones are recognized.
};

DocumentWatch::DocumentWatch(std::string url, http::Client &client, timer::TimerService &timers,
                             metrics::Registry &registry, WatchCallbacks callbacks)
    : state(std::make_shared<State>(std::move(url), client, timers, registry, std::move(callbacks)))
{ }

void DocumentWatch::setActive(bool active)
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->active = active;
        if (!active || this->state->calling || this->state->url.empty()) {
            return;
        }
        this->state->calling = true;
    }
    call(this->state);
}

void DocumentWatch::setKnownRevision(std::uint64_t revision)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->knownRevision = revision;
}

void DocumentWatch::call(const std::shared_ptr<State> &state)
{
    http::ClientRequest request;
    {
        const std::lock_guard lock(state->mutex);
        request.url = state->url + "?after=" + std::to_string(state->knownRevision)
            + "&waitMs=" + std::to_string(pollTimeout.count());
    }
    request.totalTimeout = pollTimeout + responseMargin;
    // A reused connection may be dead without having been closed, and a long poll would not notice
    // until its timeout.
    request.freshConnection = true;
    state->registry.count(metrics::Counter::ConfigurationReads);
    auto body = std::make_shared<std::string>();
    http::TransferCallbacks callbacks;
    callbacks.onData = [body](std::string_view bytes) {
        *body += bytes;
        return true;
    };
    callbacks.onDone
        = [state, body](const http::TransferResult &result) { finish(state, result, *body); };
    state->client.start(std::move(request), std::move(callbacks));
}

void DocumentWatch::finish(const std::shared_ptr<State> &state, const http::TransferResult &result,
                           const std::string &body)
{
    const bool answered = result.end == http::TransferEnd::Complete
        && (result.status == statusOk || result.status == statusNoContent);
    bool changed = false;
    bool repeated = false;
    {
        const std::lock_guard lock(state->mutex);
        repeated = !body.empty() && body == state->lastBody;
        state->lastBody = body;
        changed = std::exchange(state->unavailable, !answered) == answered;
    }
    if (changed) {
        (answered ? state->callbacks.onAvailable : state->callbacks.onUnavailable)();
    }
    if (answered && result.status == statusOk) {
        state->callbacks.onDocument(body);
    }
    const bool slow = !answered || repeated;
    state->timers.after(slow ? retryInterval : minInterval, [state] {
        {
            const std::lock_guard lock(state->mutex);
            state->calling = state->active;
            if (!state->active) {
                return;
            }
        }
        call(state);
    });
}

} // namespace azurespindle::members
