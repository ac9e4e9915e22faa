#ifndef AZURESPINDLE_TESTS_SUPPORT_RAW_FLEET_H
#define AZURESPINDLE_TESTS_SUPPORT_RAW_FLEET_H

#include "platform/fake_platform.h"
#include "serving/routing_process.h"
#include "support/raw_server.h"

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// A response as the caller received it.
struct CallerResponse
{
    int status = 0;
    http::Headers headers;
    std::string body;
    http::TransferEnd end = http::TransferEnd::ConnectionLost;
    microseconds took {0};
};

/// A routing process before raw servers, two of each service, with a store. The service `models`
/// serves `/draft/` and `/check/`, which are streams, and only the second may be resumed; `desk`
/// serves `/order/`, which must not be repeated, and `/look/`, which may.
class RawFleet
{
public:
    /// Answers a request that the server with the number \a server received.
    using Script = std::function<RawAnswer(std::size_t server, const std::string &request)>;

    /// \param firstPort the first of 14 ports that are used.
    RawFleet(std::uint16_t firstPort, const Script &script);
    ~RawFleet();
    RawFleet(const RawFleet &) = delete;
    RawFleet &operator=(const RawFleet &) = delete;

    // Commands

    /// Sends a request of a caller.
    /// \param id the request's id; if empty, one is made up.
    std::future<CallerResponse> send(const std::string &path, const std::string &id = "");

    // Queries

    /// Returns true if the process became ready to serve.
    bool ready() const { return this->becameReady; }
    /// Returns the number of requests that all servers received.
    std::size_t requests() const;
    const std::vector<std::unique_ptr<RawServer>> &rawServers() const { return this->servers; }
    std::uint16_t metricsPort() const;

private:
    const std::uint16_t firstPort;
    FakeStore store;
    http::Client client;
    std::vector<std::unique_ptr<RawServer>> servers;
    std::unique_ptr<serving::RoutingProcess> process;
    bool becameReady = false;
};

} // namespace azurespindle::tests

#endif
