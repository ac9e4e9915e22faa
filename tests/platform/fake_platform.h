#ifndef AZURESPINDLE_TESTS_PLATFORM_FAKE_PLATFORM_H
#define AZURESPINDLE_TESTS_PLATFORM_FAKE_PLATFORM_H

#include "http/server.h"
#include "timer/timer_service.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// Fake of the platform's store over HTTP. It lists and watches items, and compacts its history.
class FakeStore
{
public:
    explicit FakeStore(std::uint16_t port);

    // Commands

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Makes every call fail with an HTTP status, or succeed again if it is 0.
    void failWith(int status) { this->failureStatus = status; }
    /// Discards the history of changes: waiting watches are aborted, and watches after an earlier
    /// revision fail with status 410.
    void compactHistory();
    /// Makes it state its era, from 1 on, in all its answers.
    void stateEra();
    /// Takes a copy of all items.
    void takeCopy();
    /// Loses all that was written since takeCopy() and begins a new era, in which the revisions
    /// after the copy are given out again.
    void comeBackFromCopy();
    /// Writes again what comeBackFromCopy() lost, as the writers do, unless they wrote it since.
    void writeAgain();

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
    /// Returns the header of its answers. Requires the lock.
    http::Headers head() const;

    std::atomic<int> failureStatus {0};
    std::atomic<std::size_t> callCount {0};
    mutable std::mutex mutex; ///< Guards the fields below, up to the timers.
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::uint64_t compactedRevision = 0;
    std::vector<Watch> watches;
    std::map<std::string, Item> copiedItems;
    std::map<std::string, Item> lostItems; ///< Those that were newer than the copy.
    std::uint64_t copiedRevision = 0;
    std::uint64_t era = 0; ///< 0 if it states none.
    timer::TimerService timers;
    http::Server server;
};

/// How an engine differs from one that begins, copies and notices everything at once.
struct EngineTraits
{
    bool ignoresClosedConnections = false; ///< It works on when the connection of a run closes.
    milliseconds startDelay {0};           ///< From a request's arrival to its response head.
    milliseconds copyTime {0};             ///< From a request for a copy to its answer.
};

/// A span of time in which an engine worked on a request.
struct EngineWork
{
    std::string requestId;
    Instant began;
    std::optional<Instant> ended;
};

/// Fake of a model engine, which streams numbered events and migrates running generations to other
/// engines.
///
/// The body of a request gives its number of events ("events=30"). The data of an event contains
/// the id of its request, so that tests notice events of another generation.
class FakeEngine
{
public:
    FakeEngine(std::string id, std::uint16_t port, milliseconds eventInterval = milliseconds(5));
    ~FakeEngine();

    // Commands

    /// Aborts all streams and stops answering.
    void crash();
    void setTimeToShutdown(milliseconds time) { this->timeToShutdownMs = time.count(); }
    /// Stops or resumes sending events, while connections stay open.
    void setStalled(bool stalled) { this->stalled = stalled; }
    /// Makes it accept requests without sending even a response head.
    void setMute(bool mute) { this->mute = mute; }
    /// Sets the address to register, if it differs from the one listened on. To be called before
    /// registration().
    void setAdvertisedAddress(const std::string &address) { this->advertisedAddress = address; }
    void setZone(const std::string &zone) { this->zone = zone; }
    /// To be called before it is registered.
    void setTraits(const EngineTraits &given) { this->traits = given; }

    // Queries

    std::string address() const;
    /// Returns the JSON record under which it is published in the store.
    std::string registration(bool draining = false) const;
    /// Returns the number of requests being run.
    std::size_t running() const;
    std::size_t starts() const { return this->startCount; }
    /// Returns the number of generations taken over from a copy.
    std::size_t takeovers() const { return this->takeoverCount; }
    /// Returns how often the request with this id was run here from its first event.
    std::size_t runs(const std::string &requestId) const;
    /// Returns true if the request with this id had been run here to its last event at \a time.
    bool finishedBy(const std::string &requestId, Instant time) const;
    /// Returns all that it has worked on.
    std::vector<EngineWork> works() const;
    /// Returns the time at which a request was last accepted.
    Instant lastArrival() const { return Instant(microseconds(this->lastArrivalUs.load())); }

private:
    struct Run
    {
        std::uint64_t generated = 0;
        std::uint64_t total = 0;
        std::string backup;
        http::ExchangePtr exchange;
        Instant startsAt;
        bool headSent = false;
        std::size_t work = 0; ///< Index of its span of work.
    };
    /// A copy that is being made.
    struct PendingCopy
    {
        std::string requestId;
        std::string location; ///< Engine address and handle.
        std::uint64_t generated = 0;
        std::uint64_t total = 0;
        Instant doneAt;
        http::ExchangePtr exchange;
    };

