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

/// Callbacks of a PeerNetwork, called on the network's thread.
struct PeerCallbacks
{
    /// A member identified itself, on a connection opened by either side.
    std::function<void(const MemberRecord &record)> onHello;
    /// \param bytes size of the frame that held the message.
    std::function<void(const std::string &from, const Message &message, std::size_t bytes)>
        onMessage;
    /// A frame was refused, and its connection is closed. \a from is "unknown" before a Hello.
    std::function<void(const std::string &from, const Error &error)> onMalformedFrame;
    /// Returns whether frames from a member are accepted; if unset, all are. Tests use it to
    /// simulate partitions: a connection is closed at the first frame from an unreachable member.
    std::function<bool(const std::string &member)> isReachable {};
};

/// Transport for messages between entry processes over TCP. A frame is a length of four bytes in
/// network byte order, followed by the msgpack payload of one message.
///
/// One thread does all I/O. A connection carries both directions and is closed when idle. A frame
/// that cannot be decoded closes only its own connection.
class PeerNetwork
{
public:
    /// Limit of unsent frames on a connection; one whose peer reads too slowly is closed beyond it.
    static constexpr std::size_t maxQueuedBytes = 8'388'608;
    static constexpr std::size_t maxConnections = 4'096;
    static constexpr seconds idleTimeout {30};
    static constexpr seconds connectTimeout {1};

    PeerNetwork(settings::Address listen, metrics::Registry &registry, PeerCallbacks callbacks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Commands (from any thread)

    /// Listens and starts the network's thread. \return BindFailed if the address cannot be bound.
    std::error_code start();
    void stop();
    /// Sets the record sent in the Hello of each new connection.
    void setSelf(const MemberRecord &self);
    /// Sends a message to a member, connecting first if there is no connection.
    void send(const MemberRecord &to, const Message &message);
    /// Sends a message to several members. It is encoded and kept in memory only once.
    void sendToAll(std::vector<MemberRecord> to, const Message &message);
    /// Connects to an address whose member is not known yet, unless a connection to it exists.
    void dial(const std::string &address);
    /// Closes all connections to a member; the next send opens a new one.
    void drop(const std::string &member);

    // Queries

    /// Returns the port listened on, which the system chose if the address had port 0.
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace azurespindle::members

#endif
