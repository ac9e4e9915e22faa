#ifndef AZURESPINDLE_TESTS_SUPPORT_FLEET_H
#define AZURESPINDLE_TESTS_SUPPORT_FLEET_H

#include "http/client.h"
#include "serving/entry_process.h"
#include "standins/engine_server.h"
#include "standins/platform_server.h"
#include "standins/service_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// An answer as a caller saw it.
struct Answer
{
    int status = 0;
    std::string body;
    http::TransferEnd end = http::TransferEnd::Complete;
};

/// A few entry processes, engines, a service and the platform, in this process, on loopback.
class Fleet
{
public:
    /// Listens on ports from \a firstPort on, so that suites that run at once do not meet.
    Fleet(std::uint16_t firstPort, std::size_t entries, std::size_t engines,
          standins::EngineOptions engineOptions = quickEngine());
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Commands

    /// Publishes the configuration with further fields, such as `"out": [...]`.
    void configure(const std::string &furtherFields);
    Answer call(std::size_t entry, const std::string &path, const std::string &body,
                const http::Headers &headers = {});
    Answer get(std::size_t entry, const std::string &path, const http::Headers &headers = {});
    /// Streams a generation of so many tokens.
    Answer generate(std::size_t entry, std::size_t tokens, const http::Headers &headers = {});
    /// Misbehaves: see EngineServer.
    void fault(std::size_t engine, const std::string &kind, int ms = 0);
    /// Cuts every link between the first half of the entry processes and the rest, or mends them.
    void cutInTwo(bool cut) { this->partitioned = cut; }
    void stopEntry(std::size_t entry) { this->entries[entry].reset(); }
    serving::EntryProcess &entry(std::size_t index) { return *this->entries[index]; }
    standins::PlatformServer &platform() { return *this->platformServer; }

    // Queries

    std::size_t serviceRuns(const std::string &body) const { return this->service->runs(body); }
    std::string engineCounts(std::size_t engine) const;
    std::string url(std::size_t entry) const;

    /// Returns a warm engine whose steps take a millisecond or two.
    static standins::EngineOptions quickEngine();
    /// Returns true if \a condition becomes true within ten seconds.
    static bool eventually(const std::function<bool()> &condition);

private:
    Answer send(const std::string &method, std::size_t entry, const std::string &path,
                const std::string &body, const http::Headers &headers) const;
    bool reachable(std::size_t from, const std::string &member) const;
    std::string vmList() const;
    settings::Settings entrySettings(std::size_t index) const;
    settings::Address address(std::size_t offset) const;

    const std::uint16_t firstPort;
    std::uint64_t revision = 0;
    std::atomic<bool> partitioned {false};
    std::vector<std::unique_ptr<standins::EngineServer>> engines;
    std::unique_ptr<standins::ServiceServer> service;
    std::unique_ptr<standins::PlatformServer> platformServer;
    std::vector<std::unique_ptr<serving::EntryProcess>> entries;
};

/// A generation that streams while the test does something else.
class Streaming
{
public:
    /// Begins the generation, and returns once its first token is there.
    Streaming(Fleet &fleet, std::size_t entry, std::size_t tokens,
              const http::Headers &headers = {});
    ~Streaming();
    Streaming(const Streaming &) = delete;
    Streaming &operator=(const Streaming &) = delete;

    /// Waits for the end and returns everything that was received.
    std::string wait();
    /// Hangs up, and returns what was received so far.
    std::string hangUp();

private:
    std::mutex mutex; ///< Guards the two below.
    std::string body;
    bool ended = false;
    http::TransferId transfer = 0;
    std::unique_ptr<http::Client> client;
};

/// Returns the body of a completion request that the stand-in ends after so many tokens.
std::string completionBody(std::size_t tokens, bool stream = true, const std::string &mark = "");

/// Returns what is wrong with a streamed answer of so many tokens (holes, repeats, two
/// generations, no end), or an empty text.
std::string streamFault(const std::string &body, std::size_t tokens);

/// Returns the `id` of the last event of a stream.
std::string lastEventId(const std::string &body);

} // namespace azurespindle::tests

#endif
