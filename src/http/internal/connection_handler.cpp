#include "http/internal/connection_handler.h"

#include "http/internal/connection_exchange.h"
#include "http/problem.h"

#include <algorithm>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;
namespace Http = Pistache::Http;

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// Returns false for a Content-Length that the library reads as 0 because it is no number.
bool hasGoodLength(const ServerRequest &request)
{
    const std::string length = request.header("content-length");
    return std::all_of(length.begin(), length.end(),
                       [](unsigned char letter) { return std::isdigit(letter) != 0; });
}

ServerRequest toServerRequest(const Http::Request &request)
{
    ServerRequest converted;
    converted.method = Http::methodString(request.method());
    converted.path = request.resource();
    for (auto field = request.query().parameters_begin(); field != request.query().parameters_end();
         ++field) {
        converted.query[field->first] = field->second;
    }
    for (const auto &[name, raw] : request.headers().rawList()) {
        converted.headers[lowerCase(name)] = raw.value();
    }
    converted.body = request.body();
    return converted;
}

} // namespace

ConnectionHandler::ConnectionHandler(std::shared_ptr<ServerState> state) : state(std::move(state))
{ }

std::shared_ptr<PostingTransport> ConnectionHandler::owner()
{
    auto *own = static_cast<PostingTransport *>(this->transport());
    return own->shared_from_this();
}

void ConnectionHandler::onConnection(const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection
        = attachConnection(peer, this->state->limits.headerAndBodyBytes);
    const std::size_t open = this->state->openConnections += 1;
    if (open > this->state->limits.connections) {
        this->refuse(*connection, peer, statusUnavailable, "too many connections");
    }
}

void ConnectionHandler::onDisconnection(const std::shared_ptr<Peer> &peer)
{
    noteGone(*this->state, peer);
}

void ConnectionHandler::onInput(const char *buffer, std::size_t length,
                                const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || connection->closing) {
        return;
    }
    if (connection->exchange != nullptr) {
        // A second request before the first answer ended: it is not read, and the connection is
        // closed after the present answer, which tells the caller to send it again elsewhere.
        connection->closing = true;
        return;
    }
    if (!connection->requestBegun) {
        connection->requestBegun = true;
        connection->lastProgress = monotonicNow();
    }
    try {
        if (!connection->parser.feed(buffer, length)) {
            this->refuse(*connection, peer, statusTooLarge, "the request is too large");
            return;
        }
        if (connection->parser.parse() == Http::Private::State::Done) {
            this->dispatch(*connection, peer);
        }
    } catch (const Http::HttpError &error) {
        this->refuse(*connection, peer, error.code(), error.reason());
    } catch (const std::exception &error) {
        this->refuse(*connection, peer, statusBadRequest, error.what());
    }
}

void ConnectionHandler::dispatch(Connection &connection, const std::shared_ptr<Peer> &peer)
{
    const ServerRequest request = toServerRequest(connection.parser.request);
    if (!hasGoodLength(request)) {
        this->refuse(connection, peer, statusBadRequest, "content-length is not a number");
        return;
    }
    connection.parser.reset();
    connection.requestBegun = false;
    const bool close = lowerCase(request.header("connection")) == "close" || this->state->draining;
    auto exchange = std::make_shared<ConnectionExchange>(this->state, this->owner(), peer, close);
    connection.exchange = exchange;
    this->state->handler(request, exchange);
}

void ConnectionHandler::refuse(Connection &connection, const std::shared_ptr<Peer> &peer,
                               int status, const std::string &detail)
{
    auto exchange = std::make_shared<ConnectionExchange>(this->state, this->owner(), peer, true);
    connection.exchange = exchange;
    connection.closing = true;
    const Problem problem {status, 0, "malformed-request", detail, "not-run", milliseconds(0)};
    exchange->respond(status, problem.headers(), problem.body());
}

} // namespace azurespindle::http::internal
