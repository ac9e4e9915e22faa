#ifndef REVIEW_SUPPORT_4_HARNESS_H
#define REVIEW_SUPPORT_4_HARNESS_H

// Stand-ins and helpers for the cases of the fourth review: a store, plain servers, clients, and
// the start of the system's own processes. Everything listens on loopback addresses.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Returns false if the script runs without its disruption.
inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The record of a run: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path) : file(path), start(Clock::now()) { }

    void line(const std::string &text)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(now.count()) / 1000.0);
        this->file << time << text << "\n" << std::flush;
        std::cout << time << text << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start;
};

/// Returns a TCP port that is free now.
inline std::uint16_t freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0) {
        throw std::runtime_error("no free port");
    }
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// An HTTP message as read from a connection.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[each, value] : this->fields) {
            if (strcasecmp(each.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
    /// Returns the status of a response, or 0.
    int status() const
    {
        return this->startLine.size() > 11 ? std::atoi(this->startLine.c_str() + 9) : 0;
    }
};

/// How reading a message ended.
enum class ReadEnd { Complete, Closed, TimedOut };

/// A TCP connection that sends and reads HTTP messages.
class Connection
{
public:
    explicit Connection(int fd = -1) : fd(fd) { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { this->close(); }

    bool connect(std::uint16_t port, int receiveBuffer = 0)
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer > 0) {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            this->close();
            return false;
        }
        const int one = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return true;
    }

    void close()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
            this->fd = -1;
        }
    }

    bool isOpen() const { return this->fd >= 0; }

    /// Returns true if the other side reset the connection, as it does if it closes one with bytes
    /// that it has not read.
    bool wasReset() const { return this->reset; }

    /// Sends all bytes, waiting at most \a patience for the other side to take some.
    bool send(const std::string &bytes, milliseconds patience = milliseconds(10'000))
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            pollfd waiting {this->fd, POLLOUT, 0};
            if (::poll(&waiting, 1, static_cast<int>(patience.count())) <= 0) {
                return false;
            }
            const ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent,
                                         MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN && errno != EINTR) {
                return false;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return true;
    }

    /// Reads one message, with a length, in chunks, or without a body.
    /// \param hasBody false for the response to HEAD, which has none whatever its fields say.
    ReadEnd read(Message &message, milliseconds patience, bool hasBody = true)
    {
        const auto until = Clock::now() + patience;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = this->input.find("\r\n\r\n")) == std::string::npos) {
            const ReadEnd end = this->readMore(until);
            if (end != ReadEnd::Complete) {
                return end;
            }
        }
        message = {};
        std::istringstream head(this->input.substr(0, headEnd));
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        value == std::string::npos ? "" : line.substr(value));
        }
        this->input.erase(0, headEnd + 4);
        if (!hasBody) {
            return ReadEnd::Complete;
        }
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return this->readChunks(message, until);
        }
        const std::size_t length
            = std::strtoull(message.field("Content-Length").c_str(), nullptr, 10);
        while (this->input.size() < length) {
            const ReadEnd end = this->readMore(until);
            if (end != ReadEnd::Complete) {
                return end;
            }
        }
        message.body = this->input.substr(0, length);
        this->input.erase(0, length);
        return ReadEnd::Complete;
    }

private:
    ReadEnd readMore(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
        pollfd waiting {this->fd, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            return ReadEnd::TimedOut;
        }
        char bytes[65'536];
        const ssize_t count = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            this->reset = count < 0;
            return ReadEnd::Closed;
        }
        this->input.append(bytes, static_cast<std::size_t>(count));
        return ReadEnd::Complete;
    }

    ReadEnd readChunks(Message &message, Clock::time_point until)
    {
        while (true) {
            std::size_t line = std::string::npos;
            while ((line = this->input.find("\r\n")) == std::string::npos) {
                const ReadEnd end = this->readMore(until);
                if (end != ReadEnd::Complete) {
                    return end;
                }
            }
            const std::size_t size = std::strtoull(this->input.c_str(), nullptr, 16);
            while (this->input.size() < line + 2 + size + 2) {
                const ReadEnd end = this->readMore(until);
                if (end != ReadEnd::Complete) {
                    return end;
                }
            }
            message.body += this->input.substr(line + 2, size);
            this->input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return ReadEnd::Complete;
            }
        }
    }

    int fd;
    bool reset = false;
    std::string input;
};

/// Accepts connections and serves each in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    Listener(std::uint16_t port, Handler handler) : handler(std::move(handler))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int one = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(this->fd, 4'096) != 0) {
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        }
        std::thread([this] { this->run(); }).detach();
    }

