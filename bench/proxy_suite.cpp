// What the entry process adds to a token, beside calling the engine directly in the same run.

#include "suites.h"

#include "load.h"
#include "process_fleet.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>

namespace azurespindle::bench {
namespace {

constexpr std::size_t streams = 40;
constexpr std::size_t tokensPerStream = 400;
constexpr double maxAddedMilliseconds = 1.0;
constexpr std::size_t idleStreams = 500;

/// Delays of stamped tokens, as callers saw them.
struct Delays
{
    std::vector<float> milliseconds;
    double seconds = 0.0;
};

std::string body(std::size_t tokens)
{
    const std::string prompt = "[stamp] [tokens=" + std::to_string(tokens) + "]";
    return nlohmann::json {
        {"model", "m"}, {"stream", true}, {"max_tokens", 60'000}, {"prompt", prompt}}
        .dump();
}

void takeStamps(const std::string &text, std::vector<float> &into)
{
    const std::int64_t now = monotonicNow().time_since_epoch().count();
    for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at + 1)) {
        const std::int64_t stamp = std::strtoll(text.c_str() + at + 1, nullptr, 10);
        into.push_back(static_cast<float>(now - stamp) / 1'000.0F);
    }
}

Delays runStreams(const std::string &url, const std::string &label)
{
    http::Client client;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t ended = 0;
    Delays delays;
    const Instant begin = monotonicNow();
    for (std::size_t index = 0; index < streams; ++index) {
        http::ClientRequest request;
        request.method = "POST";
        request.url = url + "/v1/completions";
        request.body = body(tokensPerStream);
        request.headers["x-generation-id"] = label + std::to_string(index);
        http::TransferCallbacks callbacks;
        callbacks.onData = [&](std::string_view bytes) {
            const std::lock_guard lock(mutex);
            takeStamps(std::string(bytes), delays.milliseconds);
            return true;
        };
        callbacks.onDone = [&](const http::TransferResult &) {
            const std::lock_guard lock(mutex);
            ended += 1;
            changed.notify_all();
        };
        client.start(std::move(request), std::move(callbacks));
    }
    std::unique_lock lock(mutex);
    changed.wait_for(lock, seconds(60), [&] { return ended == streams; });
    delays.seconds = inSeconds(monotonicNow() - begin);
    return delays;
}

/// Returns the resident bytes that each open stream adds.
double bytesPerStream(const ProcessFleet &fleet)
{
    const double before = fleet.usage(0).residentBytes;
    http::Client client;
    for (std::size_t index = 0; index < idleStreams; ++index) {
        http::ClientRequest request;
        request.method = "POST";
        request.url = fleet.entryUrl(0) + "/v1/completions";
        request.body = body(20'000);
        client.start(std::move(request), {});
    }
    std::this_thread::sleep_for(seconds(4));
    return (fleet.usage(0).residentBytes - before) / idleStreams;
}

} // namespace

void runProxy(Report &report, const std::string &binaries)
{
    FleetOptions options;
    options.entries = 1;
    options.engines = 12;
    options.zones = 1;
    options.binaries = binaries;
    ProcessFleet fleet(options);
    fleet.waitReady();
    const std::string engine = "http://127.0.0.1:" + std::to_string(options.firstPort + 10);
    runStreams(fleet.entryUrl(0), "warm-up-");
    Delays direct = runStreams(engine, "direct-");
    const Usage before = fleet.usage(0);
    Delays proxied = runStreams(fleet.entryUrl(0), "proxied-");
    const Usage after = fleet.usage(0);
    const double tokens = static_cast<double>(proxied.milliseconds.size());
    const double cpu = after.cpuSeconds - before.cpuSeconds;
    report.atLeast("proxy", "tokens-delivered", tokens, "count",
                   static_cast<double>(streams * tokensPerStream));
    report.add("proxy", "rate", tokens / proxied.seconds, "tokens/s");
    report.add("proxy", "direct-delay-p95", percentileOf(direct.milliseconds, 0.95), "ms");
    report.add("proxy", "proxied-delay-p95", percentileOf(proxied.milliseconds, 0.95), "ms");
    report.atMost("proxy", "added-delay-p95",
                  percentileOf(proxied.milliseconds, 0.95)
                      - percentileOf(direct.milliseconds, 0.95),
                  "ms", maxAddedMilliseconds);
    report.add("proxy", "cpu-per-1000-tokens", cpu / tokens * 1e6, "ms");
    report.add("proxy", "tokens-per-core-second", tokens / cpu, "tokens/s");
    report.add("proxy", "bytes-per-open-stream", bytesPerStream(fleet), "bytes");
}

} // namespace azurespindle::bench
