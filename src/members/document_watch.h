#ifndef AZURESPINDLE_MEMBERS_DOCUMENT_WATCH_H
#define AZURESPINDLE_MEMBERS_DOCUMENT_WATCH_H

#include "base/time_types.h"
#include "http/client.h"
#include "metrics/registry.h"
#include "timer/timer_service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::members {

/// Callbacks of a DocumentWatch, called on a thread of the HTTP client.
struct WatchCallbacks
{
    std::function<void(const std::string &text)> onDocument;
    std::function<void()> onUnavailable; ///< The service stopped answering.
    std::function<void()> onAvailable;   ///< The service answers again.
};

/// Watch on one of the platform's documents by long polling, with one call in flight at a time.
///
/// Each watch costs the service one call per change and one per pollTimeout. Only a few members of
/// each zone are therefore active; another one takes over when one of them fails or leaves.
class DocumentWatch
{
public:
    /// How long the service holds a call open while there is no change.
    static constexpr milliseconds pollTimeout {20'000};
    /// Pause after a failed call, and after an answer that equals the previous one.
    static constexpr milliseconds retryInterval {1'000};
    /// Pause between two successful calls.
    static constexpr milliseconds minInterval {100};

    DocumentWatch(std::string url, http::Client &client, timer::TimerService &timers,
                  metrics::Registry &registry, WatchCallbacks callbacks);

    // Commands

    /// Starts or stops watching. A call in flight is not cancelled.
    void setActive(bool active);
    /// Sets the known revision; the next call asks for higher ones only.
    void setKnownRevision(std::uint64_t revision);

private:
    struct State;

    static void call(const std::shared_ptr<State> &state);
    static void finish(const std::shared_ptr<State> &state, const http::TransferResult &result,
                       const std::string &body);

    std::shared_ptr<State> state;
};

} // namespace azurespindle::members

#endif
