#include "standins/service_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include <chrono>
#include <thread>

namespace azurespindle::standins {
namespace {

const http::Headers jsonHeaders {{"content-type", "application/json"}};
constexpr std::size_t maxRecorded = 100'000;
constexpr std::size_t longAnswerBytes = 17'000'000;

} // namespace

ServiceServer::ServiceServer(settings::Address address)
    : server(std::move(address), settings::CallerLimits {}, 1,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->handle(request, exchange);
             })
{ }

ServiceServer::~ServiceServer()
{
    this->server.stop();
}

std::size_t ServiceServer::runs(const std::string &body) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->counts.find(body);
    return found == this->counts.end() ? 0 : found->second;
}

void ServiceServer::handle(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    std::size_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (request.path == "/runs") {
            exchange->respond(200, jsonHeaders, nlohmann::json(this->counts).dump());
            return;
        }
        if (this->counts.size() < maxRecorded) {
            number = this->counts[request.body] += 1;
        }
    }
    const std::string fault = request.header("x-standin");
    if (fault == "lose") {
        exchange->abort();
        return;
    }
    if (fault == "long") {
        exchange->respond(200, jsonHeaders, std::string(longAnswerBytes, 'x'));
        return;
    }
    if (fault == "slow") {
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    exchange->respond(200, jsonHeaders, R"({"filed":true,"run":)" + std::to_string(number) + "}");
}

} // namespace azurespindle::standins
