#ifndef AZURESPINDLE_SETTINGS_SETTINGS_H
#define AZURESPINDLE_SETTINGS_SETTINGS_H

#include "base/error.h"
#include "base/time_types.h"
#include "json/object_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::settings {

/// An IP number and a port.
struct Address
{
    std::string host;       ///< IPv4 number such as `127.0.0.1`.
    std::uint16_t port = 0; ///< 0 asks the system for a free port.

    /// Returns "host:port".
    std::string text() const;
    auto operator<=>(const Address &other) const = default;
};

/// Parses "IP:PORT". Names are refused: VMs reach one another by IP number.
Result<Address> parseAddress(const std::string &text);

/// What a caller may cost an entry process.
struct CallerLimits
{
    std::size_t headerAndBodyBytes = 1'048'576; ///< Largest request, headers included.
    std::size_t headerBytes = 65'536;           ///< Largest header.
    std::size_t connections = 4'096;            ///< Open caller connections.
    std::size_t unsentBytes = 262'144;          ///< Answer bytes buffered for a slow reader.
    milliseconds requestTimeout {10'000};       ///< From the first byte to a whole request.
    milliseconds idleTimeout {75'000};          ///< A kept-alive connection without a request.
    milliseconds writeTimeout {30'000};         ///< A caller that reads nothing for so long.

    bool operator==(const CallerLimits &other) const = default;
};

/// Time limits towards upstreams.
struct UpstreamTimeouts
{
    milliseconds connect {1'000};
    milliseconds firstToken {30'000}; ///< Silence allowed before the first token.
    milliseconds gap {3'000};         ///< Silence allowed between two tokens.
    milliseconds call {60'000};       ///< A call of a plain service, as a whole.

    bool operator==(const UpstreamTimeouts &other) const = default;
};

enum class LogFormat { Text, Json };

/// Everything one process is told about itself. It never changes while the process runs.
struct Settings
{
    std::string name; ///< Name of the VM, unique in the fleet.
    std::string zone; ///< Availability zone of the VM.
    Address callerAddress;
    Address memberAddress;
    std::string configurationService;   ///< Base URL, such as `http://10.0.0.1:7000`.
    std::string vmList;                 ///< Base URL of the VM list.
    std::vector<Address> seeds;         ///< Members to ask first when joining.
    std::size_t workerThreads = 2;      ///< Threads that serve callers.
    std::size_t upstreamThreads = 1;    ///< Threads that talk to upstreams.
    milliseconds stopTimeout {600'000}; ///< Longest graceful stop.
    LogFormat logFormat = LogFormat::Text;
    std::string logFile; ///< Empty: standard error.
    CallerLimits callers;
    UpstreamTimeouts upstreams;

    bool operator==(const Settings &other) const = default;
};

/// Reads the required address at \a name; one that is malformed is a fault.
Address readAddress(json::ObjectReader &reader, const std::string &name);
/// Reads the list of addresses at `seeds`.
std::vector<Address> readSeeds(json::ObjectReader &reader);
/// Reads a count; see ObjectReader::integer().
std::size_t readSize(json::ObjectReader &reader, const std::string &name,
                     json::Range<std::int64_t> range, std::size_t fallback);

/// Fills Settings from a JSON document; adds every fault to \a faults.
Settings parseSettings(const nlohmann::json &document, json::Faults &faults);

/// Reads and parses the file at \a path.
/// \return the settings, or DocumentInvalid with one line for each fault.
Result<Settings> loadSettings(const std::string &path);

} // namespace azurespindle::settings

#endif
