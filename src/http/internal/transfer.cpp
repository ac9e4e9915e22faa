#include "http/internal/transfer.h"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace azurespindle::http::internal {
namespace {

constexpr long keepAliveSeconds = 15;

std::size_t onHeaderLine(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    transfer.headBytes += size * count;
    if (transfer.headBytes > Client::maxHeadBytes) {
        return 0;
    }
    transfer.headFault = transfer.head.readLine({bytes, size * count});
    return transfer.headFault ? 0 : size * count;
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

Headers byLowerCaseName(const HeaderFields &fields)
{
    Headers headers;
    for (const auto &[name, value] : fields) {
        std::string lowerCase = name;
        std::transform(name.begin(), name.end(), lowerCase.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        headers[lowerCase] = value;
    }
    return headers;
}

bool connected(CURL *handle)
{
    curl_off_t connectMicroseconds = 0;
    curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &connectMicroseconds);
    return connectMicroseconds > 0;
}

} // namespace

void reportStatus(Transfer &transfer)
{
    if (std::exchange(transfer.statusReported, true)) {
        return;
    }
    const ResponseHeadReader &head = transfer.head;
    if (transfer.callbacks.onStatus) {
        transfer.callbacks.onStatus(head.status(), byLowerCaseName(head.fields()));
    }
    if (transfer.callbacks.onHeaderFields) {
        transfer.callbacks.onHeaderFields(head.status(), head.fields());
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

TransferResult resultOf(Transfer &transfer, CURLcode code)
{
    long systemError = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_OS_ERRNO, &systemError);
    TransferResult result {TransferEnd::ConnectionLost, transfer.head.status(),
                           curl_easy_strerror(code)};
    if (transfer.headFault) {
        result.status = 0;
        result.detail = toText(*transfer.headFault);
    } else if (code == CURLE_OK && !transfer.head.isComplete()) {
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

} // namespace azurespindle::http::internal
