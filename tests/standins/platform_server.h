#ifndef AZURESPINDLE_STANDINS_PLATFORM_SERVER_H
#define AZURESPINDLE_STANDINS_PLATFORM_SERVER_H

#include "http/server.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurespindle::standins {

/// The platform's configuration service and VM list.
///
/// `GET /configuration` and `GET /vms` answer the document; with `?after=REVISION&waitMs=N` they
/// answer once there is a higher revision, or 204 when the time is over. A test publishes with
/// PUT, misbehaves by `POST /faults?kind=down|up|stale|fresh`, and reads `/counts`.
class PlatformServer
{
public:
    explicit PlatformServer(settings::Address address);
    ~PlatformServer();

    std::error_code start();
    std::uint16_t port() const { return this->server.port(); }
    /// Publishes a document, as an operator would; \a path is "/configuration" or "/vms".
    void publish(const std::string &path, const std::string &text);

private:
    struct Document
    {
        std::uint64_t revision = 0;
        std::string text;
        std::string staleText;
    };
    struct Watch
    {
        std::string path;
        std::uint64_t after = 0;
        Instant until;
        http::ExchangePtr exchange;
    };

    void handle(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void read(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void setFault(const std::string &kind);
    void answerWatches();
    void run();

    std::mutex mutex; ///< Guards everything below.
    std::map<std::string, Document> documents;
    std::vector<Watch> watches;
    std::uint64_t reads = 0;
    bool down = false;
    bool stale = false;
    bool stopping = false;
    std::condition_variable wake;
    http::Server server;
    std::thread thread;
};

} // namespace azurespindle::standins

#endif