private:
    void run()
    {
        while (true) {
            const int accepted = ::accept(this->fd, nullptr, nullptr);
            if (accepted < 0) {
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->handler(connection);
            }).detach();
        }
    }

    int fd = -1;
    Handler handler;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        unsigned value = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            value = value << 8U
                | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? letters[value >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return text;
}

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: lists and watches items.
class Store
{
public:
    explicit Store(std::uint16_t port)
        : listener(port, [this](Connection &connection) { this->serve(connection); })
    { }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->revision += 1;
        this->items[key] = {value, this->revision};
        this->changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    json itemsAfter(std::uint64_t after) const
    {
        json list = json::array();
        for (const auto &[key, item] : this->items) {
            if (item.revision > after) {
                list.push_back({{"key", key},
                                {"value", encodeBase64(item.value)},
                                {"revision", item.revision},
                                {"created", item.revision},
                                {"lease", 0}});
            }
        }
        return list;
    }

    static std::uint64_t number(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos
            ? 0
            : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
    }

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request, milliseconds(60'000)) == ReadEnd::Complete) {
            json answer;
            {
                std::unique_lock lock(this->mutex);
                if (request.startLine.find("/v1/kv-watch") != std::string::npos) {
                    const std::uint64_t after = number(request.startLine, "after");
                    const milliseconds wait(number(request.startLine, "wait_ms"));
                    this->changed.wait_for(lock, wait, [&] { return this->revision > after; });
                    answer = {{"events", this->itemsAfter(after)}, {"at", this->revision}};
                } else {
                    answer = {{"items", this->itemsAfter(0)},
                              {"has_more", false},
                              {"at", this->revision}};
                }
            }
            const std::string body = answer.dump();
            if (!connection.send(response(200, "Content-Type: application/json\r\n", body))) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, Item> items;
    Listener listener;
};

/// A server of a plain service: runs each request that names it and seals its answer.
class PlainServer
{
public:
    /// Returns how long the server works on a request.
    using WorkTime = std::function<milliseconds(const Message &)>;

    PlainServer(std::string id, std::string service, std::uint16_t port, WorkTime workTime,
                std::size_t bodyBytes = 64)
        : id(std::move(id)), service(std::move(service)), port(port), workTime(std::move(workTime)),
          body(bodyBytes, 'y'),
          listener(port, [this](Connection &connection) { this->serve(connection); })
    { }

    std::string registration(const std::string &zone, unsigned slots) const
    {
        return json {{"service", this->service},
                     {"address", loopback(this->port)},
                     {"zone", zone},
                     {"version", "1"},
                     {"slots", slots},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"sequence", 1},
                     {"born", 1'700'000'000'000}}
            .dump();
    }

    std::size_t runs() const { return this->runCount; }

    /// Returns true if the server has begun to run the request with this id, if the id is no longer
    /// than maxNotedId.
    bool hasRun(const std::string &attempt) const
    {
        const std::lock_guard lock(this->mutex);
        return this->noted.count(attempt) > 0;
    }

private:
    static constexpr std::size_t maxNotedId = 64;

    void note(const std::string &attempt)
    {
        this->runCount += 1;
        if (attempt.size() <= maxNotedId) {
            const std::lock_guard lock(this->mutex);
            this->noted.insert(attempt);
        }
    }

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request, milliseconds(60'000)) == ReadEnd::Complete) {
            const std::string attempt = request.field("Azurespindle-Attempt-Id");
            const std::string echo = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
            const std::string expected = request.field("Azurespindle-Expected-Instance");
            if (!expected.empty() && expected != this->id) {
                connection.send(response(421, echo + "Azurespindle-Not-Executed: 1\r\n", ""));
                continue;
            }
            this->note(attempt);
            sleepFor(this->workTime(request));
            const std::string seal = "Azurespindle-Server-Seal: seal." + this->id + "\r\n";
            std::string answer = response(200, echo + seal, this->body);
            if (request.startLine.rfind("HEAD ", 0) == 0) {
                answer.resize(answer.size() - this->body.size());
            }
            if (!connection.send(answer)) {
                return;
            }
        }
    }

    const std::string id;
    const std::string service;
    const std::uint16_t port;
    const WorkTime workTime;
    const std::string body;
    std::atomic<std::size_t> runCount {0};
    mutable std::mutex mutex;
    std::set<std::string> noted; ///< Ids of requests that it began to run.
    Listener listener;
};

