#ifndef AZURESPINDLE_TESTS_ROUTING_ROUTER_HARNESS_H
#define AZURESPINDLE_TESTS_ROUTING_ROUTER_HARNESS_H

#include "routing/router.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// Plays events into a router in virtual time, and keeps what it decided.
class RouterHarness
{
public:
    explicit RouterHarness(const std::string &zone = "north");

    // Commands

    /// Puts the routes of the sample service in force: `/long/` and `/short/` go to engines,
    /// `/order/` and `/look/` to plain upstreams, `/open/` needs no key.
    void configure();
    void addEngine(const std::string &id, const std::string &zone = "north");
    void addPlain(const std::string &id, const std::string &zone = "north");
    void setLeaving(const std::string &id);
    void remove(const std::string &id);
    void setCold(const std::string &id, milliseconds left);
    void evacuate(const std::string &zone);
    /// Sends a request and returns its number.
    routing::RequestId arrive(const std::string &path, const std::string &key = "k1",
                              const std::string &body = "");
    void handle(const routing::RouterEvent &event);
    /// Lets time pass in ticks.
    void pass(milliseconds time);
    /// The present attempt's head arrives: a authentic event stream.
    void beginStream(routing::RequestId request);
    /// Events arrive on the present attempt.
    void events(routing::RequestId request, std::uint32_t count);
    /// The present attempt ends.
    void end(routing::RequestId request, routing::AttemptEnd end, int status = 0,
             bool notRun = false);
    void answerMove(routing::RequestId request, bool final, routing::MigrationStatus status,
                    const std::string &handle = "h");
    /// Forgets the effects so far.
    void clear() { this->effects.clear(); }

    // Queries

    /// Returns the last effect of a kind, or nothing.
    template<typename Effect> std::optional<Effect> last() const
    {
        std::optional<Effect> found;
        for (const routing::RouterEffect &each : this->effects) {
            if (const auto *same = std::get_if<Effect>(&each)) {
                found = *same;
            }
        }
        return found;
    }
    template<typename Effect> std::size_t count() const
    {
        std::size_t number = 0;
        for (const routing::RouterEffect &each : this->effects) {
            number += std::holds_alternative<Effect>(each) ? 1 : 0;
        }
        return number;
    }
    /// Returns the upstream of the last attempt that was started, or "none".
    std::string startedOn() const;
    /// Returns the status of the last answer of the router's own, or 0.
    int answered() const;
    Instant now() const { return this->time; }

    routing::Router router;

private:
    void publish();
    routing::AttemptId present(routing::RequestId request) const;

    Instant time {seconds(100)};
    routing::FleetState state;
    routing::RequestId lastRequest = 0;
    std::vector<routing::RouterEffect> effects;
    std::vector<routing::AttemptId> started;
};

} // namespace azurespindle::tests

#endif
