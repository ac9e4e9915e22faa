#include "callers/completion_api.h"

#include "callers/event_id.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace azurespindle::callers {
namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

} // namespace

http::Problem toProblem(const json::Faults &faults)
{
    return notRunProblem(statusBadRequest, "malformed-request",
                         "the request does not pass its check:" + json::listFaults(faults));
}

http::Problem notRunProblem(int status, const std::string &title, const std::string &detail)
{
    return {status, 0, title, detail, "not-run", milliseconds(0)};
}

void respond(const http::ExchangePtr &exchange, const http::Problem &problem)
{
    exchange->respond(problem.status, problem.headers(), problem.body());
}

CompletionApi::CompletionApi(serving::PoolManager &poolManager) : poolManager(poolManager)
{ }

void CompletionApi::handleCompletion(CompletionKind kind, const http::ServerRequest &request,
                                     const http::ExchangePtr &exchange)
{
    if (request.header("last-event-id").empty()) {
        this->startGeneration(kind, request, exchange);
    } else {
        this->resumeGeneration(kind, request, exchange);
    }
}

void CompletionApi::startGeneration(CompletionKind kind, const http::ServerRequest &request,
                                    const http::ExchangePtr &exchange)
{
    json::Faults faults;
    CompletionRequest completion = parseCompletion(kind, request, faults);
    if (!faults.empty()) {
        respond(exchange, toProblem(faults));
        return;
    }
    completion.request.id = this->poolManager.nextRequestId();
    auto session = std::make_shared<serving::Session>(completion.request, exchange,
                                                      this->poolManager.metricsRegistry());
    session->setCompletion(kind, completion.model, completion.upstreamBody);
    if (!this->poolManager.submit(completion.model, session)) {
        respond(exchange,
                notRunProblem(statusNotFound, "unknown-model",
                              "no model \"" + completion.model
                                  + "\" is configured; GET /v1/models lists them"));
    }
}

void CompletionApi::resumeGeneration(CompletionKind kind, const http::ServerRequest &request,
                                     const http::ExchangePtr &exchange)
{
    json::Faults faults;
    decision::Request resumed;
    readCallerHeaders(request, resumed, faults);
    const auto point = parseEventId(request.header("last-event-id"));
    if (!point) {
        faults.push_back({"$header.last-event-id", request.header("last-event-id"),
                          "the id of an event that this system sent"});
    }
    if (!faults.empty()) {
        respond(exchange, toProblem(faults));
        return;
    }
    const auto directory = this->poolManager.directory();
    const auto upstream = directory->upstreams.find(point->upstream);
    const bool known = upstream != directory->upstreams.end();
    if (!known || !belongsTo(point->generation, resumed.workspace)) {
        http::Problem problem
            = notRunProblem(statusNotFound, "generation-lost",
                            "no generation of this workspace is known under this Last-Event-ID");
        problem.outcome = "ran";
        respond(exchange, problem);
        return;
    }
    resumed.id = this->poolManager.nextRequestId();
    resumed.maxTokens = maxOutputTokens;
    resumed.resume = point;
    auto session = std::make_shared<serving::Session>(resumed, exchange,
                                                      this->poolManager.metricsRegistry());
    session->setCompletion(kind, upstream->second.pool, "");
    this->poolManager.submitResumption(upstream->second, session);
}

void CompletionApi::listModels(const http::ExchangePtr &exchange) const
{
    nlohmann::ordered_json json;
    json["object"] = "list";
    json["data"] = nlohmann::json::array();
    for (const configuration::Model &model : this->poolManager.directory()->configuration.models) {
        json["data"].push_back({{"id", model.name}, {"object", "model"}});
    }
    exchange->respond(statusOk, {{"content-type", "application/json"}}, json.dump());
}

} // namespace azurespindle::callers
