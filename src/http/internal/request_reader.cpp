#include "http/internal/request_reader.h"

#include "http/content_length.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azurespindle::http::internal {
namespace {

namespace beast = boost::beast;

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
constexpr unsigned hexBase = 16;
/// Memory that an empty input may keep for the next bytes.
constexpr std::size_t maxIdleCapacity = 4'096;

std::string text(beast::string_view view)
{
    return {view.data(), view.size()};
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char letter = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

std::string percentDecoded(const std::string &encoded)
{
    std::string decoded;
    for (std::size_t at = 0; at < encoded.size(); ++at) {
        const bool escape = encoded[at] == '%' && at + 2 < encoded.size()
            && hexValue(encoded[at + 1]) >= 0 && hexValue(encoded[at + 2]) >= 0;
        if (!escape) {
            decoded += encoded[at] == '+' ? ' ' : encoded[at];
            continue;
        }
        decoded += static_cast<char>(hexValue(encoded[at + 1]) * hexBase
                                     + static_cast<unsigned>(hexValue(encoded[at + 2])));
        at += 2;
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string field = query.substr(begin, end - begin);
        const std::size_t equals = std::min(field.find('='), field.size());
        const std::string value = equals < field.size() ? field.substr(equals + 1) : "";
        fields[percentDecoded(field.substr(0, equals))] = percentDecoded(value);
        begin = end + 1;
    }
    return fields;
}

RejectedRequest rejectionFor(const beast::error_code &error)
{
    using Error = beast::http::error;
    if (error == Error::header_limit) {
        return {statusHeaderTooLarge, "the header is too large", RefusalReason::HeaderTooLarge};
    }
    if (error == Error::body_limit) {
        return {statusTooLarge, "the body is too large", RefusalReason::BodyTooLarge};
    }
    return {statusBadRequest, error.message(), RefusalReason::Malformed};
}

} // namespace

RequestReader::RequestReader(const settings::CallerLimits &limits)
    : limits(limits), nextLimits(limits)
{
    this->reset();
}

void RequestReader::reset()
{
    this->parser.emplace(std::piecewise_construct, std::make_tuple(),
                         std::make_tuple(CountingAllocator<char>(this->fieldBytes)));
    this->framingChecked = false;
}

void RequestReader::beginRequest()
{
    this->limits = this->nextLimits;
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
    this->parser->body_limit(this->limits.bodyBytes);
}

void RequestReader::append(const char *bytes, std::size_t size)
{
    this->input.append(bytes, size);
}

bool RequestReader::hasPendingInput() const
{
    return !this->input.empty() || this->parser->got_some();
}

void RequestReader::clear()
{
    std::string().swap(this->input);
    this->reset();
}

std::size_t RequestReader::heldBytes() const
{
    const auto allocated = [](const std::string &text) {
        return text.capacity() > std::string().capacity() ? text.capacity() : 0;
    };
    return allocated(this->input) + allocated(this->parser->get().body()) + this->fieldBytes;
}

bool RequestReader::readsHeadRequest() const
{
    // The parser takes the first line in one piece, and may leave it in the input until then.
    return this->parser->get().method() == beast::http::verb::head
        || this->input.rfind(std::string(headMethod) + " ", 0) == 0;
}

void RequestReader::consume(std::size_t bytes)
{
    this->input.erase(0, bytes);
    if (this->input.empty() && this->input.capacity() > maxIdleCapacity) {
        std::string().swap(this->input);
    }
}

void RequestReader::skipEmptyLines()
{
    const std::size_t first = std::min(this->input.find_first_not_of("\r\n"), this->input.size());
    this->consume(first);
}

bool RequestReader::hasFoldedHeader() const
{
    if (this->input.starts_with("\r\n")) {
        return false; // The parser has consumed all fields; this is the end of the header.
    }
    const std::size_t end = std::min(this->input.find("\r\n\r\n"), this->input.size());
    const std::size_t fold = std::min(this->input.find("\n "), this->input.find("\n\t"));
    return fold < end;
}

std::optional<RejectedRequest> RequestReader::checkFraming() const
{
    using Field = beast::http::field;
    const auto &head = this->parser->get();
    if (head.count(Field::content_length) > 1 || head.count(Field::transfer_encoding) > 1
        || head.count(Field::host) > 1) {
        return RejectedRequest {statusBadRequest,
                                "a header field that may occur only once is repeated",
                                RefusalReason::Malformed};
    }
    const auto length = head.find(Field::content_length);
    if (length != head.end() && !parseContentLength(text(length->value()))) {
        return RejectedRequest {statusBadRequest, "the length of the body is ambiguous",
                                RefusalReason::Malformed};
    }
    const auto encoding = head.find(Field::transfer_encoding);
    if (encoding == head.end()) {
        return std::nullopt;
    }
    const bool chunkedOnly = lowerCase(text(encoding->value())) == "chunked";
    const bool both = head.count(Field::content_length) > 0;
    if (!chunkedOnly || both || head.version() < 11) {
        return RejectedRequest {statusBadRequest, "the length of the body is ambiguous",
                                RefusalReason::Malformed};
    }
    return std::nullopt;
}

ReadOutcome RequestReader::next()
{
    if (!this->parser->got_some()) {
        this->beginRequest();
        this->skipEmptyLines();
    }
    if (!this->parser->is_header_done()) {
        if (this->hasFoldedHeader()) {
            return RejectedRequest {statusBadRequest, "a header line is folded",
                                    RefusalReason::Malformed};
        }
    }
    while (!this->parser->is_done()) {
        if (this->input.empty()) {
            return Incomplete {};
        }
        beast::error_code error;
        // The parser consumes a chunk header with its extension, and all trailers, only as a whole.
        const std::size_t window = std::min(this->input.size(), this->limits.headerBytes);
        this->parser->eager(this->framingChecked);
        const std::size_t used
            = this->parser->put(boost::asio::const_buffer(this->input.data(), window), error);
        this->consume(used);
        if (error == beast::http::error::need_more) {
            if (used > 0 && !this->input.empty()) {
                continue;
            }
            if (window < this->limits.headerBytes) {
                return Incomplete {};
            }
            return RejectedRequest {statusHeaderTooLarge,
                                    "the trailers or a chunk extension are too large",
                                    RefusalReason::TrailersTooLarge};
        }
        if (error) {
            return rejectionFor(error);
        }
        if (this->parser->is_header_done() && !std::exchange(this->framingChecked, true)) {
            if (auto rejection = this->checkFraming()) {
                return *rejection;
            }
        }
    }
    return this->takeRequest();
}

ServerRequest RequestReader::takeRequest()
{
    ServerRequest request;
    request.keepAlive = this->parser->keep_alive();
    auto message = this->parser->release();
    this->reset();
    request.method = text(message.method_string());
    request.target = text(message.target());
    const std::size_t question = std::min(request.target.find('?'), request.target.size());
    request.path = request.target.substr(0, question);
    if (question < request.target.size()) {
        request.query = parseQuery(request.target.substr(question + 1));
    }
    for (const auto &field : message) {
        const std::string name = text(field.name_string());
        request.fields.emplace_back(name, text(field.value()));
        request.headers[lowerCase(name)] = request.fields.back().second;
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace azurespindle::http::internal
