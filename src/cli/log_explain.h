#ifndef AZURESPINDLE_CLI_LOG_EXPLAIN_H
#define AZURESPINDLE_CLI_LOG_EXPLAIN_H

#include <istream>
#include <string>
#include <vector>

namespace azurespindle::cli {

/// One line of a structured log.
struct LogLine
{
    std::string time; ///< As the process wrote it; clocks of two processes may differ.
    std::string process;
    std::string name; ///< Of the event.
    std::vector<std::pair<std::string, std::string>> fields;
    std::size_t position = 0; ///< In the order in which the lines were read.
    bool operator==(const LogLine &other) const = default;

    /// Returns the value of a field, or an empty text.
    std::string value(const std::string &field) const;
};

/// Reads the structured lines of a log; whatever else stands in it is passed over. What a
/// collector wrote before a line's opening brace does not count.
std::vector<LogLine> readLog(std::istream &log);

/// Returns the story of a request, an upstream or a member out of the logs of any number of
/// processes, as text: every line that names \a id, and, for a request, what happened to the
/// upstreams that it was sent to while it was open.
///
/// Lines of one process keep their order; those of several are put in order by their clocks.
std::string explainFromLogs(const std::vector<LogLine> &lines, const std::string &id);

} // namespace azurespindle::cli

#endif
