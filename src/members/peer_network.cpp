#include "members/peer_network.h"

#include <boost/asio.hpp>

#include <netinet/tcp.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <thread>
#include <utility>

namespace azurespindle::members {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr std::size_t lengthBytes = 4;
/// TCP_USER_TIMEOUT of connections: how long sent data may stay unacknowledged.
constexpr milliseconds unacknowledgedTimeout {1'500};

std::array<unsigned char, lengthBytes> lengthPrefix(std::size_t size)
{
    return {static_cast<unsigned char>(size >> 24U), static_cast<unsigned char>(size >> 16U),
            static_cast<unsigned char>(size >> 8U), static_cast<unsigned char>(size)};
}

std::size_t lengthOf(const std::array<unsigned char, lengthBytes> &prefix)
{
    return (static_cast<std::size_t>(prefix[0]) << 24U)
        | (static_cast<std::size_t>(prefix[1]) << 16U) | (static_cast<std::size_t>(prefix[2]) << 8U)
        | prefix[3];
}

/// A frame with its length prefix; shared by the links that it waits on.
using Frame = std::shared_ptr<const std::string>;

Frame frame(const Message &message)
{
    const std::string payload = encode(message);
    const auto prefix = lengthPrefix(payload.size());
    return std::make_shared<const std::string>(std::string(prefix.begin(), prefix.end()) + payload);
}

std::optional<Tcp::endpoint> endpointOf(const std::string &text)
{
    const auto address = settings::parseAddress(text);
    if (!address.ok()) {
        return std::nullopt;
    }
    return Tcp::endpoint(asio::ip::make_address(address.value().host), address.value().port);
}

} // namespace

class PeerNetwork::Implementation
{
public:
    Implementation(settings::Address listen, metrics::Registry &registry, PeerCallbacks callbacks)
        : listen(std::move(listen)), registry(registry), callbacks(std::move(callbacks)),
          acceptor(this->context), idleTimer(this->context)
    { }

    /// Connection to a peer, opened by either side.
    struct Link : std::enable_shared_from_this<Link>
    {
        explicit Link(asio::io_context &context) : socket(context), connectTimer(context) { }

        Tcp::socket socket;
        asio::steady_timer connectTimer;
        std::string member;  ///< Name of the peer; empty until known, at the latest from its Hello.
        std::string address; ///< Address connected to; empty for an accepted connection.
        bool open = false;   ///< The connection is established.
        bool writing = false;
        std::deque<Frame> queue;     ///< Frames not yet written completely.
        std::size_t queuedBytes = 0; ///< Bytes in \a queue.
        std::array<unsigned char, lengthBytes> prefix {};
        std::string payload;
        Instant lastUsed = monotonicNow();
        Instant lastHeard;
    };
    using LinkPtr = std::shared_ptr<Link>;

    std::error_code start()
    {
        SystemError error;
        const Tcp::endpoint endpoint(asio::ip::make_address(this->listen.host), this->listen.port);
        this->acceptor.open(endpoint.protocol(), error);
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        this->acceptor.bind(endpoint, error);
        if (!error) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return ErrorCode::BindFailed;
        }
        this->listenPort = this->acceptor.local_endpoint(error).port();
        this->accept();
        this->scheduleIdleCheck();
        this->thread = std::thread([this] { this->context.run(); });
        return {};
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    void send(const MemberRecord &to, const Frame &bytes)
    {
        LinkPtr link = this->linkTo(to);
        if (link == nullptr) {
            link = this->connect(to.memberAddress, to.name);
        }
        if (link != nullptr) {
            this->enqueue(link, bytes);
        }
    }

    void dial(const std::string &address)
    {
        for (const LinkPtr &link : this->links) {
            if (link->address == address) {
                return;
            }
        }
        this->connect(address, "");
    }

    void drop(const std::string &member)
    {
        std::vector<LinkPtr> toClose;
        for (const LinkPtr &link : this->links) {
            if (link->member == member) {
                toClose.push_back(link);
            }
        }
        for (const LinkPtr &link : toClose) {
            this->close(link);
        }
    }

