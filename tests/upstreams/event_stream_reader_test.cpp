#include "upstreams/event_stream_reader.h"

#include "support/suite.h"

#include <string>
#include <utility>

namespace azurespindle::upstreams {
namespace {

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: d" + std::to_string(number) + "\n\n";
}

/// Feeds \a stream in two parts. \return all events, and the fault if there is one.
EventBatch readInTwoParts(const std::string &stream, std::size_t cut)
{
    EventStreamReader reader({"weight-versions"});
    EventBatch all = reader.feed(stream.substr(0, cut));
    EventBatch rest = reader.feed(stream.substr(cut));
    for (RawEvent &event : rest.events) {
        all.events.push_back(std::move(event));
    }
    all.fault = rest.fault;
    return all;
}

std::string joined(const EventBatch &batch)
{
    std::string bytes;
    for (const RawEvent &event : batch.events) {
        bytes += event.bytes;
    }
    return bytes;
}

} // namespace

class EventStreamReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamReaderTest);
    CPPUNIT_TEST(eventsKeepTheirBytesWhereverTheStreamIsCut);
    CPPUNIT_TEST(anIncompleteEventIsNotReturned);
    CPPUNIT_TEST(onlyIdFieldsAreReadAsIds);
    CPPUNIT_TEST(nothingIsReturnedFromTheFirstFaultOn);
    CPPUNIT_TEST(aFaultStaysFound);
    CPPUNIT_TEST(anEventThatIsTooLargeIsAFault);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsKeepTheirBytesWhereverTheStreamIsCut()
    {
        const std::pair<std::string, std::vector<std::uint64_t>> streams[] = {
            {"id: 1\ndata: a\n\nid:2\ndata: b\n\n", {1, 2}},
            {"id: 1\r\ndata: a\r\n\r\nid: 30\r\ndata: b\r\n\r\n", {1, 30}},
            {"weight-versions: 3\nid: 7\ndata: x\n\n: comment\n\nevent: end\ndata\n\n", {7, 0, 0}},
            {"retry: 10\n\ndata: HTTP/1.1 500 Status\ndata: Content-Type: a\nid: 1\n\n", {0, 1}},
            {"id: 1\ndata: d1HTTP/1.1 500 Status\n\nid: 2\ndata:\ndata: \n\n\n", {1, 2, 0}},
        };
        for (const auto &[stream, ids] : streams) {
            for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
                const EventBatch batch = readInTwoParts(stream, cut);
                CPPUNIT_ASSERT_MESSAGE(stream, !batch.fault);
                CPPUNIT_ASSERT_EQUAL(stream, joined(batch));
                CPPUNIT_ASSERT_EQUAL(ids.size(), batch.events.size());
                for (std::size_t index = 0; index < ids.size(); ++index) {
                    CPPUNIT_ASSERT_EQUAL(ids[index], batch.events[index].id.value_or(0));
                }
            }
        }
    }

    void anIncompleteEventIsNotReturned()
    {
        EventStreamReader reader;
        const EventBatch batch = reader.feed(event(1) + "id: 2\ndata: half");
        CPPUNIT_ASSERT_EQUAL(event(1), joined(batch));
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), reader.pendingBytes());
    }

    void onlyIdFieldsAreReadAsIds()
    {
        EventStreamReader reader;
        const EventBatch batch = reader.feed("data: id: 9\n\nid: 7\ndata: x\n\n");
        CPPUNIT_ASSERT(!batch.events[0].id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), batch.events[1].id.value_or(0));
    }

    /// Guards against bytes that are no events and reach the caller, or hide what came before.
    void nothingIsReturnedFromTheFirstFaultOn()
    {
        const std::pair<std::string, EventFault> rows[] = {
            {"HTTP/1.1 500 Status\n", EventFault::UnknownField},
            {"id: 2\ndata: dHTTP/1.1 500 Status\r\n", EventFault::MixedLineEnds},
            {"id: 2\ndata: dHTTP/1.1 500 Status\nContent-Type: a\n\n", EventFault::UnknownField},
            {"id: 2\ndata: d2\n\r\n", EventFault::MixedLineEnds},
            {"id: 2\ndata: a\rb\n\n", EventFault::MixedLineEnds},
            {"id: 2\ndata: d2\nserver error\n\n", EventFault::UnknownField},
            {"Id: 2\ndata: d2\n\n", EventFault::UnknownField},
            {" id: 2\ndata: d2\n\n", EventFault::UnknownField},
            {"id: 2\ndata: d2\nid: 3\ndata: d3\n\n", EventFault::RepeatedField},
            {"event: a\nevent: b\ndata\n\n", EventFault::RepeatedField},
            {"weight-versions: 1\nweight-versions: 1\n\n", EventFault::RepeatedField},
            {"id: none\ndata\n\n", EventFault::InvalidId},
            {"id: 2HTTP/1.1 500 Status\n", EventFault::InvalidId},
            {"id: -2\ndata\n\n", EventFault::InvalidId},
            {"id:  2\ndata\n\n", EventFault::InvalidId},
            {"id\ndata\n\n", EventFault::InvalidId},
            {"id: 99999999999999999999\ndata\n\n", EventFault::InvalidId},
            {"id: 1\ndata: d1\n\n", EventFault::IdNotIncreasing},
            {"id: 0\ndata: d0\n\n", EventFault::IdNotIncreasing},
            {"id: 2\n\n", EventFault::IdWithoutData},
        };
        for (const auto &[row, fault] : rows) {
            const std::string stream = event(1) + row + event(3);
            for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
                const EventBatch batch = readInTwoParts(stream, cut);
                CPPUNIT_ASSERT_MESSAGE(row, batch.fault == fault);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row, event(1), joined(batch));
            }
        }
    }

    void aFaultStaysFound()
    {
        EventStreamReader reader;
        CPPUNIT_ASSERT(reader.feed("HTTP/1.1 200 OK\r\n").fault == EventFault::UnknownField);
        const EventBatch later = reader.feed("\r\nid: 1\r\ndata: d1\r\n\r\n");
        CPPUNIT_ASSERT(later == (EventBatch {{}, EventFault::UnknownField}));
    }

    void anEventThatIsTooLargeIsAFault()
    {
        const std::string fits
            = "data:" + std::string(EventStreamReader::maxEventBytes - 7, 'x') + "\n\n";
        CPPUNIT_ASSERT_EQUAL(fits, joined(EventStreamReader().feed(fits)));
        CPPUNIT_ASSERT(EventStreamReader().feed("data:x" + fits.substr(5)).fault
                       == EventFault::TooLarge);
        CPPUNIT_ASSERT(EventStreamReader().feed(fits.substr(0, fits.size() - 1) + "xx").fault
                       == EventFault::TooLarge);
    }
};

REGISTER_SUITE(EventStreamReaderTest, "event_stream_reader");

} // namespace azurespindle::upstreams
