#include "link_proxy.h"

#include <array>
#include <set>
#include <utility>

namespace azurespindle::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr milliseconds slowDelay {250};
/// How often a link that is silent looks whether it may pass bytes on again.
constexpr milliseconds silentPoll {20};
constexpr std::size_t bufferBytes = 32'768;

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

} // namespace

const char *name(LinkFault fault)
{
    constexpr const char *names[] = {"none", "slow", "silent", "no-answers"};
    return names[static_cast<std::size_t>(fault)];
}

LinkThread::LinkThread() : work(asio::make_work_guard(this->io)), thread([this] { this->io.run(); })
{ }

LinkThread::~LinkThread()
{
    this->io.stop();
    this->thread.join();
}

namespace {

/// One connection through a link, with a pump for each direction.
class Crossing : public std::enable_shared_from_this<Crossing>
{
public:
    Crossing(tcp::socket near, std::shared_ptr<const std::atomic<LinkFault>> fault)
        : near(std::move(near)), far(this->near.get_executor()), fault(std::move(fault))
    { }

    void start(std::uint16_t targetPort)
    {
        this->far.async_connect(loopback(targetPort),
                                [self = this->shared_from_this()](const error_code &error) {
                                    if (error) {
                                        self->reset();
                                        return;
                                    }
                                    self->read(self->there);
                                    self->read(self->back);
                                });
    }

    void reset()
    {
        error_code ignored; // Both may be closed already.
        for (tcp::socket *each : {&this->near, &this->far}) {
            each->set_option(asio::socket_base::linger(true, 0), ignored);
            each->close(ignored);
        }
    }

    bool open() const { return this->near.is_open(); }

private:
    struct Pump
    {
        tcp::socket &from;
        tcp::socket &to;
        bool answers;
        std::array<char, bufferBytes> buffer {};
        asio::steady_timer timer;
    };

    void read(Pump &pump)
    {
        pump.from.async_read_some(
            asio::buffer(pump.buffer),
            [self = this->shared_from_this(), &pump](const error_code &error, std::size_t count) {
                if (error == asio::error::eof) {
                    self->passOn(pump, 0);
                } else if (error) {
                    self->reset();
                } else {
                    self->passOn(pump, count);
                }
            });
    }

    /// Passes bytes on as the fault of the link lets it; none: the end of the stream.
    void passOn(Pump &pump, std::size_t count)
    {
        const LinkFault now = *this->fault;
        if (now == LinkFault::Silent || (now == LinkFault::NoAnswers && pump.answers)) {
            this->after(pump, silentPoll, [self = this->shared_from_this(), &pump, count] {
                self->passOn(pump, count);
            });
        } else if (now == LinkFault::Slow) {
            this->after(pump, slowDelay, [self = this->shared_from_this(), &pump, count] {
                self->write(pump, count);
            });
        } else {
            this->write(pump, count);
        }
    }

    template<typename Work> void after(Pump &pump, milliseconds delay, Work work)
    {
        pump.timer.expires_after(delay);
        pump.timer.async_wait([self = this->shared_from_this(), work](const error_code &) {
            if (self->open()) {
                work();
            }
        });
    }

    void write(Pump &pump, std::size_t count)
    {
        if (count == 0) {
            error_code ignored; // The other end may have closed first.
            pump.to.shutdown(tcp::socket::shutdown_send, ignored);
            this->ends += 1;
            if (this->ends == 2) {
                this->near.close(ignored);
                this->far.close(ignored);
            }
            return;
        }
        asio::async_write(
            pump.to, asio::buffer(pump.buffer.data(), count),
            [self = this->shared_from_this(), &pump](const error_code &error, std::size_t) {
                if (error) {
                    self->reset();
                } else {
                    self->read(pump);
                }
            });
    }

    tcp::socket near;
    tcp::socket far;
    const std::shared_ptr<const std::atomic<LinkFault>> fault; ///< Outlives the link.
    int ends = 0;
    Pump there {this->near, this->far, false, {}, asio::steady_timer(this->near.get_executor())};
    Pump back {this->far, this->near, true, {}, asio::steady_timer(this->near.get_executor())};
};

} // namespace

class LinkProxy::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(LinkThread &links, std::uint16_t listenPort, std::uint16_t targetPort)
        : io(links.context()), acceptor(this->io, loopback(listenPort)), targetPort(targetPort)
    { }

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const error_code &error, tcp::socket near) {
                if (error) {
                    return; // The proxy was closed.
                }
                auto crossing = std::make_shared<Crossing>(std::move(near), self->fault);
                self->crossings.insert(crossing);
                crossing->start(self->targetPort);
                std::erase_if(self->crossings, [](const auto &each) { return !each->open(); });
                self->accept();
            });
    }

    void resetAll()
    {
        for (const auto &each : std::exchange(this->crossings, {})) {
            each->reset();
        }
    }

    void close()
    {
        error_code ignored; // Nothing is to be done about a listener that does not close.
        this->acceptor.close(ignored);
        this->resetAll();
    }

    asio::io_context &io;
    const std::shared_ptr<std::atomic<LinkFault>> fault
        = std::make_shared<std::atomic<LinkFault>>(LinkFault::None);

private:
    tcp::acceptor acceptor;
    const std::uint16_t targetPort;
    std::set<std::shared_ptr<Crossing>> crossings;
};

LinkProxy::LinkProxy(LinkThread &links, std::uint16_t listenPort, std::uint16_t targetPort)
    : implementation(std::make_shared<Implementation>(links, listenPort, targetPort))
{
    asio::post(this->implementation->io, [self = this->implementation] { self->accept(); });
}

LinkProxy::~LinkProxy()
{
    asio::post(this->implementation->io, [self = this->implementation] { self->close(); });
}

void LinkProxy::setFault(LinkFault fault)
{
    *this->implementation->fault = fault;
}

void LinkProxy::resetAll()
{
    asio::post(this->implementation->io, [self = this->implementation] { self->resetAll(); });
}

} // namespace azurespindle::soak
