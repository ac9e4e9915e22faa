#include "http/server.h"

#include "http/internal/connection_handler.h"
#include "http/internal/posting_transport.h"

#include <pistache/listener.h>

#include <array>
#include <thread>

namespace azurespindle::http {
namespace {

/// Connections that wait to be accepted. The system drops a connect beyond it without an answer, so
/// that it takes as many as a server serves by default; net.core.somaxconn caps it.
constexpr int listenBacklog = 4'096;
/// Longest wait for unsent responses when the server stops.
constexpr milliseconds stopFlushTime {250};
constexpr milliseconds stopPollInterval {1};

} // namespace

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

const char *refusalReasonName(RefusalReason reason)
{
    static constexpr std::array<const char *, refusalReasonCount> names {
        "malformed",        "header-too-large", "trailers-too-large", "body-too-large",
        "header-timed-out", "body-timed-out",   "memory-short",       "too-many-connections"};
    return names.at(static_cast<std::size_t>(reason));
}

/// Owns the listener, which creates one transport for each worker thread.
class Server::Implementation
{
public:
    Implementation(settings::Address address, settings::CallerLimits limits, std::size_t threads,
                   Handler handler, RefusalHandler onRefusal)
        : address(std::move(address)), threads(threads),
          shared(std::make_shared<internal::ServerState>(limits, std::move(handler),
                                                         std::move(onRefusal)))
    { }

    settings::Address address;
    std::size_t threads;
    std::shared_ptr<internal::ServerState> shared;
    std::unique_ptr<Pistache::Tcp::Listener> listener;
};

Server::Server(settings::Address address, settings::CallerLimits limits, std::size_t threads,
               Handler handler, RefusalHandler onRefusal)
    : implementation(std::make_unique<Implementation>(std::move(address), limits, threads,
                                                      std::move(handler), std::move(onRefusal)))
{ }

Server::~Server()
{
    this->stop();
}

std::error_code Server::start()
{
    Implementation &impl = *this->implementation;
    const Pistache::Address address(impl.address.host, Pistache::Port(impl.address.port));
    try {
        impl.listener = std::make_unique<Pistache::Tcp::Listener>(address);
        impl.listener->init(
            impl.threads,
            Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
                | Pistache::Tcp::Options::NoDelay,
            "", listenBacklog);
        auto handler = std::make_shared<internal::ConnectionHandler>(impl.shared);
        const std::shared_ptr<internal::ServerState> shared = impl.shared;
        impl.listener->setTransportFactory(
            [handler, shared] { return internal::PostingTransport::create(handler, shared); });
        impl.listener->setHandler(handler);
        impl.listener->bind();
        impl.listener->runThreaded();
    } catch (const std::exception &) {
        return ErrorCode::BindFailed;
    }
    return {};
}

void Server::stop()
{
    Implementation &impl = *this->implementation;
    if (impl.listener == nullptr) {
        return;
    }
    impl.shared->refuseRequests();
    const Instant deadline = monotonicNow() + stopFlushTime;
    while (impl.shared->closeFinished(deadline).value_or(0) > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    impl.listener->shutdown();
    impl.listener.reset();
}

void Server::refuseRequests()
{
    this->implementation->shared->refuseRequests();
}

void Server::drain()
{
    this->implementation->shared->drain();
}

void Server::enforceTimeouts(bool memoryShort)
{
    this->implementation->shared->enforceTimeouts(memoryShort);
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

void Server::probe(const std::function<void()> &done)
{
    this->implementation->shared->probe(done);
}

std::uint64_t Server::progress() const
{
    return this->implementation->shared->progress.load();
}

std::size_t Server::unsentBytes() const
{
    return this->implementation->shared->unsentBytes->load();
}

std::size_t Server::inputBytes() const
{
    return this->implementation->shared->inputBudget.usedBytes();
}

} // namespace azurespindle::http
