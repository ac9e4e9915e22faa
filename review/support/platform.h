#ifndef AZURESPINDLE_REVIEW_SUPPORT_PLATFORM_H
#define AZURESPINDLE_REVIEW_SUPPORT_PLATFORM_H

#include "http.h"

#include <sys/types.h>

#include <condition_variable>
#include <cstdio>
#include <map>

namespace review {

/// What a case sent, got and did, line by line with the time since its start.
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    /// Writes a line to the record.
    void note(const std::string &line);
    /// Writes a line to the record and to standard output.
    void tell(const std::string &line);

private:
    std::mutex mutex;
    std::FILE *file = nullptr;
    Clock::time_point started = Clock::now();
};

/// The platform's store: lists items and answers watches.
class Store
{
public:
    Store();

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    std::uint16_t port() const { return this->server.port(); }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    bool answer(const Message &request, const Socket &connection);
    std::string list(std::uint64_t after, bool asEvents) const;

    std::mutex mutex; ///< Guards the fields below.
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    HttpServer server;
};

/// Settings of an entry process, as deploy/settings.json renders them for a small deployment.
struct EntrySettings
{
    std::string name;
    std::string zone;
    std::uint16_t storePort = 0;
    std::vector<std::uint16_t> seeds; ///< Member ports of up to three entry processes.
    std::uint16_t callerPort = freePort();
    std::uint16_t readyPort = freePort();
    std::uint16_t memberPort = freePort();
    std::uint16_t metricsPort = freePort();
};

/// An entry process, started with the command of the deploy file. Killed when it is destroyed.
class EntryProcess
{
public:
    /// \param root the repository
    /// \param folder where its settings file and its log are written
    EntryProcess(EntrySettings settings, const std::string &root, const std::string &folder);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    const EntrySettings &settings() const { return this->given; }
    void signal(int number) const;
    /// Returns true if the process has ended by itself.
    bool hasEnded();
    /// Returns the memory that it uses, in MB.
    std::size_t memoryMegabytes() const;
    /// Returns the status of a readiness question, or 0 if there is no answer in a second.
    int readiness() const;

private:
    EntrySettings given;
    pid_t process = 0;
    int endStatus = 0;
};

/// Waits until all processes say that they are ready.
bool waitUntilReady(const std::vector<const EntryProcess *> &processes, milliseconds patience);

/// Returns the entry of a server in the store.
std::string serverEntry(const std::string &service, const std::string &zone, std::uint16_t port,
                        unsigned slots, const std::string &state = "ready");

/// What a client got for one request.
struct Answer
{
    ReadEnd end = ReadEnd::Closed;
    Message message; ///< As much as came of it.
    milliseconds took {0};

    bool whole() const { return this->end == ReadEnd::Whole; }
    int status() const { return this->whole() ? this->message.status() : 0; }
};

/// Sends a request on a connection and waits for its answer.
Answer exchange(const Socket &connection, const std::string &request, milliseconds patience);

/// A temporary folder, removed with all in it.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return this->folder; }

private:
    std::string folder;
};

/// Returns false if TROUBLE=0 is set: the case then leaves its disruption out.
bool troubleWanted();

} // namespace review

#endif
