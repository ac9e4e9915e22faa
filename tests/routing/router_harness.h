#ifndef AZURESPINDLE_TESTS_ROUTING_ROUTER_HARNESS_H
#define AZURESPINDLE_TESTS_ROUTING_ROUTER_HARNESS_H

#include "routing/router.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// Drives a router with events in virtual time and records its effects.
class RouterHarness
{
public:
    /// \param name name of the process.
    explicit RouterHarness(const std::string &zone = "north", const std::string &name = "entry-0");

    // Commands

    /// Publishes the sample configuration. The routes `/long/` and `/short/` lead to engines, and
    /// only `/short/` is resumable. `/order/` (not idempotent), `/look/`, `/open/` (needs no key)
    /// and `/home/` (restricted to one region) lead to plain upstreams.
    /// \param maxHoldTime longest reservation at an engine; 0: engines take none.
    void configure(milliseconds maxHoldTime = milliseconds(0));
    void addEngine(const std::string &id, const std::string &zone = "north");
    void addPlainUpstream(const std::string &id, const std::string &zone = "north");
    void setDraining(const std::string &id);
    void remove(const std::string &id);
    /// Publishes the next lifetime of an upstream.
    void restart(const std::string &id);
    void setCold(const std::string &id, milliseconds left);
    void evacuateZone(const std::string &zone);
    /// Sends a request of a caller and returns its id.
    routing::RequestId sendRequest(const std::string &path, const std::string &key = "k1",
                                   const std::string &body = "",
                                   const std::vector<routing::PromptPart> &parts = {});
    void handle(const routing::RouterEvent &event);
    /// Advances the time in steps of Router::tickInterval.
    void advanceTime(milliseconds time);
    /// Delivers the response head of an authentic event stream to the current attempt.
    void receiveStreamHead(routing::RequestId request);
    /// Delivers events to the current attempt.
    void receiveEvents(routing::RequestId request, std::uint32_t count);
    /// Ends the current attempt, after a response head unless \a status is 0.
    void endAttempt(routing::RequestId request, routing::AttemptEnd end, int status = 0,
                    bool notRun = false);
    void respondToMigration(routing::RequestId request, bool final, routing::MigrationStatus status,
                            const std::string &handle = "h");
    /// Discards the recorded effects.
    void clearEffects() { this->effects.clear(); }

    // Queries

    /// Returns the last recorded effect of a type, or nothing.
    template<typename Effect> std::optional<Effect> lastEffect() const
    {
        std::optional<Effect> found;
        for (const routing::RouterEffect &each : this->effects) {
            if (const auto *match = std::get_if<Effect>(&each)) {
                found = *match;
            }
        }
        return found;
    }
    template<typename Effect> std::size_t countEffects() const
    {
        std::size_t number = 0;
        for (const routing::RouterEffect &each : this->effects) {
            number += std::holds_alternative<Effect>(each) ? 1 : 0;
        }
        return number;
    }
    /// Returns the number of recorded effects that satisfy a condition and precede the last effect
    /// of a type.
    template<typename Effect>
    std::size_t
    countBeforeLast(const std::function<bool(const routing::RouterEffect &)> &condition) const
    {
        std::size_t number = 0;
        std::size_t beforeLast = 0;
        for (const routing::RouterEffect &each : this->effects) {
            beforeLast = std::holds_alternative<Effect>(each) ? number : beforeLast;
            number += condition(each) ? 1 : 0;
        }
        return beforeLast;
    }
    /// Returns the recorded effects of a type, in order.
    template<typename Effect> std::vector<Effect> allEffects() const
    {
        std::vector<Effect> found;
        for (const routing::RouterEffect &each : this->effects) {
            if (const auto *match = std::get_if<Effect>(&each)) {
                found.push_back(*match);
            }
        }
        return found;
    }
    /// Returns the id of the upstream of the last recorded StartAttempt, or "none".
    std::string lastUpstream() const;
    /// Returns the status of the last recorded local reply, or 0.
    int lastReplyStatus() const;
    Instant now() const { return this->time; }

    routing::Router router;

private:
    void publish();
    routing::AttemptId currentAttempt(routing::RequestId request) const;

    Instant time {seconds(100)}; ///< Virtual time.
    routing::FleetState state;
    routing::RequestId lastRequest = 0;
    std::vector<routing::RouterEffect> effects;
    std::vector<routing::AttemptId> started; ///< All attempts, in order; kept by clearEffects().
};

} // namespace azurespindle::tests

#endif
