#include "serving/session.h"

#include "callers/event_id.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace azurespindle::serving {
namespace {

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusUnprocessable = 422;
/// A gap between tokens that is longer than this counts as a preemption by the engine.
constexpr milliseconds preemptionGap {1'000};

int statusOf(decision::RefusalCode code)
{
    using Code = decision::RefusalCode;
    switch (code) {
    case Code::Overloaded:
    case Code::QueueTimeout:
    case Code::NoUpstream:
    case Code::Stopping:
        return statusUnavailable;
    case Code::CrashSuspect:
        return statusUnprocessable;
    case Code::RetriesExhausted:
    case Code::GenerationLost:
    case Code::OutcomeUnknown:
    case Code::UpstreamRefused:
    case Code::CallerGone:
        return statusBadGateway;
    }
    return statusBadGateway;
}

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

http::Problem toProblem(const decision::Refusal &refusal)
{
    return {statusOf(refusal.code), static_cast<int>(refusal.code), name(refusal.code),
            refusal.reason,         name(refusal.outcome),          refusal.retryAfter};
}

Session::Session(decision::Request request, http::ExchangePtr exchange, metrics::Registry &registry)
    : callerRequest(std::move(request)), callerExchange(std::move(exchange)), registry(registry),
      arrivalTime(monotonicNow())
{ }

void Session::setCompletion(callers::CompletionKind newKind, std::string newModel,
                            std::string upstreamBody)
{
    this->kind = newKind;
    this->model = std::move(newModel);
    this->upstreamRequestBody = std::move(upstreamBody);
}

void Session::setServiceCall(ServiceCall call)
{
    this->serviceCall = std::move(call);
}

void Session::setResponseCallback(std::function<void(const ServiceResponse &)> callback)
{
    const std::lock_guard lock(this->mutex);
    this->responseCallback = std::move(callback);
}

void Session::beginAttempt(const std::string &generation)
{
    const std::lock_guard lock(this->mutex);
    if (!std::exchange(this->attemptStarted, true)) {
        this->registry.observe(metrics::Measure::Queue, this->callerRequest.workspace,
                               this->callerRequest.trafficClass,
                               inSeconds(monotonicNow() - this->arrivalTime));
    }
    this->generationName = generation;
    this->collectedText.clear();
}

void Session::setTransfer(std::size_t client, http::TransferId transfer)
{
    const std::lock_guard lock(this->mutex);
    this->transferClient = client;
    this->transferId = transfer;
}

std::pair<std::size_t, http::TransferId> Session::transfer() const
{
    const std::lock_guard lock(this->mutex);
    return {this->transferClient, this->transferId};
}

std::string Session::generation() const
{
    const std::lock_guard lock(this->mutex);
    return this->generationName;
}

void Session::setResponse(ServiceResponse newResponse)
{
    const std::lock_guard lock(this->mutex);
    this->serviceResponse = std::move(newResponse);
}

void Session::beginStream()
{
    if (std::exchange(this->streamBegun, true)) {
        return;
    }
    this->callerExchange->beginStream(
        statusOk, {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
}

std::string Session::tokenEvent(const decision::Deliver &deliver, decision::Tokens received,
                                const std::string &text) const
{
    const std::string id = callers::formatEventId(deliver.upstream, deliver.generation, received);
    std::string event = "id: " + id + "\ndata: {\"id\":\"cmpl-"
        + std::to_string(this->callerRequest.id) + "\",\"object\":\"";
    if (this->kind == callers::CompletionKind::Chat) {
        event += "chat.completion.chunk\",\"model\":" + quoted(this->model)
            + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":" + quoted(text) + "}";
    } else {
        event += "text_completion\",\"model\":" + quoted(this->model)
            + ",\"choices\":[{\"index\":0,\"text\":" + quoted(text);
    }
    return event + ",\"finish_reason\":null}]}\n\n";
}

void Session::observeTokens(decision::Tokens count)
{
    const Instant now = monotonicNow();
    const std::string &workspace = this->callerRequest.workspace;
    const std::string &trafficClass = this->callerRequest.trafficClass;
    if (this->lastToken == Instant()) {
        this->registry.observe(metrics::Measure::FirstToken, workspace, trafficClass,
                               inSeconds(now - this->arrivalTime));
    } else {
        const microseconds gap = now - this->lastToken;
        this->registry.observe(metrics::Measure::Gap, workspace, trafficClass,
                               inSeconds(gap / count));
        if (gap > metrics::stallGap) {
            this->totalStall += gap;
        }
        if (gap > preemptionGap) {
            this->registry.observe(metrics::Measure::Preemptions, workspace, trafficClass, 1.0);
        }
    }
    this->lastToken = now;
}

void Session::observeCompletion(decision::Tokens tokens)
{
    this->registry.observe(metrics::Measure::OutputTokens, this->callerRequest.workspace,
                           this->callerRequest.trafficClass, tokens);
    this->registry.observe(metrics::Measure::Stall, this->callerRequest.workspace,
                           this->callerRequest.trafficClass, inSeconds(this->totalStall));
}

void Session::deliver(const decision::Deliver &deliver, const std::vector<std::string> &texts)
{
    const std::lock_guard lock(this->mutex);
    if (this->ended) {
        return;
    }
    if (deliver.count > 0) {
        this->observeTokens(deliver.count);
    }
    if (deliver.last) {
        // Before the end is sent: a caller that has it may look at the metrics at once.
        this->ended = true;
        this->observeCompletion(deliver.offset + deliver.count);
    }
    if (this->callerRequest.streamed) {
        this->deliverStreamed(deliver, texts);
    } else {
        this->collectTokens(deliver, texts);
    }
}

void Session::deliverStreamed(const decision::Deliver &deliver,
                              const std::vector<std::string> &texts)
{
    this->beginStream();
    std::string events;
    for (decision::Tokens index = 0; index < deliver.count; ++index) {
        events += this->tokenEvent(deliver, deliver.offset + index + 1,
                                   texts.at(deliver.skip + index));
    }
    if (deliver.last) {
        events += "data: [DONE]\n\n";
    }
    this->callerExchange->send(events);
    if (deliver.last) {
        this->callerExchange->finish();
    }
}

void Session::collectTokens(const decision::Deliver &deliver, const std::vector<std::string> &texts)
{
    for (decision::Tokens index = 0; index < deliver.count; ++index) {
        if (this->collectedText.size() < maxCollectedBytes) {
            this->collectedText += texts.at(deliver.skip + index);
        }
    }
    if (deliver.last) {
        this->callerExchange->respond(statusOk, {{"content-type", "application/json"}},
                                      this->responseJson(deliver.offset + deliver.count));
    }
}

std::string Session::responseJson(decision::Tokens tokens) const
{
    const bool chat = this->kind == callers::CompletionKind::Chat;
    nlohmann::ordered_json choice;
    choice["index"] = 0;
    if (chat) {
        choice["message"] = {{"role", "assistant"}, {"content", this->collectedText}};
    } else {
        choice["text"] = this->collectedText;
    }
    choice["finish_reason"] = "stop";
    nlohmann::ordered_json json;
    json["id"] = "cmpl-" + std::to_string(this->callerRequest.id);
    json["object"] = chat ? "chat.completion" : "text_completion";
    json["model"] = this->model;
    json["choices"] = nlohmann::json::array({choice});
    json["usage"]
        = {{"prompt_tokens", this->callerRequest.promptTokens}, {"completion_tokens", tokens}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Session::deliverResponse()
{
    ServiceResponse response;
    std::function<void(const ServiceResponse &)> callback;
    {
        const std::lock_guard lock(this->mutex);
        this->ended = true;
        response = this->serviceResponse;
        callback = this->responseCallback;
    }
    if (callback) {
        callback(response);
    }
    this->callerExchange->respond(response.status, response.headers, response.body);
}

void Session::refuse(const decision::Refusal &refusal)
{
    const http::Problem problem = toProblem(refusal);
    std::function<void(const ServiceResponse &)> callback;
    bool streaming = false;
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->ended, true)) {
            return;
        }
        callback = this->responseCallback;
        streaming = this->streamBegun;
    }
    if (refusal.code != decision::RefusalCode::CallerGone) {
        this->registry.count(metrics::Counter::Refusals);
    }
    if (callback) {
        callback({problem.status, problem.headers(), problem.body()});
    }
    if (!streaming) {
        this->callerExchange->respond(problem.status, problem.headers(), problem.body());
        return;
    }
    std::string text = problem.body();
    text.pop_back();
    this->callerExchange->send("event: error\ndata: " + text + "\n\n");
    this->callerExchange->finish();
}

void SessionTable::add(const SessionPtr &session)
{
    const decision::RequestId id = session->request().id;
    Shard &shard = this->shards[id % shardCount];
    const std::lock_guard lock(shard.mutex);
    shard.sessions[id] = session;
}

void SessionTable::remove(decision::RequestId id)
{
    Shard &shard = this->shards[id % shardCount];
    const std::lock_guard lock(shard.mutex);
    shard.sessions.erase(id);
}

SessionPtr SessionTable::find(decision::RequestId id) const
{
    const Shard &shard = this->shards[id % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.sessions.find(id);
    return found == shard.sessions.end() ? nullptr : found->second;
}

} // namespace azurespindle::serving
