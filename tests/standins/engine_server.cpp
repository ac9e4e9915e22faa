#include "standins/engine_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include <algorithm>
#include <random>

namespace azurespindle::standins {
namespace {

constexpr Tokens defaultOutput = 32;
constexpr std::size_t charactersPerToken = 4;
constexpr seconds unreadLimit {10};
constexpr std::size_t garbagePieceBytes = 65'536;
constexpr std::size_t maxGarbageBytes = 67'108'864; ///< To spare the test's memory.
constexpr const char *firstVersion = "v1";
const http::Headers sseHeaders {{"content-type", "text/event-stream"}};
const http::Headers jsonHeaders {{"content-type", "application/json"}};

/// Reads "[tokens=N]" or "[poison]" out of a prompt; this is how tests choose a length.
Tokens outputTokens(const std::string &prompt, Tokens maxTokens)
{
    const std::string mark = "[tokens=";
    const std::size_t at = prompt.find(mark);
    Tokens tokens = defaultOutput;
    if (at != std::string::npos) {
        tokens = static_cast<Tokens>(std::strtoul(prompt.c_str() + at + mark.size(), nullptr, 10));
    }
    return std::max<Tokens>(1, std::min(tokens, maxTokens));
}

std::string promptOf(const nlohmann::json &body)
{
    if (body.contains("prompt")) {
        return body.value("prompt", "");
    }
    std::string text;
    for (const auto &message : body.value("messages", nlohmann::json::array())) {
        text += message.value("content", "") + "\n";
    }
    return text;
}

/// A stamped token carries the time it left, in microseconds, so that delays can be measured.
std::string tokenEvent(const std::string &generation, Tokens offset, bool finished, bool stamped)
{
    const std::string stamp
        = stamped ? "@" + std::to_string(monotonicNow().time_since_epoch().count()) : "";
    std::string event = "id: " + generation + ":" + std::to_string(offset) + "\ndata: {\"text\":\"t"
        + std::to_string(offset) + stamp + " \"}\n\n";
    if (finished) {
        event += "data: [DONE]\n\n";
    }
    return event;
}

std::vector<std::uint64_t> blocksOf(const std::string &header)
{
    std::vector<std::uint64_t> blocks;
    std::size_t at = 0;
    while (at < header.size()) {
        std::size_t used = 0;
        blocks.push_back(std::stoull(header.substr(at), &used, 16));
        at += used + 1;
    }
    return blocks;
}

decision::Priority priorityOf(const std::string &text)
{
    if (text == "interactive") {
        return decision::Priority::Interactive;
    }
    return text == "batch" ? decision::Priority::Batch : decision::Priority::Standard;
}

} // namespace

EngineServer::EngineServer(settings::Address address, EngineOptions options, EngineFaults faults,
                           std::string name)
    : faults(faults), name(std::move(name)), model(options),
      server(std::move(address), settings::CallerLimits {}, 2,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->handle(request, exchange);
             })
{
    this->image.version = firstVersion;
}

EngineServer::~EngineServer()
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

std::error_code EngineServer::start()
{
    this->thread = std::thread([this] { this->run(); });
    return this->server.start();
}

std::string EngineServer::countsJson() const
{
    const std::lock_guard lock(this->mutex);
    nlohmann::ordered_json json;
    json["name"] = this->name;
    json["collapses"] = this->model.collapses();
    json["deaths"] = this->model.deaths();
    json["admitted"] = this->admitted;
    json["preemptions"] = this->model.preemptions();
    json["version"] = this->image.version;
    json["adapters"] = this->image.adapters;
    json["ordersTaken"] = this->ordersTaken;
    json["cutByLoads"] = this->cutByLoads;
    json["garbageReaders"] = this->garbageReaders.size();
    return json.dump();
}

void EngineServer::handle(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const bool generationPath = request.path.rfind("/generations/", 0) == 0;
    if (request.path == "/counts") {
        exchange->respond(200, jsonHeaders, this->countsJson());
        return;
    }
    if (request.path == "/faults") {
        this->takeFault(request, exchange);
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (!this->model.up(monotonicNow())) {
            exchange->abort();
            return;
        }
    }
    if (request.method == "POST" && request.path == "/v1/completions") {
        this->startGeneration(request, exchange);
    } else if (request.method == "GET" && generationPath) {
        this->resumeGeneration(request, exchange);
    } else if (request.method == "DELETE" && generationPath) {
        const std::lock_guard lock(this->mutex);
        const std::string id = request.path.substr(std::string("/generations/").size());
        this->model.cancel(id);
        this->streams.erase(id);
        exchange->respond(204, {}, "");
    } else if (request.path == "/load") {
        this->answerLoad(exchange);
    } else if (request.method == "POST" && request.path == "/orders") {
        this->takeOrder(request, exchange);
    } else {
        exchange->respond(404, {}, "no such path\n");
    }
}

