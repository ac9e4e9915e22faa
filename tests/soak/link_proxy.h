#ifndef AZURESPINDLE_TESTS_SOAK_LINK_PROXY_H
#define AZURESPINDLE_TESTS_SOAK_LINK_PROXY_H

#include "base/time_types.h"

#include <boost/asio.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace azurespindle::soak {

/// What a link does to the bytes that cross it.
enum class LinkFault {
    None,
    Slow,      ///< Bytes arrive late.
    Silent,    ///< Nothing arrives either way; connections stay open.
    NoAnswers, ///< Bytes reach the far end, and nothing comes back.
};

const char *name(LinkFault fault);

/// Runs the input and output of all links on one thread.
class LinkThread
{
public:
    LinkThread();
    ~LinkThread();
    LinkThread(const LinkThread &) = delete;
    LinkThread &operator=(const LinkThread &) = delete;

    boost::asio::io_context &context() { return this->io; }

private:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

/// A loopback TCP proxy that harms a link from outside the processes at its ends.
///
///     LinkProxy link(links, 23000, 23100); // Listens on 23000, passes on to 23100.
///     link.setFault(LinkFault::Silent);
class LinkProxy
{
public:
    LinkProxy(LinkThread &links, std::uint16_t listenPort, std::uint16_t targetPort);
    ~LinkProxy();
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;

    /// Harms the link from now on, connections that are open included. May be called from any
    /// thread.
    void setFault(LinkFault fault);
    /// Resets every connection that is open.
    void resetAll();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace azurespindle::soak

#endif
