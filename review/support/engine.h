#ifndef AZURESPINDLE_REVIEW_SUPPORT_ENGINE_H
#define AZURESPINDLE_REVIEW_SUPPORT_ENGINE_H

#include "platform.h"

#include <set>

namespace review {

/// What a model server does, and when.
struct EngineTraits
{
    milliseconds firstEvent {60};
    milliseconds eventInterval {50};
    /// Whether it drops a run when the connection of its request closes.
    bool dropsOnClose = true;
};

/// A model server: streams numbered events, and passes the memory of its runs to other ones.
///
/// The body of a request names the number of its events ("events=30").
class Engine
{
public:
    /// Copies of runs that engines hold, by the holder's or the source's address and a handle.
    struct Copies
    {
        std::mutex mutex;
        std::map<std::string, int> eventsByCopy;
    };

    /// The time for which an engine worked on a request.
    struct Work
    {
        std::string request;
        Clock::time_point began;
        Clock::time_point ended; ///< The epoch while it still works.
    };

    Engine(std::string id, EngineTraits traits, Copies &copies, Record &record);

    const std::string &id() const { return this->name; }
    std::string address() const;
    std::uint16_t port() const { return this->server.port(); }
    void setDraining(bool draining) { this->draining = draining; }
    /// Ends it and all its runs.
    void exit();
    /// Returns what it has worked on so far.
    std::vector<Work> works() const;

private:
    bool answer(const Message &request, const Socket &connection);
    bool run(const Message &request, const Socket &connection);
    bool move(const Message &request, const Socket &connection);
    void beginWork(const std::string &request);
    void endWork(const std::string &request);
    void saveCopy(const std::string &copy, int events) const;
    bool takeCopy(const std::string &copy) const;

    std::string name;
    EngineTraits traits;
    Copies *copies;
    Record *record;
    std::atomic<bool> draining {false};
    std::atomic<bool> exited {false};
    mutable std::mutex mutex; ///< Guards the fields below.
    std::vector<Work> worked;
    std::map<std::string, int> eventsByRun;
    std::set<std::string> stopped; ///< Runs that a final move has stopped.
    HttpServer server;
};

} // namespace review

#endif
