#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace review {
namespace {

constexpr double millisecondsPerSecond = 1'000.0;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int exitNotStarted = 127;
constexpr milliseconds readyPoll {100};
constexpr milliseconds readyPatience {1'000};

std::string base64(const std::string &bytes)
{
    static constexpr char digits[]
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        unsigned value = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            value <<= 8U;
            value |= index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[(value >> (6U * (3U - index))) & 63U] : '=';
        }
    }
    return text;
}

/// Returns the value of a field of the query of a target.
std::string queryField(const std::string &target, const std::string &name)
{
    const std::size_t found = target.find(name + "=");
    if (found == std::string::npos) {
        return "";
    }
    const std::size_t begin = found + name.size() + 1;
    return target.substr(begin, std::min(target.find('&', begin), target.size()) - begin);
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string settingsText(const EntrySettings &settings)
{
    std::string seeds;
    for (const std::uint16_t seed : settings.seeds) {
        seeds += (seeds.empty() ? "" : ",") + quoted(address(seed));
    }
    return R"({"name":)" + quoted(settings.name) + R"(,"zone":)" + quoted(settings.zone)
        + R"(,"callerAddress":)" + quoted(address(settings.callerPort)) + R"(,"readyAddress":)"
        + quoted(address(settings.readyPort)) + R"(,"readyPath":"/v1/readyz","memberAddress":)"
        + quoted(address(settings.memberPort)) + R"(,"metricsAddress":)"
        + quoted(address(settings.metricsPort)) + R"(,"publisherAddress":)"
        + quoted(address(settings.storePort)) + R"(,"seeds":[)" + seeds
        + R"(],"regionOfZone":{"waco-a":"tx-central","waco-b":"tx-central"},"logFormat":"json",)"
          R"("descriptors":4100,"processorShare":0.25,"linkMegabits":1000.0,"bounds":{)"
          R"("retryShare":0.2,"retryBurst":58,"retryWindowSeconds":10,"stopSeconds":8}})";
}

} // namespace

Record::Record(const std::string &file) : file(std::fopen(file.c_str(), "w"))
{
    if (this->file == nullptr) {
        throw std::runtime_error("cannot write " + file);
    }
}

Record::~Record()
{
    std::fclose(this->file);
}

void Record::note(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    const std::chrono::duration<double> since = Clock::now() - this->started;
    std::fprintf(this->file, "%8.3f %s\n", since.count(), line.c_str());
    std::fflush(this->file);
}

void Record::tell(const std::string &line)
{
    this->note(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

Store::Store()
    : server(0, [this](const Message &request, const Socket &connection) {
          return this->answer(request, connection);
      })
{ }

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->items[key] = {value, this->revision, false};
    this->changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->items[key] = {"", this->revision, true};
    this->changed.notify_all();
}

std::string Store::list(std::uint64_t after, bool asEvents) const
{
    std::string text;
    for (const auto &[key, item] : this->items) {
        if (item.revision <= after || (item.deleted && !asEvents)) {
            continue;
        }
        text += text.empty() ? "" : ",";
        text += R"({"key":)" + quoted(key) + R"(,"revision":)" + std::to_string(item.revision);
        text += item.deleted
            ? R"(,"deleted":true})"
            : R"(,"created":1,"lease":0,"value":)" + quoted(base64(item.value)) + "}";
    }
    return text;
}

bool Store::answer(const Message &request, const Socket &connection)
{
    const std::string target = request.target();
    const std::vector<std::pair<std::string, std::string>> fields {
        {"Content-Type", "application/json"}};
    std::unique_lock lock(this->mutex);
    std::string body;
    if (target.rfind("/v1/kv-range", 0) == 0) {
        body = R"({"items":[)" + this->list(0, false) + R"(],"has_more":false,"at":)"
            + std::to_string(this->revision) + "}";
    } else if (target.rfind("/v1/kv-watch", 0) == 0) {
        const auto after = std::strtoull(queryField(target, "after").c_str(), nullptr, 10);
        const milliseconds wait(std::strtol(queryField(target, "wait_ms").c_str(), nullptr, 10));
        this->changed.wait_for(lock, wait, [&] { return this->revision > after; });
        body = R"({"events":[)" + this->list(after, true) + R"(],"at":)"
            + std::to_string(this->revision) + "}";
    } else {
        lock.unlock();
        return connection.send(responseText(statusNotFound, fields, "{}"));
    }
    lock.unlock();
    return connection.send(responseText(statusOk, fields, body));
}

EntryProcess::EntryProcess(EntrySettings settings, const std::string &root,
                           const std::string &folder)
    : given(std::move(settings))
{
    std::string file = folder + "/" + this->given.name + ".json";
    std::ofstream(file) << settingsText(this->given);
    const std::string log = folder + "/" + this->given.name + ".log";
    std::string program = "target/azurespindle";
    std::string verb = "serve";
    char *const arguments[] = {program.data(), verb.data(), file.data(), nullptr};
    this->process = ::fork();
    if (this->process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case, however that ends.
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::chdir(root.c_str()) == 0) {
            ::execv(program.c_str(), arguments);
        }
        ::_exit(exitNotStarted);
    }
}

EntryProcess::~EntryProcess()
{
    if (!this->hasEnded()) {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        ::waitpid(this->process, &this->endStatus, 0);
    }
}

void EntryProcess::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

bool EntryProcess::hasEnded()
{
    if (this->process > 0 && ::waitpid(this->process, &this->endStatus, WNOHANG) != 0) {
        this->process = 0;
    }
    return this->process == 0;
}

std::size_t EntryProcess::memoryMegabytes() const
{
    constexpr std::size_t kilobytesPerMegabyte = 1'000;
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> kilobytes;
        }
    }
    return kilobytes / kilobytesPerMegabyte;
}

int EntryProcess::readiness() const
{
    const Socket connection = Socket::connect(this->given.readyPort);
    if (!connection.isOpen()) {
        return 0;
    }
    return exchange(connection, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", readyPatience)
        .status();
}

bool waitUntilReady(const std::vector<const EntryProcess *> &processes, milliseconds patience)
{
    const auto until = Clock::now() + patience;
    for (const EntryProcess *each : processes) {
        while (each->readiness() != statusOk) {
            if (Clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(readyPoll);
        }
    }
    return true;
}

std::string serverEntry(const std::string &service, const std::string &zone, std::uint16_t port,
                        unsigned slots, const std::string &state)
{
    return R"({"service":)" + quoted(service) + R"(,"address":)" + quoted(address(port))
        + R"(,"zone":)" + quoted(zone) + R"(,"version":1,"slots":)" + std::to_string(slots)
        + R"(,"state":)" + quoted(state)
        + R"(,"cold_left_ms":0,"sequence":1,"born":1700000000000})";
}

Answer exchange(const Socket &connection, const std::string &request, milliseconds patience)
{
    Answer answer;
    const auto sent = Clock::now();
    connection.send(request);
    MessageReader reader(connection);
    answer.end = reader.read(answer.message, sent + patience, true);
    answer.took = std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
    return answer;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    this->folder = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
