#include "http/client.h"

#include <curl/curl.h>

#include <strings.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace azurespindle::http {
namespace {

constexpr int pollMilliseconds = 1'000;
constexpr long maxCachedConnections = 512;
constexpr long keepAliveSeconds = 15;

/// Initialises the library once, before any thread uses it.
void initialiseLibrary()
{
    static const CURLcode once = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(once);
}

struct Transfer
{
    TransferId id = 0;
    ClientRequest request;
    TransferCallbacks callbacks;
    CURL *handle = nullptr;
    curl_slist *headerList = nullptr;
    Headers answerHeaders;
    HeaderFields answerFields;
    bool statusTold = false;
    bool cancelled = false;
};

void tellStatus(Transfer &transfer)
{
    if (std::exchange(transfer.statusTold, true)) {
        return;
    }
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    if (transfer.callbacks.onStatus) {
        transfer.callbacks.onStatus(static_cast<int>(status), transfer.answerHeaders);
    }
    if (transfer.callbacks.onHeaderFields) {
        transfer.callbacks.onHeaderFields(static_cast<int>(status), transfer.answerFields);
    }
}

std::size_t onHeaderLine(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const std::string line(bytes, size * count);
    if (line.rfind("HTTP/", 0) == 0) {
        // What stood before belongs to an interim answer.
        transfer.answerHeaders.clear();
        transfer.answerFields.clear();
        return size * count;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        const std::string spelled = line.substr(0, colon);
        std::string name = spelled;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const std::size_t first = line.find_first_not_of(" \t", colon + 1);
        const std::size_t last = line.find_last_not_of("\r\n \t");
        const bool empty = first == std::string::npos || last < first;
        const std::string value = empty ? "" : line.substr(first, last - first + 1);
        transfer.answerHeaders[name] = value;
        transfer.answerFields.emplace_back(spelled, value);
    }
    return size * count;
}

std::size_t onBodyBytes(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.cancelled) {
        return 0;
    }
    tellStatus(transfer);
    const std::string_view view(bytes, size * count);
    if (transfer.callbacks.onData && !transfer.callbacks.onData(view)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    return size * count;
}

template<typename Value> void set(CURL *handle, CURLoption option, Value value)
{
    curl_easy_setopt(handle, option, value); // NOLINT(bugprone-unused-return-value)
}

void appendHeader(Transfer &transfer, const std::string &name, const std::string &value)
{
    // The library reads "Name:" as a wish to leave the header out, "Name;" as an empty one.
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
}

/// Keeps the library from adding headers that the caller of a forwarded request did not send.
void suppressDefaults(Transfer &transfer)
{
    for (const char *added : {"Accept", "Content-Type"}) {
        const auto same
            = [added](const auto &field) { return strcasecmp(field.first.c_str(), added) == 0; };
        const HeaderFields &fields = transfer.request.fields;
        if (std::none_of(fields.begin(), fields.end(), same)) {
            const std::string line = std::string(added) + ":";
            transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
        }
    }
}

void prepare(Transfer &transfer)
{
    const ClientRequest &request = transfer.request;
    CURL *handle = curl_easy_init();
    transfer.handle = handle;
    set(handle, CURLOPT_URL, request.url.c_str());
    set(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    set(handle, CURLOPT_NOSIGNAL, 1L);
    set(handle, CURLOPT_PROTOCOLS_STR, "http");
    set(handle, CURLOPT_NOPROXY, "*");
    set(handle, CURLOPT_TCP_NODELAY, 1L);
    set(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    set(handle, CURLOPT_TCP_KEEPIDLE, keepAliveSeconds);
    set(handle, CURLOPT_TCP_KEEPINTVL, keepAliveSeconds);
    set(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    set(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.totalTimeout.count()));
    set(handle, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    set(handle, CURLOPT_WRITEDATA, &transfer);
    set(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    set(handle, CURLOPT_HEADERDATA, &transfer);
    set(handle, CURLOPT_PRIVATE, &transfer);
    if (request.method == "HEAD") {
        set(handle, CURLOPT_NOBODY, 1L);
    } else if ((request.method != "GET" && request.method != "DELETE") || !request.body.empty()) {
        set(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        set(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    if (request.freshConnection) {
        set(handle, CURLOPT_FRESH_CONNECT, 1L);
        set(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!request.target.empty()) {
        set(handle, CURLOPT_REQUEST_TARGET, request.target.c_str());
        set(handle, CURLOPT_PATH_AS_IS, 1L);
    }
    for (const auto &[name, value] : request.headers) {
        appendHeader(transfer, name, value);
    }
    for (const auto &[name, value] : request.fields) {
        appendHeader(transfer, name, value);
    }
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    if (!request.target.empty()) {
        suppressDefaults(transfer);
    }
    set(handle, CURLOPT_HTTPHEADER, transfer.headerList);
}

void release(Transfer &transfer)
{
    curl_slist_free_all(transfer.headerList);
    curl_easy_cleanup(transfer.handle);
}

bool connected(CURL *handle)
{
    curl_off_t connectMicroseconds = 0;
    curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &connectMicroseconds);
    return connectMicroseconds > 0;
}

TransferResult resultOf(Transfer &transfer, CURLcode code)
{
    long status = 0;
    long systemError = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer.handle, CURLINFO_OS_ERRNO, &systemError);
    TransferResult result {TransferEnd::ConnectionLost, static_cast<int>(status),
                           curl_easy_strerror(code)};
    if (code == CURLE_OK) {
        result.end = TransferEnd::Complete;
        result.detail.clear();
    } else if (code == CURLE_COULDNT_CONNECT) {
        const bool refused = systemError == ECONNREFUSED;
        result.end = refused ? TransferEnd::ConnectionRefused : TransferEnd::NotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        result.end = connected(transfer.handle) ? TransferEnd::TimedOut : TransferEnd::NotSent;
    } else if (code == CURLE_URL_MALFORMAT || code == CURLE_COULDNT_RESOLVE_HOST) {
        result.end = TransferEnd::NotSent;
    }
    return result;
}

} // namespace

class Client::Implementation
{
public:
    Implementation() : multi(curl_multi_init()), thread([this] { this->run(); })
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    }

    ~Implementation()
    {
        this->stop();
        curl_multi_cleanup(this->multi);
    }

    void stop()
    {
        if (!this->thread.joinable()) {
            return;
        }
        this->post([this] { this->stopping = true; });
        this->thread.join();
        for (auto &[id, transfer] : this->transfers) {
            curl_multi_remove_handle(this->multi, transfer->handle);
            release(*transfer);
        }
        this->transfers.clear();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void post(std::function<void()> command)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->commands.push_back(std::move(command));
        }
        curl_multi_wakeup(this->multi);
    }

    void add(std::unique_ptr<Transfer> transfer)
    {
        prepare(*transfer);
        curl_multi_add_handle(this->multi, transfer->handle);
        this->transfers.emplace(transfer->id, std::move(transfer));
    }

    void cancel(TransferId id)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end()) {
            return;
        }
        found->second->cancelled = true;
        curl_multi_remove_handle(this->multi, found->second->handle);
        release(*found->second);
        this->transfers.erase(found);
    }

    void resume(TransferId id)
    {
        const auto found = this->transfers.find(id);
        if (found != this->transfers.end()) {
            curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
        }
    }

    std::atomic<TransferId> lastId {0};

private:
    void run()
    {
        while (!this->stopping) {
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collectDone();
            curl_multi_poll(this->multi, nullptr, 0, pollMilliseconds, nullptr);
            this->runCommands();
        }
    }

    void runCommands()
    {
        std::deque<std::function<void()>> taken;
        {
            const std::lock_guard lock(this->mutex);
            taken.swap(this->commands);
        }
        for (const auto &command : taken) {
            command();
        }
    }

    void collectDone()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            Transfer *done = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &done);
            this->conclude(done->id, code);
        }
    }

    void conclude(TransferId id, CURLcode code)
    {
        const auto found = this->transfers.find(id);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        this->transfers.erase(found);
        curl_multi_remove_handle(this->multi, transfer->handle);
        const TransferResult result = resultOf(*transfer, code);
        if (result.end == TransferEnd::Complete) {
            tellStatus(*transfer);
        }
        if (transfer->callbacks.onDone) {
            transfer->callbacks.onDone(result);
        }
        release(*transfer);
    }

    CURLM *multi;
    std::mutex mutex; ///< Guards commands.
    std::deque<std::function<void()>> commands;
    std::unordered_map<TransferId, std::unique_ptr<Transfer>> transfers;
    bool stopping = false;
    std::thread thread;
};

