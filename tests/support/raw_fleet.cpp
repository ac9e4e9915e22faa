#include "support/raw_fleet.h"

#include "platform/adapter.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace azurespindle::tests {
namespace {

constexpr std::uint16_t processPortOffset = 10;
constexpr std::uint16_t metricsPortOffset = 13;
constexpr std::size_t serversPerService = 2;
constexpr milliseconds readyTimeout {10'000};
constexpr milliseconds callTimeout {10'000};
constexpr milliseconds pollInterval {5};

std::atomic<int> lastCallerNumber {0};

settings::Address address(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

settings::RoutingSettings settingsFor(std::uint16_t firstPort)
{
    const int processPort = firstPort + processPortOffset;
    settings::RoutingSettings settings;
    settings.name = "entry-0";
    settings.zone = "north";
    settings.callerAddress = address(processPort);
    settings.readyAddress = address(processPort + 1);
    settings.memberAddress = address(processPort + 2);
    settings.metricsAddress = address(firstPort + metricsPortOffset);
    settings.publisherAddress = address(firstPort);
    settings.seeds = {address(processPort + 2)};
    settings.bounds.retryBurst = 1e6; // These tests are not about the retry budget.
    return settings;
}

} // namespace

RawFleet::RawFleet(std::uint16_t firstPort, const Script &script)
    : firstPort(firstPort), store(firstPort)
{
    this->store.put("op/config", platformConfiguration(1));
    for (std::size_t index = 0; index < serversPerService; ++index) {
        for (const std::string service : {"models", "desk"}) {
            const std::size_t number = this->servers.size();
            this->servers.push_back(std::make_unique<RawServer>(
                [script, number](const std::string &request) { return script(number, request); }));
            const nlohmann::json record {
                {"service", service}, {"address", this->servers.back()->address()},
                {"zone", "north"},    {"slots", 100},
                {"state", "ready"},   {"cold_left_ms", 0},
                {"born", 100},        {"sequence", 1}};
            this->store.put("servers/" + service + std::to_string(index), record.dump());
        }
    }
    this->process = std::make_unique<serving::RoutingProcess>(settingsFor(firstPort),
                                                              platform::makePlatformAdapter);
    if (this->process->start()) {
        return;
    }
    const Instant until = monotonicNow() + readyTimeout;
    while (!this->becameReady && monotonicNow() < until) {
        std::this_thread::sleep_for(pollInterval);
        this->becameReady = this->process->ready();
    }
}

RawFleet::~RawFleet()
{
    this->process.reset();
    this->client.stop();
}

std::uint16_t RawFleet::metricsPort() const
{
    return this->firstPort + metricsPortOffset;
}

std::size_t RawFleet::requests() const
{
    std::size_t count = 0;
    for (const auto &server : this->servers) {
        count += server->requests();
    }
    return count;
}

std::future<CallerResponse> RawFleet::send(const std::string &path, const std::string &id)
{
    auto response = std::make_shared<CallerResponse>();
    auto done = std::make_shared<std::promise<CallerResponse>>();
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + address(this->firstPort + processPortOffset).text() + path;
    request.headers = {
        {"Host", "shop.example"},
        {"Azurespindle-Attempt-Id", id.empty() ? "f" + std::to_string(lastCallerNumber += 1) : id},
        {"Azurespindle-Token-Usage", "300,200"},
        {"Azurespindle-Key", "k1"}};
    request.body = "x";
    request.totalTimeout = callTimeout;
    http::TransferCallbacks callbacks;
    callbacks.onStatus
        = [response](int, const http::Headers &headers) { response->headers = headers; };
    callbacks.onData = [response](std::string_view bytes) {
        response->body += bytes;
        return true;
    };
    const Instant begin = monotonicNow();
    callbacks.onDone = [response, done, begin](const http::TransferResult &result) {
        response->end = result.end;
        response->status = result.status;
        response->took = monotonicNow() - begin;
        done->set_value(*response);
    };
    this->client.start(std::move(request), std::move(callbacks));
    return done->get_future();
}

} // namespace azurespindle::tests
