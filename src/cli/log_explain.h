#ifndef AZURESPINDLE_CLI_LOG_EXPLAIN_H
#define AZURESPINDLE_CLI_LOG_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

namespace azurespindle::cli {

/// Parsed line of a structured log.
struct LogLine
{
    std::string time; ///< Timestamp as logged; clocks of different processes may differ.
    std::string process;
    std::string name; ///< Name of the event.
    std::vector<std::pair<std::string, std::string>> fields;
    std::size_t position = 0; ///< Index in the order in which the lines were read.
    bool operator==(const LogLine &other) const = default;

    /// Returns the value of a field, or an empty string if there is no such field.
    std::string value(const std::string &field) const;
};

/// Reads the structured lines of a log. Lines that are not JSON log events are skipped, and so is
/// any prefix that a log collector added before the opening brace.
std::vector<LogLine> readLog(std::istream &log);

/// Returns, as text, the events of a request, an upstream or a member from the logs of any number
/// of processes: every line with a field equal to \a id. For a request, the events of its upstreams
/// and of the processes that handled it are included for the time that the request was open.
///
/// Lines of one process keep their order; lines of different processes are ordered by timestamp.
std::string explainFromLogs(const std::vector<LogLine> &lines, const std::string &id);

} // namespace azurespindle::cli

#endif
