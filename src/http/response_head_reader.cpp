#include "http/response_head_reader.h"

#include "http/content_length.h"
#include "http/status_line.h"

#include <strings.h>

#include <algorithm>
#include <cctype>

namespace azurespindle::http {
namespace {

constexpr int firstFinalStatus = 200; ///< Those below belong to interim responses.
constexpr int statusSwitchingProtocols = 101;
constexpr int statusNoContent = 204;
constexpr std::string_view oldVersion = "HTTP/1.0";
constexpr std::string_view whitespace = " \t";
constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

bool isTokenCharacter(unsigned char character)
{
    return std::isalnum(character) != 0
        || tokenSymbols.find(static_cast<char>(character)) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValueCharacter(unsigned char character)
{
    return character == '\t' || (character >= firstPrintable && character != deleteCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isValueCharacter);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (!line.empty() && line.back() == '\n') {
        line.remove_suffix(1);
    }
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = std::min(text.find_first_not_of(whitespace), text.size());
    const std::size_t end = text.find_last_not_of(whitespace);
    return begin == text.size() ? std::string_view() : text.substr(begin, end + 1 - begin);
}

} // namespace

const char *toText(HeadFault fault)
{
    switch (fault) {
    case HeadFault::StatusLine:
        return "the status line is malformed";
    case HeadFault::FieldLine:
        return "a header field is malformed";
    case HeadFault::Length:
        return "the stated length is no number, or is stated twice";
    case HeadFault::Coding:
        return "the transfer coding is not permitted, or is stated twice";
    case HeadFault::TwoFramings:
        return "a length and a transfer coding are stated";
    case HeadFault::Body:
        return "a body is stated that the status does not permit";
    }
    return "";
}

std::optional<HeadFault> ResponseHeadReader::readLine(std::string_view line)
{
    const std::string_view content = withoutLineEnd(line);
    if (this->state == State::StatusLine) {
        return this->readStatusLine(content);
    }
    if (!content.empty()) {
        return this->readField(content);
    }
    return this->state == State::Fields ? this->finishHead() : std::nullopt;
}

std::optional<HeadFault> ResponseHeadReader::readStatusLine(std::string_view line)
{
    const std::optional<int> status = parseStatusLine(line);
    if (!status || *status == statusSwitchingProtocols || !isFieldValue(line)) {
        return HeadFault::StatusLine;
    }
    this->statusCode = *status;
    this->permitsChunks = line.substr(0, oldVersion.size()) != oldVersion;
    this->headFields.clear();
    this->state = State::Fields;
    return std::nullopt;
}

std::optional<HeadFault> ResponseHeadReader::readField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return HeadFault::FieldLine;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        return HeadFault::FieldLine;
    }
    if (this->state == State::Trailers) {
        return std::nullopt;
    }
    this->headFields.emplace_back(name, value);
    if (equalsIgnoringCase(name, "Content-Length")) {
        return this->readLength(value);
    }
    return equalsIgnoringCase(name, "Transfer-Encoding") ? this->readCoding(value) : std::nullopt;
}

std::optional<HeadFault> ResponseHeadReader::readLength(std::string_view value)
{
    if (this->length) {
        return HeadFault::Length;
    }
    this->length = parseContentLength(value);
    return this->length ? std::nullopt : std::optional(HeadFault::Length);
}

std::optional<HeadFault> ResponseHeadReader::readCoding(std::string_view value)
{
    if (this->chunked || !this->permitsChunks || !equalsIgnoringCase(value, "chunked")) {
        return HeadFault::Coding;
    }
    this->chunked = true;
    return std::nullopt;
}

std::optional<HeadFault> ResponseHeadReader::finishHead()
{
    if (this->chunked && this->length) {
        return HeadFault::TwoFramings;
    }
    const bool interim = this->statusCode < firstFinalStatus;
    const bool bodyStated = this->chunked || this->length.value_or(0) > 0;
    if (bodyStated && (interim || this->statusCode == statusNoContent)) {
        return HeadFault::Body;
    }
    if (interim) {
        this->length.reset();
    }
    this->state = interim ? State::StatusLine : State::Trailers;
    return std::nullopt;
}

} // namespace azurespindle::http
