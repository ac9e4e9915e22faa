#ifndef AZURESPINDLE_MEMBERS_PEER_NETWORK_H
#define AZURESPINDLE_MEMBERS_PEER_NETWORK_H

#include "base/error.h"
#include "members/messages.h"
#include "metrics/registry.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azurespindle::members {

/// What a PeerNetwork tells its owner. Called on the network's thread.
struct PeerCallbacks
{
    /// A member said who it is, on a connection made by either side.
    std::function<void(const MemberRecord &record)> onHello;
    std::function<void(const std::string &from, const Message &message)> onMessage;
    /// A frame could not be decoded; its connection was closed.
    std::function<void(const std::string &from, const Error &error)> onMalformedFrame;
    /// Tells whether a member can be reached; unset: it can. Tests cut links here: a connection
    /// breaks with the first frame from a member that cannot be.
    std::function<bool(const std::string &member)> isReachable {};
};

/// Frames between entry processes: TCP, four bytes of length, then msgpack.
///
/// One thread does all I/O. A connection serves both directions; one that nobody wants any more
/// is closed after a while. A frame that does not parse costs only its connection.
class PeerNetwork
{
public:
    /// Frames queued on a connection whose other side does not read; past it, it is closed.
    static constexpr std::size_t maxQueuedBytes = 8'388'608;
    static constexpr std::size_t maxConnections = 4'096;
    static constexpr seconds idleTimeout {30};
    static constexpr seconds connectTimeout {1};

    PeerNetwork(settings::Address listen, metrics::Registry &registry, PeerCallbacks callbacks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Commands (from any thread)

    /// Listens, and runs the network's thread.
    std::error_code start();
    void stop();
    /// Sets what this process says of itself on each new connection.
    void setSelf(const MemberRecord &self);
    /// Sends a message to a member, over a new connection if there is none.
    void send(const MemberRecord &to, const Message &message);
    /// Makes a connection to an address whose member is not known yet.
    void dial(const std::string &address);
    /// Closes the connections to a member; the next send makes a new one.
    void drop(const std::string &member);

    // Queries

    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace azurespindle::members

#endif
