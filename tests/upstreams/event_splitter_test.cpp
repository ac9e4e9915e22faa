#include "upstreams/event_splitter.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::upstreams {

class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(eventsKeepTheirBytesWhereverTheStreamIsCut);
    CPPUNIT_TEST(anIncompleteEventIsNotReturned);
    CPPUNIT_TEST(onlyNumericIdFieldsAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsKeepTheirBytesWhereverTheStreamIsCut()
    {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            EventSplitter splitter;
            std::vector<RawEvent> events = splitter.feed(stream.substr(0, cut));
            for (RawEvent &event : splitter.feed(stream.substr(cut))) {
                events.push_back(std::move(event));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), events.size());
            std::string joined;
            for (std::size_t index = 0; index < events.size(); ++index) {
                joined += events[index].bytes;
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(index + 1), events[index].id.value_or(0));
            }
            CPPUNIT_ASSERT_EQUAL(stream, joined);
        }
    }

    void anIncompleteEventIsNotReturned()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), splitter.feed("id: 1\n\nid: 2\ndata: half").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), splitter.pendingBytes());
    }

    void onlyNumericIdFieldsAreRead()
    {
        EventSplitter splitter;
        const auto events
            = splitter.feed("data: id: 9\n\nweight-versions: 3\nid: 7\ndata: x\n\nid: none\n\n");
        CPPUNIT_ASSERT(!events[0].id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), events[1].id.value_or(0));
        CPPUNIT_ASSERT(!events[2].id);
    }
};

REGISTER_SUITE(EventSplitterTest, "event_splitter");

} // namespace azurespindle::upstreams
