#ifndef AZURESPINDLE_DECISION_ENGINE_ORDER_H
#define AZURESPINDLE_DECISION_ENGINE_ORDER_H

#include "base/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// What an engine has loaded, or is wanted to load.
struct EngineImage
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters; ///< Sorted.
    std::string role;                  ///< Empty or servingRole: it takes generations.

    bool operator==(const EngineImage &other) const = default;
};

/// The role of an engine that takes generations; one of any other role gets none.
constexpr const char *servingRole = "serve";

/// Returns the image as one word for logs, such as "m:v2+a+b".
std::string toText(const EngineImage &image);

/// Returns true if \a actual is what \a wanted asks for; an empty field of \a wanted asks nothing,
/// and adapters beyond the wanted ones do no harm.
bool satisfies(const EngineImage &actual, const EngineImage &wanted);

/// Returns true if an engine with \a image takes generations of \a pool.
bool servesPool(const EngineImage &image, const std::string &pool);

/// Returns true if going from \a actual to \a wanted interrupts what the engine runs: anything but
/// a further adapter does.
bool interrupts(const EngineImage &actual, const EngineImage &wanted);

/// What is sent to an engine. Two processes that act on the same revision send the same order.
struct EngineOrder
{
    std::string upstream;
    std::uint64_t fencingToken = 0; ///< Fencing number: the revision of the configuration.
    EngineImage image;
    Instant notAfter; ///< A process that wakes later than this does not send it any more.

    bool operator==(const EngineOrder &other) const = default;
};

/// Where the order of one engine stands.
enum class OrderPhase : std::uint8_t {
    Unseen = 0,   ///< The engine does not say what it has loaded.
    Settled = 1,  ///< It has what is wanted.
    Waiting = 2,  ///< It needs an order and has no permit yet.
    Draining = 3, ///< It gets no new work until its generations have ended.
    Ordered = 4,  ///< The order is on its way.
    Loading = 5,  ///< It took the order.
};

const char *name(OrderPhase phase);

/// What the steward of an engine tells the member that gives out permits, and asks of it.
struct PermitRequest
{
    std::string requester; ///< Name and incarnation of the asking process.
    std::string pool;
    std::string upstream;
    std::uint64_t revision = 0; ///< Configuration that the steward acts on.
    OrderPhase phase = OrderPhase::Unseen;
    bool ready = false; ///< It takes generations now.
    bool warm = false;  ///< Its ramp is well above that of a cold engine.

    bool operator==(const PermitRequest &other) const = default;
};

/// The answer to a PermitRequest.
struct PermitAnswer
{
    std::string upstream;
    std::uint64_t revision = 0; ///< Of the request.
    bool granted = false;
    bool rolloutActive = false; ///< Some engine of the pool still needs an order: keep telling.
    milliseconds duration {0};  ///< How long a permit holds; ask again before.
    std::string reason;         ///< Why there is no permit.

    bool operator==(const PermitAnswer &other) const = default;
};

} // namespace azurespindle::decision

#endif