Client::Client()
{
    initialiseLibrary();
    this->implementation = std::make_unique<Implementation>();
}

Client::~Client() = default;

TransferId Client::start(ClientRequest request, TransferCallbacks callbacks)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = this->implementation->lastId += 1;
    transfer->request = std::move(request);
    transfer->callbacks = std::move(callbacks);
    const TransferId id = transfer->id;
    auto shared = std::make_shared<std::unique_ptr<Transfer>>(std::move(transfer));
    Implementation *own = this->implementation.get();
    own->post([own, shared] { own->add(std::move(*shared)); });
    return id;
}

void Client::cancel(TransferId id)
{
    Implementation *own = this->implementation.get();
    own->post([own, id] { own->cancel(id); });
}

void Client::resume(TransferId id)
{
    Implementation *own = this->implementation.get();
    own->post([own, id] { own->resume(id); });
}

void Client::stop()
{
    this->implementation->stop();
}

TransferResult fetch(const ClientRequest &request, std::string &body)
{
    initialiseLibrary();
    Transfer transfer;
    transfer.request = request;
    body.clear();
    transfer.callbacks.onData = [&body](std::string_view bytes) {
        body += bytes;
        return true;
    };
    prepare(transfer);
    const CURLcode code = curl_easy_perform(transfer.handle);
    TransferResult result = resultOf(transfer, code);
    release(transfer);
    return result;
}

} // namespace azurespindle::http
