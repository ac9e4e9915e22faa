#include "callers/service_api.h"

#include "callers/completion_api.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <xxhash.h>

namespace azurespindle::callers {
namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusUnprocessable = 422;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr milliseconds inProgressRetry {1'000};
constexpr std::size_t maxForwardedBytes = 16'777'216;
const std::string prefix = "/services/";
const std::string forwardedHeader = "x-azurespindle-forwarded";
/// Request headers that are not forwarded to the service.
const std::vector<std::string> unforwardedHeaders {
    "host",       "connection",      "content-length", "transfer-encoding",
    "expect",     "idempotency-key", "x-workspace",    "x-class",
    "x-priority", forwardedHeader,   "keep-alive",     "te",
    "upgrade"};

bool isIdempotent(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE"
        || method == "OPTIONS";
}

http::Headers forwardableHeaders(const http::Headers &headers)
{
    http::Headers forwarded = headers;
    for (const std::string &name : unforwardedHeaders) {
        forwarded.erase(name);
    }
    return forwarded;
}

std::string queryText(const http::ServerRequest &request)
{
    std::string text;
    for (const auto &[name, value] : request.query) {
        text.append(text.empty() ? "?" : "&").append(name).append("=").append(value);
    }
    return text;
}

serving::ServiceCall parseCall(const http::ServerRequest &request)
{
    serving::ServiceCall call;
    const std::string rest = request.path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    call.service = rest.substr(0, slash);
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    call.path += queryText(request);
    call.method = request.method;
    call.headers = forwardableHeaders(request.headers);
    call.body = request.body;
    return call;
}

std::uint64_t fingerprintOf(const std::string &workspace, const serving::ServiceCall &call)
{
    const std::string text = workspace + "\n" + call.service + "\n" + call.method + "\n" + call.path
        + "\n" + call.body;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

ServiceApi::ServiceApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
                       http::Client &client, const settings::UpstreamTimeouts &timeouts,
                       std::uint64_t incarnation)
    : poolManager(poolManager), coordinator(coordinator), client(client), timeouts(timeouts),
      selfName(coordinator.self().name), keys(this->selfName, incarnation, monotonicNow()),
      generator(std::random_device {}())
{ }

void ServiceApi::tick()
{
    const std::lock_guard lock(this->mutex);
    this->keys.evictExpired(monotonicNow());
}

void ServiceApi::issueKey(const http::ExchangePtr &exchange)
{
    std::string key;
    {
        const std::lock_guard lock(this->mutex);
        key = this->keys.issue(this->generator(), monotonicNow());
    }
    nlohmann::ordered_json json;
    json["key"] = key;
    json["validSeconds"] = decision::IdempotencyStore::validity.count();
    exchange->respond(statusCreated, {{"content-type", "application/json"}}, json.dump());
}

void ServiceApi::handleCall(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const serving::ServiceCall call = parseCall(request);
    const auto service = this->poolManager.directory()->service(call.service);
    if (!service) {
        respond(exchange,
                notRunProblem(statusNotFound, "unknown-service",
                              "no service \"" + call.service + "\" is configured"));
        return;
    }
    json::Faults faults;
    decision::Request dispatchRequest;
    readCallerHeaders(request, dispatchRequest, faults);
    if (!faults.empty()) {
        respond(exchange, toProblem(faults));
        return;
    }
    dispatchRequest.id = this->poolManager.nextRequestId();
    dispatchRequest.streamed = false;
    dispatchRequest.idempotent = service->repeatable || isIdempotent(call.method);
    dispatchRequest.fingerprint = fingerprintOf(dispatchRequest.workspace, call);
    const std::string key = request.header("idempotency-key");
    if (key.empty()) {
        this->submit(call, dispatchRequest, exchange, key);
    } else {
        this->callWithKey(key, request, call, dispatchRequest, exchange);
    }
}

void ServiceApi::submit(const serving::ServiceCall &call, const decision::Request &dispatchRequest,
                        const http::ExchangePtr &exchange, const std::string &key)
{
    auto session = std::make_shared<serving::Session>(dispatchRequest, exchange,
                                                      this->poolManager.metricsRegistry());
    session->setServiceCall(call);
    if (!key.empty()) {
        session->setResponseCallback([this, key](const serving::ServiceResponse &response) {
            this->recordResponse(key, response);
        });
    }
    this->poolManager.submit(serving::servicePoolName(call.service), session);
}

void ServiceApi::callWithKey(const std::string &key, const http::ServerRequest &request,
                             const serving::ServiceCall &call,
                             const decision::Request &dispatchRequest,
                             const http::ExchangePtr &exchange)
{
    const auto parts = decision::parseIdempotencyKey(key);
    if (!parts) {
        respond(exchange,
                notRunProblem(statusBadRequest, "foreign-key",
                              "Idempotency-Key was not issued by this system; POST "
                              "/v1/idempotency-keys issues one"));
        return;
    }
    if (parts->issuer != this->selfName) {
        const auto member = this->coordinator.find(parts->issuer);
        const bool forwarded = !request.header(forwardedHeader).empty();
        if (!member || forwarded) {
            this->refuseKey(key, decision::IdempotencyDecision::IssuedElsewhere, exchange);
            return;
        }
        this->forward(*member, request, exchange);
        return;
    }
    decision::IdempotencyDecision keyDecision = decision::IdempotencyDecision::IssuedElsewhere;
    {
        const std::lock_guard lock(this->mutex);
        keyDecision = this->keys.begin(key, dispatchRequest.fingerprint, monotonicNow());
    }
    if (keyDecision == decision::IdempotencyDecision::Run) {
        this->submit(call, dispatchRequest, exchange, key);
    } else if (keyDecision == decision::IdempotencyDecision::ResponseAvailable) {
        this->replayResponse(key, exchange);
    } else {
        this->refuseKey(key, keyDecision, exchange);
    }
}

void ServiceApi::recordResponse(const std::string &key, const serving::ServiceResponse &response)
{
    const auto type = response.headers.find("content-type");
    const std::string contentType = type == response.headers.end() ? "" : type->second;
    const auto problem = contentType == "application/problem+json"
        ? nlohmann::json::parse(response.body, nullptr, false)
        : nlohmann::json();
    const std::string outcome = problem.is_object() ? problem.value("outcome", "") : "";
    const std::lock_guard lock(this->mutex);
    if (outcome == "not-run") {
        this->keys.release(key);
    } else if (outcome.empty()) {
        this->keys.storeResponse(key, {response.status, contentType, response.body});
    } else {
        this->keys.closeWithoutResponse(key);
    }
}

void ServiceApi::replayResponse(const std::string &key, const http::ExchangePtr &exchange)
{
    decision::StoredResponse stored;
    {
        const std::lock_guard lock(this->mutex);
        const decision::StoredResponse *found = this->keys.find(key);
        if (found != nullptr) {
            stored = *found;
        }
    }
    http::Headers headers {{"idempotency-replayed", "true"}};
    if (!stored.contentType.empty()) {
        headers["content-type"] = stored.contentType;
    }
    exchange->respond(stored.status == 0 ? statusOk : stored.status, headers, stored.body);
}

void ServiceApi::refuseKey(const std::string &key, decision::IdempotencyDecision keyDecision,
                           const http::ExchangePtr &exchange)
{
    using Decision = decision::IdempotencyDecision;
    this->poolManager.eventJournal().record(
        {journal::EventId::KeyRefused, {{"key", key}, {"verdict", name(keyDecision)}}});
    http::Problem problem {
        statusConflict, 0, "key-" + std::string(name(keyDecision)), "", "unknown", milliseconds(0)};
    if (keyDecision == Decision::InProgress) {
        problem.detail = "the call under this key runs now; ask again for its answer";
        problem.retryAfter = inProgressRetry;
    } else if (keyDecision == Decision::ResponseUnavailable) {
        problem.detail = "the call ran or may have run; its answer is not kept";
    } else if (keyDecision == Decision::Mismatch) {
        problem = notRunProblem(statusUnprocessable, problem.title,
                                "the key was used for another call; every call needs its own key");
    } else if (keyDecision == Decision::Full) {
        problem = notRunProblem(statusUnavailable, problem.title, "too many keys are in use");
        problem.retryAfter = inProgressRetry;
    } else {
        problem.status = statusGone;
        problem.detail = "the member that issued the key is gone or the key is too old: whether "
                         "the call ran is not known";
    }
    respond(exchange, problem);
}

void ServiceApi::forward(const members::MemberRecord &member, const http::ServerRequest &request,
                         const http::ExchangePtr &exchange)
{
    this->poolManager.eventJournal().record(
        {journal::EventId::CallForwarded, {{"member", member.name}, {"path", request.path}}});
    http::ClientRequest forwardRequest;
    forwardRequest.method = request.method;
    forwardRequest.url = "http://" + member.callerAddress + request.path + queryText(request);
    forwardRequest.headers = request.headers;
    for (const char *header : {"host", "connection", "content-length", "transfer-encoding"}) {
        forwardRequest.headers.erase(header);
    }
    forwardRequest.headers[forwardedHeader] = this->selfName;
    forwardRequest.body = request.body;
    forwardRequest.connectTimeout = this->timeouts.connect;
    forwardRequest.totalTimeout = this->timeouts.call;
    forwardRequest.freshConnection = true;
    forwardRequest.maxResponseBytes = maxForwardedBytes;
    auto response = std::make_shared<serving::ServiceResponse>();
    http::TransferCallbacks callbacks;
    callbacks.onStatus = [response](int status, const http::Headers &headers) {
        response->status = status;
        for (const char *headerName : {"content-type", "idempotency-replayed", "retry-after"}) {
            const auto found = headers.find(headerName);
            if (found != headers.end()) {
                response->headers[headerName] = found->second;
            }
        }
    };
    callbacks.onData = [response](std::string_view bytes) {
        response->body += bytes;
        return true;
    };
    callbacks.onDone = [response, exchange, member](const http::TransferResult &result) {
        if (result.end == http::TransferEnd::Complete) {
            exchange->respond(response->status, response->headers, response->body);
            return;
        }
        // The outcome is unknown: an earlier attempt may have reached the member through another
        // entry process.
        respond(
            exchange,
            {statusBadGateway, 0, "key-home-unreachable",
             "member " + member.name + " issued the key and cannot be reached: " + result.detail,
             "unknown", inProgressRetry});
    };
    this->client.start(std::move(forwardRequest), std::move(callbacks));
}

} // namespace azurespindle::callers
