#include "standins/platform_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include <algorithm>

namespace azurespindle::standins {
namespace {

const http::Headers jsonHeaders {{"content-type", "application/json"}};

} // namespace

PlatformServer::PlatformServer(settings::Address address)
    : server(std::move(address), settings::CallerLimits {}, 1,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->handle(request, exchange);
             })
{ }

PlatformServer::~PlatformServer()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->server.stop();
}

std::error_code PlatformServer::start()
{
    this->thread = std::thread([this] { this->run(); });
    return this->server.start();
}

void PlatformServer::publish(const std::string &path, const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    Document &document = this->documents[path];
    const auto json = nlohmann::json::parse(text, nullptr, false);
    document.staleText = document.text;
    document.text = text;
    document.revision
        = json.is_object() ? json.value("revision", document.revision + 1) : document.revision + 1;
    this->answerWatches();
}

void PlatformServer::handle(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    if (request.method == "PUT") {
        this->publish(request.path, request.body);
        exchange->respond(204, {}, "");
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (request.path == "/counts") {
        exchange->respond(200, jsonHeaders, R"({"reads":)" + std::to_string(this->reads) + "}");
    } else if (request.path == "/faults") {
        this->setFault(request.queryField("kind"));
        exchange->respond(200, {}, "done\n");
    } else if (this->down) {
        exchange->abort();
    } else {
        this->read(request, exchange);
    }
}

void PlatformServer::setFault(const std::string &kind)
{
    this->down = kind == "down" || (this->down && kind != "up");
    this->stale = kind == "stale" || (this->stale && kind != "fresh");
    if (this->down) {
        for (const Watch &watch : this->watches) {
            watch.exchange->abort();
        }
        this->watches.clear();
    }
}

void PlatformServer::read(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    this->reads += 1;
    const auto found = this->documents.find(request.path);
    if (found == this->documents.end()) {
        exchange->respond(404, {}, "nothing is published there\n");
        return;
    }
    const Document &document = found->second;
    const std::uint64_t after = std::strtoull(request.queryField("after").c_str(), nullptr, 10);
    const auto waitMs = std::strtoul(request.queryField("waitMs").c_str(), nullptr, 10);
    if (this->stale && !document.staleText.empty()) {
        exchange->respond(200, jsonHeaders, document.staleText);
        return;
    }
    if (document.revision > after || waitMs == 0) {
        exchange->respond(200, jsonHeaders, document.text);
        return;
    }
    this->watches.push_back({request.path, after, monotonicNow() + milliseconds(waitMs), exchange});
}

void PlatformServer::answerWatches()
{
    const Instant now = monotonicNow();
    const auto answered = [&](const Watch &watch) {
        const Document &document = this->documents[watch.path];
        if (document.revision > watch.after) {
            watch.exchange->respond(200, jsonHeaders, document.text);
            return true;
        }
        if (now >= watch.until) {
            watch.exchange->respond(204, {}, "");
            return true;
        }
        return false;
    };
    this->watches.erase(std::remove_if(this->watches.begin(), this->watches.end(), answered),
                        this->watches.end());
}

void PlatformServer::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->answerWatches();
        this->wake.wait_for(lock, milliseconds(50));
    }
}

} // namespace azurespindle::standins
