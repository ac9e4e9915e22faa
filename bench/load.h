#ifndef AZURESPINDLE_BENCH_LOAD_H
#define AZURESPINDLE_BENCH_LOAD_H

#include "http/client.h"
#include "workload.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurespindle::bench {

/// What callers saw in one second of a run.
struct SecondOfService
{
    std::uint64_t tokens = 0;
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0; ///< Ended with an error or a refusal.
    double stallSeconds = 0.0;
};

/// What callers saw in a whole run.
struct LoadResult
{
    std::vector<SecondOfService> seconds;
    std::vector<float> gaps;        ///< Seconds.
    std::vector<float> firstTokens; ///< Seconds.
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0; ///< Before any token.
    std::uint64_t broken = 0;  ///< After tokens: an explicit error.
    std::uint64_t cut = 0;     ///< After tokens: the connection ended without a word.
    std::uint64_t resumed = 0; ///< Went on at another entry process.
    std::uint64_t mixed = 0;   ///< Tokens missing, doubled or of two generations.
};

/// Open-loop callers who behave as real ones: a stream whose connection breaks is taken up again
/// at another entry process by its last event id, a refusal is not retried.
class Load
{
public:
    struct Options
    {
        std::vector<std::string> entries; ///< URLs.
        WorkloadOptions workload;
        seconds duration {20};
        std::uint64_t seed = 1;
        double maxOutput = 4'000.0; ///< Longer ones are shortened, so that a run ends.
    };

    explicit Load(Options options);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Begins the calls, on a thread of its own.
    void start();
    /// Stops calling \a entry, as a balancer does with one that is unready, or calls it again.
    void setUsable(std::size_t entry, bool usable);
    /// Waits for the last call and returns what was seen.
    LoadResult finish();

private:
    struct Call;

    void run();
    void begin(const Arrival &arrival);
    void send(const std::shared_ptr<Call> &call);
    void take(Call &call, std::string_view bytes);
    void takeEvent(Call &call, const std::string &event);
    void end(const std::shared_ptr<Call> &call, const http::TransferResult &result);
    std::string nextEntry();
    SecondOfService &second();

    Options options;
    std::mutex mutex; ///< Guards the members below.
    LoadResult seen;
    std::vector<bool> usable;
    std::size_t turn = 0;
    std::size_t open = 0;
    Instant started;
    std::thread thread;
    std::unique_ptr<http::Client> client;
};

/// Percentile of values, which are reordered.
double percentileOf(std::vector<float> &values, double part);

} // namespace azurespindle::bench

#endif
