#ifndef AZURESPINDLE_STANDINS_ENGINE_SERVER_H
#define AZURESPINDLE_STANDINS_ENGINE_SERVER_H

#include "decision/engine_order.h"
#include "http/server.h"
#include "standins/engine_model.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace azurespindle::standins {

/// How the served engine misbehaves on request of a test.
struct EngineFaults
{
    bool honoursFencing = true;
    milliseconds loadTime {2'000}; ///< Time to load another model or version.
    double lostCacheEvents = 0.2;  ///< Part of cache changes that are never published.
};

/// Serves an EngineModel over HTTP, in real time.
///
/// `POST /v1/completions` starts the generation named by `X-Generation-Id` and streams it;
/// `GET /generations/ID?offset=N` streams its tokens from N on; `DELETE /generations/ID` cancels;
/// `GET /load` reports; `POST /orders` takes an order; `POST /faults` misbehaves.
class EngineServer
{
public:
    EngineServer(settings::Address address, EngineOptions options, EngineFaults faults,
                 std::string name);
    ~EngineServer();

    std::error_code start();
    std::uint16_t port() const { return this->server.port(); }
    /// Returns the number of collapses, deaths and admitted generations so far.
    std::string countsJson() const;

private:
    struct Stream
    {
        Tokens produced = 0;
        bool finished = false;
        bool stamped = false;
        std::vector<http::ExchangePtr> readers;
        Instant unreadSince;
    };

    /// A reader that is sent bytes that are no event, until it closes.
    struct GarbageReader
    {
        http::ExchangePtr exchange;
        std::shared_ptr<std::atomic<bool>> closed;
        std::size_t sentBytes = 0;
    };

    void handle(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void startGeneration(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void resumeGeneration(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void answerLoad(const http::ExchangePtr &exchange);
    void takeOrder(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void beginLoad(const decision::EngineImage &wanted);
    void finishLoad(Instant now);
    void takeFault(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void attach(Stream &stream, const std::string &id, Tokens offset,
                const http::ExchangePtr &exchange);
    void run();
    void deliver(const std::vector<Emission> &emissions);
    void dropStreams();
    void sendGarbage();
    void cancelUnread(Instant now);

    EngineFaults faults;
    const std::string name;
    mutable std::mutex mutex; ///< Guards everything below.
    EngineModel model;
    std::unordered_map<std::string, Stream> streams;
    std::vector<GarbageReader> garbageReaders;
    std::uint64_t seenDeaths = 0;
    std::uint64_t admitted = 0;
    Instant stalledUntil;
    std::uint64_t fence = 0;
    decision::EngineImage image;
    std::optional<decision::EngineImage> loading; ///< What it is to have at loadedAt.
    Instant loadedAt;
    std::uint64_t ordersTaken = 0;
    std::uint64_t cutByLoads = 0; ///< Generations that were running when a load began.
    bool stopping = false;
    std::condition_variable wake;
    http::Server server;
    std::thread thread;
};

} // namespace azurespindle::standins

#endif
