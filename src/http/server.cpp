#include "http/server.h"

#include "http/internal/connection_handler.h"
#include "http/internal/posting_transport.h"

#include <pistache/listener.h>

namespace azurespindle::http {

std::string ServerRequest::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string ServerRequest::queryField(const std::string &name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

const char *reasonPhrase(int status)
{
    return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
}

/// Owns the listener and the transports, one for each worker thread.
class Server::Implementation
{
public:
    Implementation(settings::Address address, settings::CallerLimits limits, std::size_t threads,
                   Handler handler)
        : address(std::move(address)), threads(threads),
          shared(std::make_shared<internal::ServerState>(limits, std::move(handler)))
    { }

    settings::Address address;
    std::size_t threads;
    std::shared_ptr<internal::ServerState> shared;
    std::unique_ptr<Pistache::Tcp::Listener> listener;
};

Server::Server(settings::Address address, settings::CallerLimits limits, std::size_t threads,
               Handler handler)
    : implementation(
        std::make_unique<Implementation>(std::move(address), limits, threads, std::move(handler)))
{ }

Server::~Server()
{
    this->stop();
}

std::error_code Server::start()
{
    Implementation &own = *this->implementation;
    const Pistache::Address address(own.address.host, Pistache::Port(own.address.port));
    try {
        own.listener = std::make_unique<Pistache::Tcp::Listener>(address);
        own.listener->init(
            own.threads,
            Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                | Pistache::Tcp::Options::NoDelay);
        auto handler = std::make_shared<internal::ConnectionHandler>(own.shared);
        const std::shared_ptr<internal::ServerState> shared = own.shared;
        own.listener->setTransportFactory(
            [handler, shared] { return internal::PostingTransport::create(handler, shared); });
        own.listener->setHandler(handler);
        own.listener->bind();
        own.listener->runThreaded();
    } catch (const std::exception &) {
        return ErrorCode::BindFailed;
    }
    return {};
}

void Server::stop()
{
    Implementation &own = *this->implementation;
    if (own.listener == nullptr) {
        return;
    }
    own.shared->close();
    own.listener->shutdown();
    own.listener.reset();
}

void Server::drain()
{
    this->implementation->shared->drain();
}

void Server::enforceTimeouts()
{
    this->implementation->shared->enforceTimeouts();
}

void Server::setLimits(const settings::CallerLimits &limits)
{
    this->implementation->shared->setLimits(limits);
}

std::uint16_t Server::port() const
{
    return static_cast<std::uint16_t>(this->implementation->listener->getPort());
}

std::size_t Server::openExchanges() const
{
    return this->implementation->shared->openExchanges.load();
}

std::size_t Server::openConnections() const
{
    return this->implementation->shared->openConnections.load();
}

} // namespace azurespindle::http
