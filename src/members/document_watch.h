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

/// What a watch tells its owner, on a thread of the HTTP client.
struct WatchCallbacks
{
    std::function<void(const std::string &text)> onDocument;
    std::function<void()> onLost; ///< The service stopped answering.
    std::function<void()> onBack; ///< It answers again.
};

/// Waits at one document of the platform with long polls, one call at a time.
///
/// Watching costs the service one call for each change and one for each waitTime, so only few
/// members of a zone watch; the others are inactive until one of those is gone.
class DocumentWatch
{
public:
    static constexpr milliseconds waitTime {20'000};
    static constexpr milliseconds retryTime {1'000}; ///< After a failure.
    static constexpr milliseconds minInterval {100}; ///< Between two calls.

    DocumentWatch(std::string url, http::Client &client, timer::TimerService &timers,
                  metrics::Registry &registry, WatchCallbacks callbacks);

    // Commands

    /// Starts or stops watching; the call under way ends by itself.
    void setActive(bool active);
    /// Sets the revision that is known, so that only higher ones are answered.
    void setKnown(std::uint64_t revision);

private:
    struct State;

    static void call(const std::shared_ptr<State> &state);
    static void finish(const std::shared_ptr<State> &state, const http::TransferResult &result,
                       const std::string &body);

    std::shared_ptr<State> state;
};

} // namespace azurespindle::members

#endif
