#include "engine.h"

#include <poll.h>
#include <sys/socket.h>

#include <cstdlib>

namespace review {
namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

using Fields = std::vector<std::pair<std::string, std::string>>;

const Fields jsonFields {{"Content-Type", "application/json"}};

/// Returns true if the far end has closed the connection.
bool closedByPeer(const Socket &connection)
{
    pollfd waited {connection.number(), POLLIN, 0};
    if (::poll(&waited, 1, 0) <= 0) {
        return false;
    }
    char byte = 0;
    return ::recv(connection.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/// Returns the text value of a field of a flat JSON object.
std::string jsonText(const std::string &document, const std::string &name)
{
    const std::string key = "\"" + name + "\":\"";
    const std::size_t found = document.find(key);
    if (found == std::string::npos) {
        return "";
    }
    const std::size_t begin = found + key.size();
    return document.substr(begin, document.find('"', begin) - begin);
}

std::string eventText(int number, const std::string &request)
{
    const std::string digits = std::to_string(number);
    return "id: " + digits + "\ndata: " + request + ":" + digits + "\n\n";
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

Engine::Engine(std::string id, EngineTraits traits, Copies &copies, Record &record)
    : name(std::move(id)), traits(traits), copies(&copies), record(&record),
      server(0, [this](const Message &request, const Socket &connection) {
          return this->answer(request, connection);
      })
{ }

std::string Engine::address() const
{
    return "127.0.0.1:" + std::to_string(this->server.port());
}

void Engine::exit()
{
    this->exited = true;
    this->server.crash();
}

std::vector<Engine::Work> Engine::works() const
{
    const std::lock_guard lock(this->mutex);
    return this->worked;
}

void Engine::beginWork(const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    this->worked.push_back({request, Clock::now(), {}});
}

void Engine::endWork(const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    for (Work &each : this->worked) {
        if (each.request == request && each.ended == Clock::time_point {}) {
            each.ended = Clock::now();
        }
    }
    this->eventsByRun.erase(request);
}

void Engine::saveCopy(const std::string &copy, int events) const
{
    const std::lock_guard lock(this->copies->mutex);
    this->copies->eventsByCopy[copy] = events;
}

bool Engine::takeCopy(const std::string &copy) const
{
    const std::lock_guard lock(this->copies->mutex);
    return this->copies->eventsByCopy.erase(copy) > 0;
}

bool Engine::answer(const Message &request, const Socket &connection)
{
    const std::string target = request.target();
    if (target == "/v1/report") {
        const std::string state = this->draining ? "draining" : "ready";
        return connection.send(responseText(statusOk, jsonFields, R"({"state":")" + state + "\"}"));
    }
    if (target == "/v1/kv-move") {
        return this->move(request, connection);
    }
    if (target.rfind("/v1/", 0) == 0) {
        return connection.send(responseText(statusOk, jsonFields, "{}"));
    }
    return this->run(request, connection);
}

bool Engine::move(const Message &request, const Socket &connection)
{
    const std::string id = jsonText(request.body, "id");
    const bool final = request.body.find("\"final\":true") != std::string::npos;
    this->record->note(this->name + " asked to move " + id + " to " + jsonText(request.body, "to")
                       + (final ? ", final" : ""));
    int events = 0;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->eventsByRun.find(id);
        if (found == this->eventsByRun.end()) {
            return connection.send(responseText(statusNotFound, jsonFields, "{}"));
        }
        events = found->second;
        if (final) {
            this->stopped.insert(id);
        }
    }
    const std::string handle = "copy-" + id;
    this->saveCopy(this->address() + "/" + handle, events);
    return connection.send(responseText(statusOk, jsonFields,
                                        R"({"kv_handle":")" + handle + R"(","created":)"
                                            + std::to_string(events) + "}"));
}

bool Engine::run(const Message &request, const Socket &connection)
{
    const std::string id = request.field("Azurespindle-Attempt-Id");
    const std::string source = request.field("Kv-From");
    Fields fields {{"Azurespindle-Attempt-Id", id}};
    const bool misdirected = request.field("Azurespindle-Expected-Instance") != this->name;
    if (misdirected || (!source.empty() && !this->takeCopy(source))) {
        fields.emplace_back("Azurespindle-Not-Executed", "1");
        return connection.send(
            responseText(misdirected ? statusMisdirected : statusUnavailable, fields, ""));
    }
    const std::string backup = request.field("Azurespindle-Kv-Backup");
    const int total = std::atoi(request.body.substr(request.body.find('=') + 1).c_str());
    const std::string last = request.field("Last-Event-Id");
    int number = std::atoi(last.c_str());
    this->record->note(this->name + " begins " + id + " after event " + std::to_string(number)
                       + (source.empty() ? "" : ", from the copy " + source)
                       + (backup.empty() ? "" : ", with a backup at " + backup));
    this->beginWork(id);
    std::this_thread::sleep_for(this->traits.firstEvent);
    bool connected = connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                     "Azurespindle-Attempt-Id: "
                                     + id + "\r\nAzurespindle-Server-Seal: seal-of-" + this->name
                                     + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string copyAtBackup = backup + "/" + id;
    bool moved = false;
    while (number < total && !moved && !this->exited && (connected || !this->traits.dropsOnClose)) {
        number += 1;
        connected = connected && connection.send(chunk(eventText(number, id)))
            && !closedByPeer(connection);
        if (!backup.empty()) {
            this->saveCopy(copyAtBackup, number);
        }
        {
            const std::lock_guard lock(this->mutex);
            this->eventsByRun[id] = number;
            moved = this->stopped.count(id) > 0;
        }
        std::this_thread::sleep_for(this->traits.eventInterval);
    }
    this->endWork(id);
    this->record->note(this->name + " ends " + id + " at event " + std::to_string(number)
                       + (connected ? "" : ", its connection had been closed"));
    const bool complete = number >= total && connected && !moved;
    return complete && connection.send("0\r\n\r\n");
}

} // namespace review
