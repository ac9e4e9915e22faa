#ifndef AZURESPINDLE_REVIEW_SUPPORT_2_PLATFORM_H
#define AZURESPINDLE_REVIEW_SUPPORT_2_PLATFORM_H

#include "net.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace review {

/// Stand-in of the platform's store: lists and watches items, and keeps its whole history.
class Store
{
public:
    Store();

    /// Writes an item. \return the time of the acknowledgement.
    double put(const std::string &key, const nlohmann::json &value);
    /// Removes an item. \return the time of the acknowledgement.
    double remove(const std::string &key);
    /// Removes the entries that have lapsed when the store looks for such entries.
    void removeLapsed(const std::vector<std::string> &keys);
    std::uint16_t port() const { return this->server->port(); }

private:
    struct Change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    double append(const std::string &key, const std::string &value, bool deleted);
    void answer(const HttpMessage &request, const Connection &connection);
    std::string list() const;
    std::string changesAfter(std::uint64_t revision) const;

    mutable std::mutex mutex; ///< Guards the changes.
    std::condition_variable changed;
    std::vector<Change> changes;
    std::unique_ptr<HttpServer> server;
};

/// A request that reached a server.
struct Arrival
{
    double at = 0.0;
    std::string id; ///< Azurespindle-Attempt-Id
    std::string target;
    std::string server;       ///< Id of the server.
    bool misdirected = false; ///< It expected another server and got 421.
};

/// What reached the servers, in the order of time.
class Arrivals
{
public:
    explicit Arrivals(Record &record) : record(record) { }
    void add(const Arrival &arrival);
    std::vector<Arrival> all() const;

private:
    Record &record;
    mutable std::mutex mutex;
    std::vector<Arrival> list;
};

/// The entry that a server keeps in the store.
struct ServerEntry
{
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t slots = 6;
    double coldMs = 0.0; ///< Time that it stays cold after its start.
};

nlohmann::json entryOf(const ServerEntry &entry, const std::string &address, bool draining);

/// Stand-in of a server without a model. Answers each request after some work.
class PlainServer
{
public:
    PlainServer(ServerEntry entry, double workMs, Arrivals &arrivals, std::uint16_t port = 0);

    /// Requests whose target contains \a text crash the server as soon as they begin to run.
    void crashOn(const std::string &text, std::function<void()> onCrash);
    /// Ends as a process that crashes: connections are reset, and the port refuses new ones.
    void crash();
    bool crashed() const { return this->dead; }
    nlohmann::json registration() const;
    std::uint16_t port() const { return this->server->port(); }
    const ServerEntry entry;

private:
    void answer(const HttpMessage &request, const Connection &connection);

    const double workMs;
    Arrivals &arrivals;
    std::atomic<bool> dead {false};
    std::string deadlyText;
    std::function<void()> onCrash;
    std::unique_ptr<HttpServer> server;
};

/// Copies of runs that engines hold for one another.
class Copies
{
public:
    void keep(const std::string &location, std::uint64_t created);
    /// Takes a copy, which can be used once.
    std::optional<std::uint64_t> take(const std::string &location);

private:
    std::mutex mutex;
    std::map<std::string, std::uint64_t> created; ///< Events that a copy covers, by IP:PORT/HANDLE.
};

/// How long an engine takes, in milliseconds.
struct EngineTimes
{
    double event = 40.0;     ///< Between two events.
    double move = 5.0;       ///< For a copy of a run.
    double backUp = 200.0;   ///< Between two updates of a run's backup.
    double firstToken = 0.0; ///< From a slot to the first token of a new run.
    double admit = 0.0;      ///< That a run which goes on from a copy waits for its turn.
    double refuse = 0.0;     ///< That a request waits for its refusal, if its copy doesn't exist.
};

/// Stand-in of a model engine that streams numbered events and moves its runs to other engines.
/// The target of a request says how many: /draft/EVENTS. A request waits for a slot; those that go
/// on from a copy are admitted first.
class Engine
{
public:
    Engine(ServerEntry entry, EngineTimes times, Arrivals &arrivals, Copies &copies);

    /// Time until it exits, which its reports tell from now on.
    void drain(double leavesMs);
    /// Sets the time to the first token of new runs.
    void setFirstToken(double milliseconds) { this->firstTokenMs = milliseconds; }
    /// Makes it work on when the connection of a run closes.
    void ignoreClosedConnections() { this->ignoresClose = true; }
    /// Returns the time until which it worked on a request; 0: it did not.
    double workedUntil(const std::string &id) const;
    nlohmann::json registration() const;
    std::size_t running() const;
    const ServerEntry entry;

private:
    struct Run
    {
        std::uint64_t created = 0;
        bool stopped = false;
        bool started = false;
    };

    void answer(const HttpMessage &request, const Connection &connection);
    void run(const HttpMessage &request, const Connection &connection);
    /// Waits for a slot. \return nothing if the other side has closed.
    std::shared_ptr<Run> admit(const std::string &id, bool continues, const Connection &connection);
    void end(const std::string &id, const std::shared_ptr<Run> &run);
    void stream(const HttpMessage &request, const Connection &connection, Run &run);
    void move(const HttpMessage &request, const Connection &connection);

    const EngineTimes times;
    Arrivals &arrivals;
    Copies &copies;
    mutable std::mutex mutex; ///< Guards the runs.
    std::map<std::string, std::shared_ptr<Run>> runs;
    /// Requests that wait, in the order in which they are admitted.
    std::set<std::pair<bool, std::uint64_t>> waiting;
    std::uint64_t lastWaiting = 0;
    std::mutex link;                        ///< Moves go one after another.
    std::map<std::string, double> workEnds; ///< Of runs that have begun, by request.
    std::atomic<double> firstTokenMs;
    std::atomic<bool> ignoresClose {false};
    std::atomic<double> exitsAt {0.0};
    std::unique_ptr<HttpServer> server;
};

} // namespace review

#endif
