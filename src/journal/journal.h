#ifndef AZURESPINDLE_JOURNAL_JOURNAL_H
#define AZURESPINDLE_JOURNAL_JOURNAL_H

#include "journal/event_id.h"
#include "settings/settings.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::journal {

/// A journal entry with the time at which it was recorded.
struct RecordedEvent
{
    std::chrono::system_clock::time_point at;
    Entry entry;
};

/// Opens the log of this process.
/// \param file path of the log file, which is appended to; empty for standard error
/// \param lowest lowest severity that is written
void openLog(settings::LogFormat format, const std::string &file, const std::string &processName,
             Severity lowest);

/// Opens the log of this process on standard output. Logging never blocks on a slow reader: lines
/// are queued up to a fixed limit, and further ones are dropped and counted.
/// \param lowest lowest severity that is written
void openBoundedLog(settings::LogFormat format, const std::string &processName, Severity lowest);
/// Returns the number of lines that openBoundedLog() dropped, and resets it to 0.
std::uint64_t takeDroppedLineCount();
/// Closes the log that openBoundedLog() opened. Gives queued lines a short time to be written;
/// lines that nobody reads in that time are lost.
void closeBoundedLog();

/// Returns \a entry as one line of text such as "info 200 request-placed request=7".
std::string toText(const Entry &entry);
/// Returns \a entry as a JSON object on one line, without the time.
std::string toJson(const Entry &entry);

/// The event journal of one process. Writes each entry to the log and keeps the recent ones for
/// `azurespindle explain`. Thread-safe.
class Journal
{
public:
    /// Most entries kept in memory.
    static constexpr std::size_t maxRecent = 4'096;

    // Commands

    void record(Entry entry);

    // Queries

    /// Returns the recent entries, oldest first, that have a field with exactly the value \a value.
    std::vector<RecordedEvent> eventsWithValue(const std::string &value) const;
    std::size_t recentCount() const;

private:
    mutable std::mutex mutex;
    std::deque<RecordedEvent> recentEntries;
};

} // namespace azurespindle::journal

#endif