void EngineServer::startGeneration(const http::ServerRequest &request,
                                   const http::ExchangePtr &exchange)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        exchange->respond(400, {}, "the body is not JSON\n");
        return;
    }
    const std::lock_guard lock(this->mutex);
    const std::string id = request.header("x-generation-id");
    if (this->streams.count(id) > 0) {
        this->attach(this->streams[id], id, 0, exchange);
        return;
    }
    if (this->loading) {
        exchange->respond(503, {}, "loading\n");
        return;
    }
    const std::string prompt = promptOf(body);
    GenerationOrder order;
    order.id = id;
    order.promptTokens = static_cast<Tokens>(prompt.size() / charactersPerToken + 1);
    order.outputTokens = outputTokens(prompt, body.value("max_tokens", 65'536U));
    order.prefixBlocks = blocksOf(request.header("x-prefix-blocks"));
    order.priority = priorityOf(request.header("x-priority"));
    order.poison = prompt.find("[poison]") != std::string::npos;
    this->admitted += 1;
    if (!this->model.admit(order, monotonicNow())) {
        this->dropStreams();
        exchange->abort();
        return;
    }
    this->streams[id].stamped = prompt.find("[stamp]") != std::string::npos;
    this->attach(this->streams[id], id, 0, exchange);
    this->wake.notify_all();
}

void EngineServer::resumeGeneration(const http::ServerRequest &request,
                                    const http::ExchangePtr &exchange)
{
    const std::string id = request.path.substr(std::string("/generations/").size());
    const std::string offset = request.queryField("offset");
    const std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(id);
    if (found == this->streams.end()) {
        exchange->respond(404, {}, "no such generation\n");
        return;
    }
    this->attach(found->second, id, static_cast<Tokens>(std::strtoul(offset.c_str(), nullptr, 10)),
                 exchange);
}

void EngineServer::attach(Stream &stream, const std::string &id, Tokens offset,
                          const http::ExchangePtr &exchange)
{
    exchange->beginStream(200, sseHeaders);
    std::string past;
    for (Tokens token = offset; token < stream.produced; ++token) {
        past += tokenEvent(id, token, stream.finished && token + 1 == stream.produced,
                           stream.stamped);
    }
    exchange->send(past);
    if (stream.finished) {
        exchange->finish();
        return;
    }
    stream.readers.push_back(exchange);
    const std::weak_ptr<http::Exchange> weak = exchange;
    exchange->onDisconnected([this, id, weak] {
        const std::lock_guard lock(this->mutex);
        const auto found = this->streams.find(id);
        if (found == this->streams.end()) {
            return;
        }
        auto &readers = found->second.readers;
        readers.erase(std::remove(readers.begin(), readers.end(), weak.lock()), readers.end());
        found->second.unreadSince = monotonicNow();
    });
}

void EngineServer::answerLoad(const http::ExchangePtr &exchange)
{
    const std::lock_guard lock(this->mutex);
    const LoadReport report = this->model.report(monotonicNow());
    auto [added, dropped] = this->model.takeCacheChanges();
    nlohmann::ordered_json json;
    json["boot"] = report.boot;
    json["memoryTokens"] = report.memoryTokens;
    json["memoryUsed"] = report.memoryUsed;
    json["running"] = report.running;
    json["waiting"] = report.waiting;
    json["preemptions"] = report.preemptions;
    json["model"] = this->image.model;
    json["version"] = this->image.version;
    json["adapters"] = this->image.adapters;
    json["role"] = this->image.role;
    json["loading"] = this->loading ? decision::toText(*this->loading) : "";
    json["cacheAdded"] = added;
    json["cacheDropped"] = dropped;
    exchange->respond(200, jsonHeaders, json.dump());
}

void EngineServer::takeOrder(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const std::lock_guard lock(this->mutex);
    const auto offered = body.is_object() ? body.value("fence", std::uint64_t(0)) : 0;
    if (this->faults.honoursFencing && offered < this->fence) {
        exchange->respond(409, jsonHeaders, R"({"error":"old fencing number"})");
        return;
    }
    this->fence = std::max(this->fence, offered);
    decision::EngineImage wanted = this->image;
    wanted.model = body.value("model", wanted.model);
    wanted.version = body.value("version", wanted.version);
    wanted.role = body.value("role", wanted.role);
    wanted.adapters = body.value("adapters", wanted.adapters);
    // The same order again changes nothing.
    if (wanted != (this->loading ? *this->loading : this->image)) {
        this->ordersTaken += 1;
        this->beginLoad(wanted);
    }
    exchange->respond(202, jsonHeaders, "{}");
}

void EngineServer::beginLoad(const decision::EngineImage &wanted)
{
    const bool heavy = wanted.model != this->image.model || wanted.version != this->image.version;
    if (!heavy) {
        this->loading.reset();
        this->image = wanted;
        return;
    }
    this->cutByLoads += this->model.running() + this->model.waiting();
    for (const auto &[id, stream] : this->streams) {
        this->model.cancel(id);
    }
    this->dropStreams();
    this->loading = wanted;
    this->loadedAt = monotonicNow() + this->faults.loadTime;
}

void EngineServer::finishLoad(Instant now)
{
    if (!this->loading || now < this->loadedAt) {
        return;
    }
    this->image = *this->loading;
    this->loading.reset();
    this->model.turnCold();
}

void EngineServer::takeFault(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const std::string kind = request.queryField("kind");
    const auto duration = std::strtoul(request.queryField("ms").c_str(), nullptr, 10);
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    if (kind == "crash") {
        this->model.crash(now, milliseconds(duration));
        this->dropStreams();
    } else if (kind == "cold") {
        this->model.turnCold();
    } else if (kind == "stall") {
        this->stalledUntil = now + milliseconds(duration);
    } else if (kind == "cut") {
        for (auto &[id, stream] : this->streams) {
            for (const http::ExchangePtr &reader : stream.readers) {
                reader->abort();
            }
            stream.readers.clear();
            stream.unreadSince = now;
        }
    } else if (kind == "end-inside") {
        for (auto &[id, stream] : this->streams) {
            for (const http::ExchangePtr &reader : stream.readers) {
                reader->send("id: " + id);
                reader->finish();
            }
            stream.readers.clear();
            stream.unreadSince = now;
        }
    } else if (kind == "garbage") {
        for (auto &[id, stream] : this->streams) {
            for (const http::ExchangePtr &reader : stream.readers) {
                const auto closed = std::make_shared<std::atomic<bool>>(false);
                reader->onDisconnected([closed] { *closed = true; });
                this->garbageReaders.push_back({reader, closed});
            }
            stream.readers.clear();
            stream.unreadSince = now;
        }
    } else {
        exchange->respond(400, {}, "kind is crash, cold, stall, cut, end-inside or garbage\n");
        return;
    }
    exchange->respond(200, {}, "done\n");
}

void EngineServer::dropStreams()
{
    for (auto &[id, stream] : this->streams) {
        for (const http::ExchangePtr &reader : stream.readers) {
            reader->abort();
        }
    }
    this->streams.clear();
    this->seenDeaths = this->model.deaths();
}

void EngineServer::sendGarbage()
{
    std::vector<GarbageReader> open;
    for (GarbageReader &reader : this->garbageReaders) {
        if (*reader.closed) {
            continue;
        }
        if (!reader.exchange->congested() && reader.sentBytes < maxGarbageBytes) {
            reader.exchange->send(std::string(garbagePieceBytes, 'x'));
            reader.sentBytes += garbagePieceBytes;
        }
        open.push_back(std::move(reader));
    }
    this->garbageReaders = std::move(open);
}

void EngineServer::cancelUnread(Instant now)
{
    for (auto each = this->streams.begin(); each != this->streams.end();) {
        Stream &stream = each->second;
        const bool unread = stream.readers.empty() && now - stream.unreadSince > unreadLimit;
        if (!unread) {
            ++each;
            continue;
        }
        this->model.cancel(each->first);
        each = this->streams.erase(each);
    }
}

void EngineServer::deliver(const std::vector<Emission> &emissions)
{
    for (const Emission &emission : emissions) {
        const auto found = this->streams.find(emission.generation);
        if (found == this->streams.end()) {
            continue;
        }
        Stream &stream = found->second;
        stream.produced = emission.offset + 1;
        stream.finished = emission.finished;
        const std::string event
            = tokenEvent(emission.generation, emission.offset, emission.finished, stream.stamped);
        for (const http::ExchangePtr &reader : stream.readers) {
            reader->send(event);
            if (emission.finished) {
                reader->finish();
            }
        }
        if (emission.finished) {
            stream.readers.clear();
            stream.unreadSince = monotonicNow();
        }
    }
}

void EngineServer::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const Instant now = monotonicNow();
        if (now >= this->stalledUntil) {
            this->deliver(this->model.advance(now));
        }
        if (this->model.deaths() != this->seenDeaths) {
            this->dropStreams();
        }
        this->finishLoad(now);
        this->cancelUnread(now);
        this->sendGarbage();
        const Instant next = this->model.nextStep();
        microseconds wait = std::min<microseconds>(milliseconds(20), next - now);
        wait = std::max<microseconds>(wait, microseconds(100));
        this->wake.wait_for(lock, wait);
    }
}

} // namespace azurespindle::standins
