#include "http/client.h"

#include <curl/curl.h>

#include <strings.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurespindle::http {
namespace {

constexpr int pollTimeoutMs = 1'000;
constexpr long maxCachedConnections = 512;
constexpr long keepAliveSeconds = 15;
constexpr long firstFinalStatus = 200; ///< Those below belong to interim responses.

/// Initialises libcurl once. This must happen before any thread uses it.
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
    Headers responseHeaders;
    HeaderFields responseFields;
    std::size_t headBytes = 0; ///< Received so far, with interim heads and trailers.
    std::size_t bodyBytes = 0; ///< Received so far.
    bool headComplete = false; ///< The blank line after the last status line was received.
    bool statusReported = false;
    bool cancelled = false;
    std::atomic<std::uint64_t> *progress = nullptr; ///< Of the client; not set for fetch().
    Instant startedAt = monotonicNow();
    Instant lastReceivedAt; ///< Time at which the latest bytes of the body arrived.

    /// Returns the time until which the next bytes have to arrive.
    Instant progressDeadline() const
    {
        const bool inBody = this->bodyBytes > 0;
        const milliseconds limit
            = inBody ? this->request.silenceTimeout : this->request.headTimeout;
        const Instant since = inBody ? this->lastReceivedAt : this->startedAt;
        return limit.count() == 0 ? Instant::max() : since + limit;
    }
};

void reportStatus(Transfer &transfer)
{
    if (std::exchange(transfer.statusReported, true)) {
        return;
    }
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    if (transfer.callbacks.onStatus) {
        transfer.callbacks.onStatus(static_cast<int>(status), transfer.responseHeaders);
    }
    if (transfer.callbacks.onHeaderFields) {
        transfer.callbacks.onHeaderFields(static_cast<int>(status), transfer.responseFields);
    }
}

std::size_t onHeaderLine(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    transfer.headBytes += size * count;
    if (transfer.headBytes > Client::maxHeadBytes) {
        return 0;
    }
    const std::string line(bytes, size * count);
    if (line.rfind("HTTP/", 0) == 0) {
        // Headers received before a further status line belong to an interim (1xx) response.
        transfer.responseHeaders.clear();
        transfer.responseFields.clear();
        transfer.headComplete = false;
        return size * count;
    }
    transfer.headComplete = transfer.headComplete || line == "\r\n" || line == "\n";
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        const std::string originalName = line.substr(0, colon);
        std::string name = originalName;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const std::size_t first = line.find_first_not_of(" \t", colon + 1);
        const std::size_t last = line.find_last_not_of("\r\n \t");
        const bool empty = first == std::string::npos || last < first;
        const std::string value = empty ? "" : line.substr(first, last - first + 1);
        transfer.responseHeaders[name] = value;
        transfer.responseFields.emplace_back(originalName, value);
    }
    return size * count;
}

std::size_t onBodyBytes(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.cancelled) {
        return 0;
    }
    reportStatus(transfer);
    const std::string_view view(bytes, size * count);
    const std::size_t limit = transfer.request.maxResponseBytes;
    if (limit != 0 && transfer.bodyBytes + view.size() > limit) {
        return 0;
    }
    if (transfer.callbacks.onData && !transfer.callbacks.onData(view)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.bodyBytes += view.size();
    if (transfer.progress != nullptr) {
        *transfer.progress += 1;
    }
    transfer.lastReceivedAt = monotonicNow();
    return size * count;
}

template<typename Value> void setOption(CURL *handle, CURLoption option, Value value)
{
    curl_easy_setopt(handle, option, value); // NOLINT(bugprone-unused-return-value)
}

void appendHeader(Transfer &transfer, const std::string &name, const std::string &value)
{
    // libcurl omits a header given as "Name:" and sends an empty one for "Name;".
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
}

/// Keeps libcurl from adding headers that the caller of a forwarded request did not send.
void suppressDefaultHeaders(Transfer &transfer)
{
    for (const char *defaultName : {"Accept", "Content-Type"}) {
        const auto sameName = [defaultName](const auto &field) {
            return strcasecmp(field.first.c_str(), defaultName) == 0;
        };
        const HeaderFields &fields = transfer.request.fields;
        if (std::none_of(fields.begin(), fields.end(), sameName)) {
            const std::string line = std::string(defaultName) + ":";
            transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
        }
    }
}

