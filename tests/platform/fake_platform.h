#ifndef AZURESPINDLE_TESTS_PLATFORM_FAKE_PLATFORM_H
#define AZURESPINDLE_TESTS_PLATFORM_FAKE_PLATFORM_H

#include "http/server.h"
#include "timer/timer_service.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// The platform's store, as its published protocol describes it: lists, watches, forgets.
class FakeStore
{
public:
    explicit FakeStore(std::uint16_t port);

    // Commands

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Refuses every call with this status from now on; 0: answers again.
    void failWith(int status) { this->refusal = status; }
    /// Refuses only callers that are named here by their ports' owner... none by default.
    void compactHistory();

    // Queries

    std::size_t calls() const { return this->callCount; }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Watch
    {
        std::uint64_t after = 0;
        Instant until;
        http::ExchangePtr exchange;
    };

    void answer(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void answerWatches();
    std::string changesAfter(std::uint64_t revision) const;

    std::atomic<int> refusal {0};
    std::atomic<std::size_t> callCount {0};
    mutable std::mutex mutex; ///< Guards the members below.
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::uint64_t forgotten = 0;
    std::vector<Watch> watches;
    timer::TimerService timers;
    http::Server server;
};

/// A model engine: streams numbered events, copies running generations to other engines.
///
/// A request's body says how many events it gets ("events=30"). An event's data names the request,
/// so that another generation's is noticed.
class FakeEngine
{
public:
    FakeEngine(std::string id, std::uint16_t port, milliseconds eventInterval = milliseconds(5));
    ~FakeEngine();

    // Commands

    /// Dies: cuts all streams and answers nothing more.
    void crash();
    void setTimeToShutdown(milliseconds time) { this->leavesIn = time.count(); }
    /// Streams stand still, their connections stay open.
    void setStalled(bool silent) { this->silent = silent; }
    /// Sets where callers are told to reach it, if that is not where it listens. Call it first.
    void setAdvertisedAddress(const std::string &address) { this->announced = address; }
    void setZone(const std::string &zone) { this->zone = zone; }

    // Queries

    std::string address() const;
    std::string registration(bool leaving = false) const;
    /// Returns the requests that are worked on here.
    std::size_t running() const;
    std::size_t starts() const { return this->startCount; }
    std::size_t takeovers() const { return this->takeoverCount; }
    /// Returns how often the request of this id was begun here from its first event.
    std::size_t runs(const std::string &callerId) const;
    /// Returns when a request last arrived.
    Instant lastArrival() const { return Instant(microseconds(this->arrivedAt.load())); }

private:
    struct Run
    {
        std::uint64_t made = 0;
        std::uint64_t total = 0;
        std::string backup;
        http::ExchangePtr exchange;
    };

    void answer(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void begin(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void move(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void tick();

    const std::string id;
    const std::uint16_t port;
    std::string announced;
    std::string zone = "north";
    std::atomic<std::int64_t> arrivedAt {0}; ///< Microseconds on the monotonic clock.
    std::atomic<std::int64_t> leavesIn {0};
    std::atomic<bool> silent {false};
    std::atomic<bool> dead {false};
    std::atomic<std::size_t> startCount {0};
    std::atomic<std::size_t> takeoverCount {0};
    mutable std::mutex mutex; ///< Guards the two below.
    std::map<std::string, Run> open;
    std::map<std::string, std::size_t> counts;
    timer::TimerService timers;
    std::unique_ptr<http::Server> server;
};

/// A plain service that counts what it runs.
class FakeService
{
public:
    /// What it does with the next requests.
    enum class Behaviour {
        Answers,
        Fails,
        DropsAnswer,
        RejectsAsFull,
        RejectsAsMisdirected,
        Hangs
    };

    FakeService(std::string id, std::uint16_t port);

    void setBehaviour(Behaviour behaviour) { this->behaviour = behaviour; }
    /// Sets where callers are told to reach it, if that is not where it listens. Call it first.
    void setAdvertisedAddress(const std::string &address) { this->announced = address; }
    std::string registration(bool leaving = false) const;
    /// Returns how often the request of this id ran.
    std::size_t runs(const std::string &callerId) const;
    std::size_t totalRuns() const;
    std::size_t disconnects() const { return this->goneCount; }

private:
    void answer(const http::ServerRequest &request, const http::ExchangePtr &exchange);

    const std::string id;
    const std::uint16_t port;
    std::string announced;
    std::atomic<Behaviour> behaviour {Behaviour::Answers};
    std::atomic<std::size_t> goneCount {0};
    mutable std::mutex mutex; ///< Guards the two below.
    std::map<std::string, std::size_t> counts;
    std::vector<http::ExchangePtr> hanging;
    http::Server server;
};

/// Returns a configuration with a stream route `/draft/`, a resumable one `/check/`, and the plain
/// routes `/order/` (unrepeatable) and `/look/` (idempotent), of the host `shop.example`.
std::string platformConfiguration(std::uint64_t version, const std::string &extraRoutes = "");

} // namespace azurespindle::tests

#endif
