#ifndef AZURESPINDLE_SETTINGS_SETTINGS_H
#define AZURESPINDLE_SETTINGS_SETTINGS_H

#include "base/error.h"
#include "base/time_types.h"
#include "json/object_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::settings {

/// An IPv4 address and a port.
struct Address
{
    std::string host;       ///< IPv4 address such as `127.0.0.1`.
    std::uint16_t port = 0; ///< Port; 0 lets the system choose a free one.

    /// Returns "host:port".
    std::string text() const;
    auto operator<=>(const Address &other) const = default;
};

/// Parses "IP:PORT". Host names are refused because VMs reach one another by IP address.
/// \return the address, or AddressMalformed
Result<Address> parseAddress(const std::string &text);

/// Limits on the resources that callers may use in an entry process.
struct CallerLimits
{
    std::size_t headerBytes = 65'536;     ///< Largest request header.
    std::size_t bodyBytes = 1'048'576;    ///< Largest request body.
    std::size_t inputBytes = 805'306'368; ///< Most memory for what all callers send.
    std::size_t connections = 4'096;      ///< Most caller connections open at once.
    std::size_t unsentBytes = 262'144;    ///< Most response bytes buffered per slow caller.
    /// Longest time to receive a header, and longest time without a byte of the body.
    milliseconds requestTimeout {10'000};
    milliseconds idleTimeout {75'000};  ///< Longest idle time of a keep-alive connection.
    milliseconds writeTimeout {30'000}; ///< Longest time a caller may read nothing.

    bool operator==(const CallerLimits &other) const = default;
};

/// Timeouts of calls to upstreams.
struct UpstreamTimeouts
{
    milliseconds connect {1'000};     ///< Longest time to establish a connection.
    milliseconds firstToken {30'000}; ///< Longest time to the first token.
    milliseconds gap {3'000};         ///< Longest time between two tokens.
    milliseconds call {60'000};       ///< Longest call to a service that is no engine.

    bool operator==(const UpstreamTimeouts &other) const = default;
};

enum class LogFormat { Text, Json };

/// Settings of one process. They do not change while it runs.
struct Settings
{
    std::string name; ///< Name of the VM, unique in the fleet.
    std::string zone; ///< Availability zone of the VM.
    Address callerAddress;
    Address memberAddress;
    std::string configurationService;   ///< Base URL such as `http://10.0.0.1:7000`.
    std::string vmList;                 ///< Base URL of the VM list.
    std::vector<Address> seeds;         ///< Members that are contacted first when joining.
    std::size_t workerThreads = 2;      ///< Threads that serve callers.
    std::size_t upstreamThreads = 1;    ///< Threads that handle connections to upstreams.
    milliseconds stopTimeout {600'000}; ///< Longest duration of a graceful stop.
    LogFormat logFormat = LogFormat::Text;
    std::string logFile; ///< Path of the log file; empty for standard error.
    CallerLimits callers;
    UpstreamTimeouts upstreams;

    bool operator==(const Settings &other) const = default;
};

/// Returns the required address at \a name; a missing or malformed one is a fault.
Address readAddress(json::ObjectReader &reader, const std::string &name);
/// Returns the well-formed addresses in the list `seeds`; each malformed one is a fault.
std::vector<Address> readSeeds(json::ObjectReader &reader);
/// Returns the number at \a name as an unsigned size; see ObjectReader::integer().
std::size_t readSize(json::ObjectReader &reader, const std::string &name,
                     json::Range<std::int64_t> range, std::size_t fallback);

/// Parses Settings from a JSON document.
/// \param faults receives every error found; the fields concerned have their default values
Settings parseSettings(const nlohmann::json &document, json::Faults &faults);

/// Reads and parses the file at \a path.
/// \return the settings, an error of readTextFile(), or DocumentInvalid with one line per fault
Result<Settings> loadSettings(const std::string &path);

} // namespace azurespindle::settings

#endif
