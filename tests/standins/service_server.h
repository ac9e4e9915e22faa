#ifndef AZURESPINDLE_STANDINS_SERVICE_SERVER_H
#define AZURESPINDLE_STANDINS_SERVICE_SERVER_H

#include "http/server.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::standins {

/// A plain service that must not be told the same thing twice: it counts what it was told.
///
/// `POST /…` records the body; the header `X-Standin` misbehaves: `lose` records and then closes
/// the connection, `slow` answers after a second. `GET /runs` lists each body with its count.
class ServiceServer
{
public:
    explicit ServiceServer(settings::Address address);
    ~ServiceServer();

    std::error_code start() { return this->server.start(); }
    std::uint16_t port() const { return this->server.port(); }
    /// Returns how often \a body was recorded.
    std::size_t runs(const std::string &body) const;

private:
    void handle(const http::ServerRequest &request, const http::ExchangePtr &exchange);

    mutable std::mutex mutex; ///< Guards the members below.
    std::map<std::string, std::size_t> counts;
    std::vector<http::ExchangePtr> slow;
    http::Server server;
};

} // namespace azurespindle::standins

#endif
