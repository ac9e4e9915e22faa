#ifndef AZURESPINDLE_REVIEW_SUPPORT_3_KIT_H
#define AZURESPINDLE_REVIEW_SUPPORT_3_KIT_H

// Stand-ins for the cases of the third review: the platform's store, servers, clients, a proxy, and
// the processes under test. Everything listens on loopback addresses and free ports.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

/// Exit codes of a case.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Returns the seconds since the case began.
double seconds();
void sleepSeconds(double duration);

/// Returns the parts as one text.
std::string joined(std::initializer_list<std::string_view> parts);

/// Writes what happened to record.txt, with the time of each line.
class Record
{
public:
    explicit Record(const std::string &path) : file(path) { }
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// A request that a stand-in received.
struct Request
{
    std::string method;
    std::string target;
    std::string path;
    std::map<std::string, std::string> query;   ///< Percent-decoded.
    std::map<std::string, std::string> headers; ///< By lower-case name.
    std::string body;

    std::string header(const std::string &name) const;
    std::string field(const std::string &name) const;
};

/// Reads a whole request from a connection. \param buffer holds bytes that were read further.
/// \return false if the connection ended first.
bool readRequest(int socket, std::string &buffer, Request &request);
/// \return false if the connection is closed.
bool writeAll(int socket, const std::string &bytes);
/// Returns a complete response with a Content-Length.
std::string response(int status, const std::string &headerLines, const std::string &body);
/// Connects to a loopback port. \return the socket, or -1.
int connectTo(std::uint16_t port);
/// Makes the end of a connection a reset.
void resetConnection(int socket);

/// Accepts connections and serves each on a thread of its own.
class TcpServer
{
public:
    using Serve = std::function<void(int socket)>;

    explicit TcpServer(Serve serve);
    ~TcpServer();
    TcpServer(const TcpServer &) = delete;
    TcpServer &operator=(const TcpServer &) = delete;

    std::uint16_t port() const { return this->boundPort; }
    std::string address() const;

private:
    void accept();

    Serve serve;
    int listener = -1;
    std::uint16_t boundPort = 0;
    std::thread thread;
};

/// Serves whole requests on kept connections.
class HttpServer
{
public:
    /// Answers a request on the connection. \return false to close the connection.
    using Handler = std::function<bool(int socket, const Request &request)>;

    explicit HttpServer(Handler handler);
    std::uint16_t port() const { return this->server.port(); }
    std::string address() const { return this->server.address(); }

private:
    Handler handler;
    TcpServer server;
};

/// The platform's metadata store: kv-key, kv-range and kv-watch.
class Store
{
public:
    explicit Store(double historySeconds);

    /// Writes an item. \return its revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);
    std::string address() const { return this->server.address(); }
    std::uint16_t port() const { return this->server.port(); }
    /// Called for each answered call with the path, the revision asked after, and the answer's
    /// size.
    std::function<void(const std::string &, std::uint64_t, std::size_t)> onCall;
    /// Called before each call is answered. \return false to break the connection off.
    std::function<bool(const Request &)> admits;

private:
    struct Change
    {
        std::uint64_t revision;
        double at;
        std::string json;
    };
    struct Item
    {
        std::string value;
        std::uint64_t revision;
        std::uint64_t created;
    };

    bool answer(int socket, const Request &request);
    std::string range(const Request &request);
    std::optional<std::string> watch(const Request &request);
    std::uint64_t change(const std::string &key, const std::optional<std::string> &value);
    static std::string itemJson(const std::string &key, const Item &item);

    const double historySeconds;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 10;
    std::uint64_t compacted = 10; ///< Changes up to this revision are forgotten.
    std::map<std::string, Item> items;
    std::deque<Change> history;
    HttpServer server;
};

/// Passes connections on to a port, at a limited rate, and can be cut.
class Proxy
{
public:
    explicit Proxy(std::uint16_t target) : target(target) { }
    std::string address() const { return this->server.address(); }
    std::uint16_t port() const { return this->server.port(); }
    /// While it is cut, nothing passes either way, and nobody is told.
    void setCut(bool cut) { this->isCut = cut; }
    /// Limits the bytes a second from the target; 0: no limit.
    void setRate(double bytesPerSecond) { this->rate = bytesPerSecond; }

private:
    void pass(int client);
    void copy(int from, int to, bool limited);

    const std::uint16_t target;
    std::atomic<bool> isCut {false};
    std::atomic<double> rate {0.0};
    TcpServer server {[this](int client) { this->pass(client); }};
};

/// An entry VM of a small deployment, with the settings that the deploy file's template yields.
struct EntrySettings
{
    std::string name;
    std::string zone = "waco-a";
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t memberPort = 0;
    std::uint16_t metricsPort = 0;
    std::string store;              ///< IP:PORT of the platform's store.
    std::vector<std::string> seeds; ///< IP:PORT of members.
    double linkMegabits = 1000.0;
    int memoryMegabytes = 110;
};

/// A process under test: `target/azurespindle serve SETTINGS`, started in the repository's root.
class Entry
{
public:
    Entry(EntrySettings settings, std::string folder);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    bool start();
    void signal(int number) const;
    /// Ends it, if it runs, and waits until it is gone.
    void stop();
    /// Returns true if it has ended by itself.
    bool ended();
    /// Waits until its readiness answers 200.
    bool awaitReady(double timeout) const;
    const EntrySettings &settings() const { return this->given; }
    pid_t id() const { return this->process; }

private:
    const EntrySettings given;
    const std::string folder;
    pid_t process = -1;
};

/// What a client saw of an answer.
struct Answer
{
    int status = 0; ///< 0 if there was none.
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;
};

/// Sends a request on a new connection and reads the answer.
Answer call(std::uint16_t port, const std::string &request, double timeout);
/// Reads one answer with a length from a kept connection. \param buffer holds bytes read further.
/// \return its status; 0 if the connection ended.
int readAnswer(int socket, std::string &buffer);
/// Returns the resident memory of a process, in MB, as the platform measures it.
int residentMegabytes(pid_t process);
/// Returns a port that is free now.
std::uint16_t freePort();
/// The arguments of a case: the path of its record, and a temporary folder.
struct Arguments
{
    std::string record;
    std::string folder;
};

/// Reads the arguments; ends the program if they are missing.
Arguments readArguments(int count, char **values);
/// Returns true unless TROUBLE=0 asks for the run without the disruption.
bool troubled();

} // namespace review3

#endif
