#ifndef AZURESPINDLE_DECISION_ENGINE_ORDER_H
#define AZURESPINDLE_DECISION_ENGINE_ORDER_H

#include "base/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// The model, version, adapters and role that an engine has loaded or should load.
struct EngineImage
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters; ///< Sorted.
    std::string role;                  ///< Empty or servingRole if it runs generations.

    bool operator==(const EngineImage &other) const = default;
};

/// Role of an engine that runs generations. Engines of other roles are given none.
constexpr const char *servingRole = "serve";

/// Returns the image as a single word for logs, such as "m:v2+a+b".
std::string toText(const EngineImage &image);

/// Returns true if \a actual meets \a desired. An empty field of \a desired matches anything, and
/// additional adapters are permitted.
bool satisfies(const EngineImage &actual, const EngineImage &desired);

/// Returns true if an engine with \a image runs generations of \a pool.
bool servesPool(const EngineImage &image, const std::string &pool);

/// Returns true if loading \a desired over \a actual interrupts running generations. Every change
/// except an additional adapter does.
bool interrupts(const EngineImage &actual, const EngineImage &desired);

/// An order to an engine to load an image. Processes that act on the same revision send the same
/// order.
struct EngineOrder
{
    std::string upstream;
    std::uint64_t fencingToken = 0; ///< Revision of the configuration.
    EngineImage image;
    Instant notAfter; ///< Not to be sent later than this, for example after a pause.

    bool operator==(const EngineOrder &other) const = default;
};

/// State of the order of one engine.
enum class OrderPhase : std::uint8_t {
    Unseen = 0,   ///< The engine reports no image or does not answer.
    Settled = 1,  ///< The engine has the desired image.
    Waiting = 2,  ///< The engine needs an order and has no permit yet.
    Draining = 3, ///< The engine gets no new work until its generations have ended.
    Ordered = 4,  ///< The order has been sent and not answered yet.
    Loading = 5,  ///< The engine accepted the order and loads the image.
};

/// Returns the text of the phase as it stands in logs and status output.
const char *name(OrderPhase phase);

/// Status of an engine, sent to the member that grants permits; in phase Waiting also a request for
/// a permit.
struct PermitRequest
{
    std::string requester; ///< Name and incarnation of the requesting process.
    std::string pool;
    std::string upstream;
    std::uint64_t revision = 0; ///< Configuration that the requester acts on.
    OrderPhase phase = OrderPhase::Unseen;
    bool ready = false; ///< The engine takes new generations now.
    bool warm = false;  ///< Its concurrency limit is well above the cold one.

    bool operator==(const PermitRequest &other) const = default;
};

/// The answer to a PermitRequest.
struct PermitAnswer
{
    std::string upstream;
    std::uint64_t revision = 0; ///< Revision of the request.
    bool granted = false;
    bool rolloutActive = false; ///< Some engine of the pool still needs an order.
    milliseconds duration {0};  ///< How long the permit is valid; to be renewed before.
    std::string reason;         ///< Why the permit is denied; empty otherwise.

    bool operator==(const PermitAnswer &other) const = default;
};

} // namespace azurespindle::decision

#endif