/// A route as the operator writes it.
inline json route(const std::string &name, const std::string &kind, const std::string &service,
                  int timeoutMs, int objectiveMs, int maxAttempts)
{
    return {{"name", name},
            {"host", "shop.example"},
            {"path_prefix", "/" + name + "/"},
            {"route_kind", kind},
            {"service", service},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", objectiveMs},
            {"priority", 1},
            {"max_attempts", maxAttempts},
            {"public", false},
            {"sticky", false}};
}

/// Process of the system, started with the command of the deploy file.
class EntryProcess
{
public:
    EntryProcess(const std::string &folder, std::string name, const std::string &zone,
                 std::uint16_t storePort, const std::vector<std::string> &seeds, unsigned memoryMb,
                 std::uint16_t memberPort)
        : name(std::move(name)), callers(freePort()), ready(freePort())
    {
        // The fields are those of deploy/settings.json.
        const json settings {{"name", this->name},
                             {"zone", zone},
                             {"callerAddress", loopback(this->callers)},
                             {"readyAddress", loopback(this->ready)},
                             {"readyPath", "/v1/readyz"},
                             {"memberAddress", loopback(memberPort)},
                             {"metricsAddress", loopback(freePort())},
                             {"publisherAddress", loopback(storePort)},
                             {"seeds", seeds},
                             {"regionOfZone", {{"north", "region"}, {"south", "region"}}},
                             {"logFormat", "json"},
                             {"descriptors", 4'100},
                             {"processorShare", 0.25},
                             {"linkMegabits", 1'000.0},
                             {"memoryMegabytes", memoryMb},
                             {"bounds",
                              {{"retryShare", 0.2},
                               {"retryBurst", 58},
                               {"retryWindowSeconds", 10},
                               {"stopSeconds", 8}}}};
        this->file = folder + "/" + this->name + ".json";
        this->log = folder + "/" + this->name + ".log";
        std::ofstream(this->file) << settings.dump(2);
        this->start();
    }
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    ~EntryProcess()
    {
        if (!this->reaped) {
            this->kill();
        }
    }

    std::uint16_t callerPort() const { return this->callers; }

    /// Starts the process, also after it has ended.
    void start()
    {
        this->reaped = false;
        this->process = ::fork();
        if (this->process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/azurespindle", "target/azurespindle", "serve", this->file.c_str(),
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    /// Ends the process with SIGKILL and waits for its end.
    void kill()
    {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->reaped = true;
    }

    /// Returns true once the process says that it is ready.
    bool waitReady(milliseconds patience) const
    {
        const auto until = Clock::now() + patience;
        while (Clock::now() < until) {
            if (this->isReady()) {
                return true;
            }
            sleepFor(milliseconds(100));
        }
        return false;
    }

    bool isReady() const
    {
        Connection connection;
        Message answer;
        return connection.connect(this->ready)
            && connection.send("GET /v1/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            && connection.read(answer, milliseconds(1'000)) == ReadEnd::Complete
            && answer.status() == 200;
    }

    bool alive()
    {
        if (!this->reaped && ::waitpid(this->process, &this->endStatus, WNOHANG) == this->process) {
            this->reaped = true;
        }
        return !this->reaped;
    }

    /// Returns a line of /proc/PID/status in kB, such as VmRSS or VmHWM.
    std::size_t kilobytes(const std::string &field) const
    {
        std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind(field + ":", 0) == 0) {
                return std::strtoull(line.c_str() + field.size() + 1, nullptr, 10);
            }
        }
        return 0;
    }

    void signal(int number) const { ::kill(this->process, number); }

private:
    const std::string name;
    const std::uint16_t callers;
    const std::uint16_t ready;
    std::string file;
    std::string log;
    pid_t process = -1;
    bool reaped = false;
    int endStatus = 0;
};

/// A folder for settings and logs that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-4-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        this->path = pattern;
    }
    ~TemporaryFolder()
    {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            const std::string command = "rm -rf '" + this->path + "'";
            static_cast<void>(std::system(command.c_str()));
        }
    }

    std::string path;
};

/// Runs a case with the record that the first argument names, and ends the program without waiting
/// for the threads of its stand-ins. The case has ended its processes by then.
inline int runCase(int count, char **values, const std::function<int(Record &)> &play)
{
    auto &record = *new Record(count > 1 ? values[1] : "record.txt");
    const int code = play(record);
    record.line("exit code " + std::to_string(code));
    std::cout << std::flush;
    ::_exit(code);
}

} // namespace review

#endif