    void answer(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void sendHead(const std::string &requestId, Run &run) const;
    void endRun(const std::string &requestId);
    void finishCopies();
    void startRun(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void migrate(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void tick();

    const std::string id;
    const std::uint16_t port;
    std::string advertisedAddress;
    std::string zone = "north";
    std::atomic<std::int64_t> lastArrivalUs {0}; ///< Microseconds on the monotonic clock.
    std::atomic<std::int64_t> timeToShutdownMs {0};
    std::atomic<bool> stalled {false};
    std::atomic<bool> mute {false};
    std::atomic<bool> crashed {false};
    std::atomic<std::size_t> startCount {0};
    std::atomic<std::size_t> takeoverCount {0};
    EngineTraits traits;
    mutable std::mutex mutex; ///< Guards the five fields below.
    std::vector<EngineWork> workSpans;
    std::vector<PendingCopy> pendingCopies;
    std::map<std::string, Run> runningRequests;
    std::map<std::string, std::size_t> runCounts;
    std::map<std::string, Instant> finishTimes; ///< Keyed by request.
    timer::TimerService timers;
    std::unique_ptr<http::Server> server;
};

/// Fake of a service without a model, which counts the requests it runs.
class FakeService
{
public:
    /// How the service treats requests.
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
    /// Sets the duration of the work on each request that arrives from now on.
    void setWorkTime(milliseconds time) { this->workTimeMs = time.count(); }
    /// Names the requests a second that it takes from all processes together; 0 names no limit.
    void setNamedLimit(double requestsPerSecond) { this->namedLimit = requestsPerSecond; }
    /// Sets the address to register, if it differs from the one listened on. To be called before
    /// registration().
    void setAdvertisedAddress(const std::string &address) { this->advertisedAddress = address; }
    /// Returns the JSON record under which it is published in the store.
    std::string registration(bool draining = false) const;
    /// Returns how often the request with this id ran.
    std::size_t runs(const std::string &requestId) const;
    /// Returns true if the request with this id had been answered here at \a time.
    bool finishedBy(const std::string &requestId, Instant time) const;
    /// Returns true if the request with this id came while the service hung.
    bool hungOn(const std::string &requestId) const;
    std::size_t totalRuns() const;
    /// Returns the largest number of requests that arrived within \a window, from \a since on.
    std::size_t mostArrivalsWithin(milliseconds window, Instant since) const;
    /// Returns the number of hanging requests whose callers disconnected.
    std::size_t disconnects() const { return this->disconnectCount; }

private:
    struct Work
    {
        std::string requestId;
        Instant until;
        http::ExchangePtr exchange;
        int status = 0;
        http::Headers headers;
        std::string body;
    };

    void answer(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void finish(const Work &work);
    void finishDue();

    const std::string id;
    const std::uint16_t port;
    std::string advertisedAddress;
    std::atomic<std::int64_t> workTimeMs {0};
    std::atomic<Behaviour> behaviour {Behaviour::Answers};
    std::atomic<std::size_t> disconnectCount {0};
    std::atomic<double> namedLimit {0.0};
    mutable std::mutex mutex; ///< Guards the fields below, up to the timers.
    std::map<std::string, std::size_t> runCounts;
    std::map<std::string, Instant> finishTimes; ///< Keyed by request.
    std::vector<Instant> arrivals;
    std::vector<Work> works;
    std::multimap<std::string, http::ExchangePtr> hangingExchanges; ///< Keyed by request.
    timer::TimerService timers;
    http::Server server;
};

/// Returns a configuration as the operator publishes it, in JSON, for the host `shop.example`: with
/// the streaming routes `/draft/` (not resumable) and `/check/` (resumable), and the plain routes
/// `/order/` (not idempotent) and `/look/` (idempotent).
/// \param extraRoutes further routes in JSON, with a leading comma.
std::string platformConfiguration(std::uint64_t version, const std::string &extraRoutes = "");

} // namespace azurespindle::tests

#endif