    asio::io_context context;
    MemberRecord self;
    std::uint16_t listenPort = 0;

private:
    LinkPtr linkTo(const MemberRecord &member) const
    {
        LinkPtr connecting;
        // Among several open connections the most recently heard one is used: the others may be
        // left over from before a network partition.
        LinkPtr mostRecent;
        for (const LinkPtr &link : this->links) {
            const bool isSamePeer = link->member == member.name
                || (link->member.empty() && link->address == member.memberAddress);
            if (isSamePeer && link->open
                && (mostRecent == nullptr || link->lastHeard > mostRecent->lastHeard)) {
                mostRecent = link;
            } else if (isSamePeer && !link->open) {
                connecting = link;
            }
        }
        return mostRecent != nullptr ? mostRecent : connecting;
    }

    void accept()
    {
        auto link = std::make_shared<Link>(this->context);
        this->acceptor.async_accept(link->socket, [this, link](const SystemError &error) {
            if (!error && this->links.size() < maxConnections) {
                this->links.insert(link);
                this->onConnected(link);
            }
            if (error != asio::error::operation_aborted) {
                this->accept();
            }
        });
    }

    LinkPtr connect(const std::string &address, const std::string &member)
    {
        const auto endpoint = endpointOf(address);
        if (!endpoint || this->links.size() >= maxConnections) {
            return nullptr;
        }
        auto link = std::make_shared<Link>(this->context);
        link->address = address;
        link->member = member;
        this->links.insert(link);
        link->connectTimer.expires_after(connectTimeout);
        link->connectTimer.async_wait([this, link](const SystemError &error) {
            if (!error && !link->open) {
                this->close(link);
            }
        });
        link->socket.async_connect(*endpoint, [this, link](const SystemError &error) {
            link->connectTimer.cancel();
            if (error) {
                this->close(link);
                return;
            }
            this->onConnected(link);
        });
        return link;
    }

    void onConnected(const LinkPtr &link)
    {
        SystemError ignored;
        link->socket.set_option(Tcp::no_delay(true), ignored);
        // While the path is broken, TCP retransmits with exponential backoff. Closing the
        // connection early lets a new one be established sooner than the next retransmission would
        // succeed.
        const int timeoutMs = static_cast<int>(unacknowledgedTimeout.count());
        setsockopt(link->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs,
                   sizeof(timeoutMs));
        link->lastHeard = monotonicNow();
        link->open = true;
        link->queue.push_front(frame(Hello {protocolVersion, this->self}));
        link->queuedBytes += link->queue.front()->size();
        this->write(link);
        this->readPrefix(link);
    }

    void enqueue(const LinkPtr &link, const Frame &bytes)
    {
        link->lastUsed = monotonicNow();
        link->queuedBytes += bytes->size();
        if (link->queuedBytes > maxQueuedBytes) {
            this->close(link);
            return;
        }
        link->queue.push_back(bytes);
        if (link->open && !link->writing) {
            this->write(link);
        }
    }

    void write(const LinkPtr &link)
    {
        if (link->queue.empty()) {
            link->writing = false;
            return;
        }
        link->writing = true;
        const Frame front = link->queue.front();
        const std::size_t size = front->size();
        this->registry.count(metrics::Counter::FramesSent);
        this->registry.count(metrics::Counter::FrameBytesSent, size);
        asio::async_write(link->socket, asio::buffer(*front),
                          [this, link, front, size](const SystemError &error, std::size_t) {
                              if (error) {
                                  this->close(link);
                                  return;
                              }
                              link->queuedBytes -= size;
                              link->queue.pop_front();
                              this->write(link);
                          });
    }

    void readPrefix(const LinkPtr &link)
    {
        asio::async_read(link->socket, asio::buffer(link->prefix),
                         [this, link](const SystemError &error, std::size_t) {
                             if (error) {
                                 this->close(link);
                                 return;
                             }
                             this->readPayload(link, lengthOf(link->prefix));
                         });
    }

    void readPayload(const LinkPtr &link, std::size_t size)
    {
        if (size == 0 || size > maxFrameBytes) {
            this->refuseFrame(link, {ErrorCode::FrameTooLarge, std::to_string(size) + " bytes"});
            return;
        }
        link->payload.resize(size);
        asio::async_read(link->socket, asio::buffer(link->payload),
                         [this, link](const SystemError &error, std::size_t) {
                             if (error) {
                                 this->close(link);
                                 return;
                             }
                             this->handlePayload(link);
                         });
    }

