#include "settings/settings.h"

#include "base/text_file.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace azurespindle::settings {
namespace {

constexpr std::int64_t maxPort = 65'535;
constexpr std::int64_t maxThreads = 64;
/// Largest request body that the settings may permit, in bytes.
constexpr std::int64_t maxBodyBytes = 67'108'864;
/// Largest memory for callers' input that the settings may permit, in bytes.
constexpr std::int64_t maxInputBytes = 1'099'511'627'776;

std::string readUrl(json::ObjectReader &reader, const std::string &name)
{
    std::string url = reader.text(name, "");
    if (!url.empty() && url.rfind("http://", 0) != 0) {
        reader.addFault(name, "a URL that starts with http://");
    }
    return url;
}

CallerLimits readCallerLimits(json::ObjectReader &reader)
{
    CallerLimits limits;
    limits.headerBytes = readSize(reader, "headerBytes", {512, 1'048'576}, limits.headerBytes);
    if (reader.has("headerAndBodyBytes")) {
        // One value for both, as before there were two settings.
        limits.bodyBytes
            = readSize(reader, "headerAndBodyBytes", {1'024, maxBodyBytes}, limits.bodyBytes);
        limits.headerBytes = std::min(limits.headerBytes, limits.bodyBytes);
    }
    limits.bodyBytes = readSize(reader, "bodyBytes", {0, maxBodyBytes}, limits.bodyBytes);
    limits.inputBytes = readSize(reader, "inputBytes", {65'536, maxInputBytes}, limits.inputBytes);
    limits.connections = readSize(reader, "connections", {1, 1'000'000}, limits.connections);
    limits.unsentBytes = readSize(reader, "unsentBytes", {4'096, 67'108'864}, limits.unsentBytes);
    limits.requestTimeout = reader.duration("requestTimeoutMs", limits.requestTimeout);
    limits.idleTimeout = reader.duration("idleTimeoutMs", limits.idleTimeout);
    limits.writeTimeout = reader.duration("writeTimeoutMs", limits.writeTimeout);
    return limits;
}

UpstreamTimeouts readUpstreamTimeouts(json::ObjectReader &reader)
{
    UpstreamTimeouts timeouts;
    timeouts.connect = reader.duration("connectMs", timeouts.connect);
    timeouts.firstToken = reader.duration("firstTokenMs", timeouts.firstToken);
    timeouts.gap = reader.duration("gapMs", timeouts.gap);
    timeouts.call = reader.duration("callMs", timeouts.call);
    return timeouts;
}

} // namespace

std::string Address::text() const
{
    return this->host + ":" + std::to_string(this->port);
}

Result<Address> parseAddress(const std::string &text)
{
    const Error malformed {ErrorCode::AddressMalformed, text};
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
        return malformed;
    }
    Address address {text.substr(0, colon), 0};
    in_addr parsed {};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return malformed;
    }
    std::int64_t port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(begin, end, port);
    if (begin == end || code != std::errc() || rest != end || port < 0 || port > maxPort) {
        return malformed;
    }
    address.port = static_cast<std::uint16_t>(port);
    return address;
}

Address readAddress(json::ObjectReader &reader, const std::string &name)
{
    const std::string text = reader.requiredText(name);
    Result<Address> address = parseAddress(text);
    if (address.ok()) {
        return address.value();
    }
    if (!text.empty()) {
        reader.addFault(name, "IP:PORT, such as 127.0.0.1:8080");
    }
    return {};
}

std::vector<Address> readSeeds(json::ObjectReader &reader)
{
    std::vector<Address> seeds;
    for (const std::string &text : reader.textList("seeds")) {
        Result<Address> address = parseAddress(text);
        if (address.ok()) {
            seeds.push_back(address.value());
        } else {
            reader.addFault("seeds", "a list of IP:PORT");
        }
    }
    return seeds;
}

std::size_t readSize(json::ObjectReader &reader, const std::string &name,
                     json::Range<std::int64_t> range, std::size_t fallback)
{
    const auto number = reader.integer(name, range, static_cast<std::int64_t>(fallback));
    return static_cast<std::size_t>(number);
}

Settings parseSettings(const nlohmann::json &document, json::Faults &faults)
{
    json::ObjectReader reader(document, "$", faults);
    Settings settings;
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.memberAddress = readAddress(reader, "memberAddress");
    settings.configurationService = readUrl(reader, "configurationService");
    settings.vmList = readUrl(reader, "vmList");
    settings.seeds = readSeeds(reader);
    settings.workerThreads = readSize(reader, "workerThreads", {1, maxThreads}, 2);
    settings.upstreamThreads = readSize(reader, "upstreamThreads", {1, maxThreads}, 1);
    settings.stopTimeout = reader.duration("stopTimeoutMs", settings.stopTimeout);
    const std::string format = reader.choice("logFormat", {"text", "json"}, "text");
    settings.logFormat = format == "json" ? LogFormat::Json : LogFormat::Text;
    settings.logFile = reader.text("logFile", "");
    reader.object("callers", [&](json::ObjectReader &callers) {
        settings.callers = readCallerLimits(callers);
    });
    reader.object("upstreams", [&](json::ObjectReader &upstreams) {
        settings.upstreams = readUpstreamTimeouts(upstreams);
    });
    reader.finish();
    return settings;
}

Result<Settings> loadSettings(const std::string &path)
{
    Result<std::string> text = readTextFile(path);
    if (!text.ok()) {
        return text.error();
    }
    json::Faults faults;
    const auto document = json::parseText(text.value(), faults);
    Settings settings;
    if (document) {
        settings = parseSettings(*document, faults);
    }
    if (!faults.empty()) {
        return Error {ErrorCode::DocumentInvalid, path + json::listFaults(faults)};
    }
    return settings;
}

} // namespace azurespindle::settings