void prepare(Transfer &transfer)
{
    const ClientRequest &request = transfer.request;
    CURL *handle = curl_easy_init();
    transfer.handle = handle;
    setOption(handle, CURLOPT_URL, request.url.c_str());
    setOption(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    setOption(handle, CURLOPT_NOSIGNAL, 1L);
    setOption(handle, CURLOPT_PROTOCOLS_STR, "http");
    setOption(handle, CURLOPT_NOPROXY, "*");
    setOption(handle, CURLOPT_TCP_NODELAY, 1L);
    setOption(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    setOption(handle, CURLOPT_TCP_KEEPIDLE, keepAliveSeconds);
    setOption(handle, CURLOPT_TCP_KEEPINTVL, keepAliveSeconds);
    setOption(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    setOption(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.totalTimeout.count()));
    setOption(handle, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    setOption(handle, CURLOPT_WRITEDATA, &transfer);
    setOption(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    setOption(handle, CURLOPT_HEADERDATA, &transfer);
    setOption(handle, CURLOPT_PRIVATE, &transfer);
    if (request.method == "HEAD") {
        setOption(handle, CURLOPT_NOBODY, 1L);
    } else if ((request.method != "GET" && request.method != "DELETE") || !request.body.empty()) {
        setOption(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        setOption(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    if (request.freshConnection) {
        setOption(handle, CURLOPT_FRESH_CONNECT, 1L);
        setOption(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!request.target.empty()) {
        setOption(handle, CURLOPT_REQUEST_TARGET, request.target.c_str());
        setOption(handle, CURLOPT_PATH_AS_IS, 1L);
    }
    for (const auto &[name, value] : request.headers) {
        appendHeader(transfer, name, value);
    }
    for (const auto &[name, value] : request.fields) {
        appendHeader(transfer, name, value);
    }
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    if (!request.target.empty()) {
        suppressDefaultHeaders(transfer);
    }
    setOption(handle, CURLOPT_HTTPHEADER, transfer.headerList);
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
    const bool headCut = !transfer.headComplete || status < firstFinalStatus;
    if (code == CURLE_OK && headCut) {
        result.detail = "the connection ended inside the head";
    } else if (code == CURLE_OK) {
        result.end = TransferEnd::Complete;
        result.detail.clear();
    } else if (code == CURLE_COULDNT_CONNECT) {
        const bool refused = systemError == ECONNREFUSED;
        result.end = refused ? TransferEnd::ConnectionRefused : TransferEnd::NotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        result.end = connected(transfer.handle) ? TransferEnd::TimedOut : TransferEnd::NotSent;
    } else if (code == CURLE_WRITE_ERROR) {
        result.detail = "the response is too long";
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
        transfer->progress = &this->progress;
        curl_multi_add_handle(this->multi, transfer->handle);
        if (transfer->progressDeadline() != Instant::max()) {
            this->supervised.insert(transfer->id);
        }
        this->transfers.emplace(transfer->id, std::move(transfer));
    }

    void cancel(TransferId id)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end()) {
            return;
        }
        this->supervised.erase(id);
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
    std::atomic<std::uint64_t> progress {0}; ///< Pieces of work that the thread completed.

private:
    void run()
    {
        while (!this->stopping) {
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->processCompletedTransfers();
            curl_multi_poll(this->multi, nullptr, 0, this->pollTimeout(), nullptr);
            this->endSilentTransfers();
            this->runCommands();
        }
    }

    /// Returns the time until something may have to be done, in milliseconds.
    int pollTimeout() const
    {
        milliseconds timeout(pollTimeoutMs);
        const Instant now = monotonicNow();
        for (const TransferId id : this->supervised) {
            const auto left = this->transfers.at(id)->progressDeadline() - now;
            timeout = std::min(timeout, std::chrono::ceil<milliseconds>(left));
        }
        return static_cast<int>(std::max(timeout, milliseconds(0)).count());
    }

    /// Returns the supervised transfers whose progress deadline has passed.
    std::vector<TransferId> silentTransfers() const
    {
        const Instant now = monotonicNow();
        std::vector<TransferId> silent;
        for (const TransferId id : this->supervised) {
            if (this->transfers.at(id)->progressDeadline() <= now) {
                silent.push_back(id);
            }
        }
        return silent;
    }

    void endSilentTransfers()
    {
        if (this->silentTransfers().empty()) {
            return;
        }
        // What has arrived meanwhile counts, even if this thread has not taken it yet.
        int running = 0;
        curl_multi_perform(this->multi, &running);
        this->processCompletedTransfers();
        for (const TransferId id : this->silentTransfers()) {
            this->finishTransfer(id, CURLE_OPERATION_TIMEDOUT);
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
            this->progress += 1;
        }
    }

    void processCompletedTransfers()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            Transfer *completed = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &completed);
            this->finishTransfer(completed->id, code);
        }
    }

    void finishTransfer(TransferId id, CURLcode code)
    {
        const auto found = this->transfers.find(id);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        this->transfers.erase(found);
        this->supervised.erase(id);
        curl_multi_remove_handle(this->multi, transfer->handle);
        this->progress += 1;
        const TransferResult result = resultOf(*transfer, code);
        if (result.end == TransferEnd::Complete) {
            reportStatus(*transfer);
        }
        if (transfer->callbacks.onDone) {
            transfer->callbacks.onDone(result);
        }
        release(*transfer);
    }

    CURLM *multi;
    std::mutex mutex; ///< Guards `commands`.
    std::deque<std::function<void()>> commands;
    std::unordered_map<TransferId, std::unique_ptr<Transfer>> transfers;
    std::set<TransferId> supervised; ///< Transfers with a progress deadline.
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
    Implementation *impl = this->implementation.get();
    impl->post([impl, shared] { impl->add(std::move(*shared)); });
    return id;
}

void Client::cancel(TransferId id)
{
    Implementation *impl = this->implementation.get();
    impl->post([impl, id] { impl->cancel(id); });
}

void Client::resume(TransferId id)
{
    Implementation *impl = this->implementation.get();
    impl->post([impl, id] { impl->resume(id); });
}

void Client::post(std::function<void()> command)
{
    this->implementation->post(std::move(command));
}

std::uint64_t Client::progress() const
{
    return this->implementation->progress.load();
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