    void handlePayload(const LinkPtr &link)
    {
        this->registry.count(metrics::Counter::FramesReceived);
        this->registry.count(metrics::Counter::FrameBytesReceived,
                             link->payload.size() + lengthBytes);
        link->lastUsed = monotonicNow();
        link->lastHeard = link->lastUsed;
        const Result<Message> message = decode(link->payload);
        if (!message.ok()) {
            this->refuseFrame(link, message.error());
            return;
        }
        const auto *hello = std::get_if<Hello>(&message.value());
        if (this->isUnreachable(hello != nullptr ? hello->self.name : link->member)) {
            this->close(link);
            return;
        }
        if (hello != nullptr) {
            link->member = hello->self.name;
            this->callbacks.onHello(hello->self);
        } else if (link->member.empty()) {
            this->refuseFrame(link, {ErrorCode::FrameMalformed, "first message is not a Hello"});
            return;
        } else {
            this->callbacks.onMessage(link->member, message.value(),
                                      link->payload.size() + lengthBytes);
        }
        if (link->open) {
            this->readPrefix(link);
        }
    }

    bool isUnreachable(const std::string &member) const
    {
        return !member.empty() && this->callbacks.isReachable
            && !this->callbacks.isReachable(member);
    }

    void refuseFrame(const LinkPtr &link, const Error &error)
    {
        this->callbacks.onMalformedFrame(link->member.empty() ? "unknown" : link->member, error);
        this->close(link);
    }

    void close(const LinkPtr &link)
    {
        SystemError ignored;
        link->open = false;
        link->connectTimer.cancel();
        link->socket.close(ignored);
        this->links.erase(link);
    }

    void scheduleIdleCheck()
    {
        this->idleTimer.expires_after(idleTimeout / 3);
        this->idleTimer.async_wait([this](const SystemError &error) {
            if (!error) {
                this->closeIdleLinks();
                this->scheduleIdleCheck();
            }
        });
    }

    void closeIdleLinks()
    {
        const Instant now = monotonicNow();
        std::vector<LinkPtr> idle;
        for (const LinkPtr &link : this->links) {
            if (now - link->lastUsed > idleTimeout) {
                idle.push_back(link);
            }
        }
        for (const LinkPtr &link : idle) {
            this->close(link);
        }
    }

    settings::Address listen;
    metrics::Registry &registry;
    PeerCallbacks callbacks;
    Tcp::acceptor acceptor;
    asio::steady_timer idleTimer;
    std::set<LinkPtr> links;
    std::thread thread;
};

PeerNetwork::PeerNetwork(settings::Address listen, metrics::Registry &registry,
                         PeerCallbacks callbacks)
    : implementation(
        std::make_unique<Implementation>(std::move(listen), registry, std::move(callbacks)))
{ }

PeerNetwork::~PeerNetwork()
{
    this->stop();
}

std::error_code PeerNetwork::start()
{
    return this->implementation->start();
}

void PeerNetwork::stop()
{
    this->implementation->stop();
}

void PeerNetwork::setSelf(const MemberRecord &self)
{
    Implementation &own = *this->implementation;
    asio::post(own.context, [&own, self] { own.self = self; });
}

void PeerNetwork::send(const MemberRecord &to, const Message &message)
{
    Implementation &own = *this->implementation;
    asio::post(own.context, [&own, to, bytes = frame(message)] { own.send(to, bytes); });
}

void PeerNetwork::sendToAll(std::vector<MemberRecord> to, const Message &message)
{
    Implementation &own = *this->implementation;
    asio::post(own.context, [&own, to = std::move(to), bytes = frame(message)] {
        for (const MemberRecord &member : to) {
            own.send(member, bytes);
        }
    });
}

void PeerNetwork::dial(const std::string &address)
{
    Implementation &own = *this->implementation;
    asio::post(own.context, [&own, address] { own.dial(address); });
}

void PeerNetwork::drop(const std::string &member)
{
    Implementation &own = *this->implementation;
    asio::post(own.context, [&own, member] { own.drop(member); });
}

std::uint16_t PeerNetwork::port() const
{
    return this->implementation->listenPort;
}

} // namespace azurespindle::members
