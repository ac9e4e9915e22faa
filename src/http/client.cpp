#include "http/client.h"

#include "http/internal/transfer.h"

#include <curl/curl.h>

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

using internal::prepare;
using internal::release;
using internal::reportStatus;
using internal::resultOf;
using internal::Transfer;

namespace {

constexpr int pollTimeoutMs = 1'000;
constexpr long maxCachedConnections = 512;

/// Initialises libcurl once. This must happen before any thread uses it.
void initialiseLibrary()
{
    static const CURLcode once = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(once);
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
