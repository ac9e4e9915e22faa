#include "journal/journal.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <utility>

namespace azurespindle::journal {
namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

// Boost.Log's macros declare an attribute keyword and a global logger with the given names.
BOOST_LOG_ATTRIBUTE_KEYWORD(severityKeyword, "Severity", Severity)
BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(Logger, logging::sources::severity_logger_mt<Severity>)

const char *name(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "info";
}

logging::formatter formatter(settings::LogFormat format, const std::string &process)
{
    const auto time = expressions::format_date_time<boost::posix_time::ptime>(
        "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ");
    if (format == settings::LogFormat::Json) {
        return expressions::stream << R"({"time":")" << time << R"(","process":")" << process
                                   << R"(",)" << expressions::smessage;
    }
    return expressions::stream << time << " " << process << " " << expressions::smessage;
}

settings::LogFormat activeFormat = settings::LogFormat::Text;

/// Most lines queued for a slow reader.
constexpr std::size_t maxQueuedLines = 4'096;
/// Time that closeBoundedLog() gives queued lines to be written.
constexpr std::chrono::milliseconds closeDelay {150};
std::atomic<std::uint64_t> droppedLines {0};

/// Overflow policy of the log queue that drops lines while the queue is full and counts them.
class CountingOverflowPolicy
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the library prescribes the names.
    template<typename Lock> static bool on_overflow(const logging::record_view &, Lock &)
    {
        droppedLines += 1;
        return false;
    }
    static void on_queue_space_available() { }
    // NOLINTEND(readability-identifier-naming)
    static void interrupt() { }
};

using BoundedSink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<maxQueuedLines, CountingOverflowPolicy>>;
boost::shared_ptr<BoundedSink> boundedSink;

} // namespace

void openLog(settings::LogFormat format, const std::string &file, const std::string &processName,
             Severity lowest)
{
    activeFormat = format;
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    logging::core::get()->set_filter(severityKeyword >= lowest);
    if (file.empty()) {
        logging::add_console_log(std::clog)->set_formatter(formatter(format, processName));
        return;
    }
    auto sink = logging::add_file_log(logging::keywords::file_name = file,
                                      logging::keywords::open_mode = std::ios::app,
                                      logging::keywords::auto_flush = true);
    sink->set_formatter(formatter(format, processName));
}

void openBoundedLog(settings::LogFormat format, const std::string &processName, Severity lowest)
{
    activeFormat = format;
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    logging::core::get()->set_filter(severityKeyword >= lowest);
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    boundedSink = boost::make_shared<BoundedSink>(backend);
    boundedSink->set_formatter(formatter(format, processName));
    logging::core::get()->add_sink(boundedSink);
}

std::uint64_t takeDroppedLineCount()
{
    return droppedLines.exchange(0);
}

void closeBoundedLog()
{
    // asynchronous_sink::stop() would block while nobody reads, so the sink is left to its thread.
    logging::core::get()->remove_sink(boundedSink);
    std::this_thread::sleep_for(closeDelay);
}

std::string toText(const Entry &entry)
{
    const EventDescription &description = describe(entry.id);
    std::string text = std::string(name(description.severity)) + " "
        + std::to_string(static_cast<int>(entry.id)) + " " + description.name;
    for (const Field &field : entry.fields) {
        const bool quoted = field.value.empty() || field.value.find(' ') != std::string::npos;
        text += " " + field.name + "=" + (quoted ? "\"" + field.value + "\"" : field.value);
    }
    return text;
}

std::string toJson(const Entry &entry)
{
    const EventDescription &description = describe(entry.id);
    nlohmann::ordered_json json;
    json["severity"] = name(description.severity);
    json["event"] = static_cast<int>(entry.id);
    json["name"] = description.name;
    for (const Field &field : entry.fields) {
        json[field.name] = field.value;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Journal::record(Entry entry)
{
    const Severity severity = describe(entry.id).severity;
    if (activeFormat == settings::LogFormat::Json) {
        BOOST_LOG_SEV(Logger::get(), severity) << toJson(entry).substr(1);
    } else {
        BOOST_LOG_SEV(Logger::get(), severity) << toText(entry);
    }
    const std::lock_guard lock(this->mutex);
    if (this->recentEntries.size() >= maxRecent) {
        this->recentEntries.pop_front();
    }
    this->recentEntries.push_back({std::chrono::system_clock::now(), std::move(entry)});
}

std::vector<RecordedEvent> Journal::eventsWithValue(const std::string &value) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<RecordedEvent> matching;
    for (const RecordedEvent &recorded : this->recentEntries) {
        const auto &fields = recorded.entry.fields;
        const bool hasValue = std::any_of(fields.begin(), fields.end(),
                                          [&](const Field &each) { return each.value == value; });
        if (hasValue) {
            matching.push_back(recorded);
        }
    }
    return matching;
}

std::size_t Journal::recentCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->recentEntries.size();
}

} // namespace azurespindle::journal
