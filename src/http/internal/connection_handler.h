#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_HANDLER_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_HANDLER_H

#include "http/internal/connection.h"
#include "http/internal/posting_transport.h"

#include <pistache/listener.h>

#include <memory>
#include <string>

namespace azurespindle::http::internal {

/// Pistache handler that parses requests and passes them to the server's request handler.
class ConnectionHandler : public Pistache::Tcp::Handler
{
public:
    PROTOTYPE_OF(Pistache::Tcp::Handler, ConnectionHandler)

    explicit ConnectionHandler(std::shared_ptr<ServerState> state);

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void onInput(const char *buffer, std::size_t length,
                 const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;

private:
    std::shared_ptr<PostingTransport> owningTransport();
    void processNextRequest(Connection &connection,
                            const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void dispatch(const ServerRequest &request, Connection &connection,
                  const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void refuse(const std::shared_ptr<Pistache::Tcp::Peer> &peer, const RejectedRequest &rejection);

    std::shared_ptr<ServerState> state;
};

} // namespace azurespindle::http::internal

#endif
