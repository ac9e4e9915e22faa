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

/// An event with the time it happened.
struct RecordedEvent
{
    std::chrono::system_clock::time_point at;
    Entry entry;
};

/// Opens the log of this process: format, file, and the lowest severity that is written.
void openLog(settings::LogFormat format, const std::string &file, const std::string &processName,
             Severity lowest);

/// Opens the log of this process on standard output, without ever waiting for its reader: past
/// a bounded number of waiting lines, further ones are dropped and counted.
void openBoundedLog(settings::LogFormat format, const std::string &processName, Severity lowest);
/// Returns the lines that were dropped since the last call.
std::uint64_t takeDroppedLineCount();
/// Writes what waits, but gives up soon if nobody reads.
void closeBoundedLog();

/// Returns the entry as one line of readable text, without its time.
std::string toText(const Entry &entry);
/// Returns the entry as one JSON object, without its time.
std::string toJson(const Entry &entry);

/// The numbered events of one process: written to the log, and the recent ones kept for
/// `azurespindle explain`. Thread-safe.
class Journal
{
public:
    /// Events kept for explain, of all kinds.
    static constexpr std::size_t maxRecent = 4'096;

    // Commands

    void record(Entry entry);

    // Queries

    /// Returns the recent events in which some field has exactly the value \a value.
    std::vector<RecordedEvent> eventsWithValue(const std::string &value) const;
    std::size_t recentCount() const;

private:
    mutable std::mutex mutex;
    std::deque<RecordedEvent> recent;
};

} // namespace azurespindle::journal

#endif
