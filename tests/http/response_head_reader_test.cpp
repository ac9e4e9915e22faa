#include "http/response_head_reader.h"

#include "support/suite.h"

#include <string>
#include <utility>

namespace azurespindle::http {
namespace {

const std::string okLine = "HTTP/1.1 200 OK\r\n";

/// Reads \a text line by line. \return the first fault.
std::optional<HeadFault> read(ResponseHeadReader &reader, const std::string &text)
{
    std::size_t begin = 0;
    std::optional<HeadFault> fault;
    while (begin < text.size() && !fault) {
        const std::size_t end = text.find('\n', begin) + 1;
        fault = reader.readLine(std::string_view(text).substr(begin, end - begin));
        begin = end;
    }
    return fault;
}

} // namespace

class ResponseHeadReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseHeadReaderTest);
    CPPUNIT_TEST(soundHeadsAreRead);
    CPPUNIT_TEST(fieldsKeepTheirOrderAndSpelling);
    CPPUNIT_TEST(interimHeadsLeaveNothingBehind);
    CPPUNIT_TEST(eachFaultIsNamed);
    CPPUNIT_TEST(trailersAreCheckedAndNotKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundHeadsAreRead()
    {
        const std::pair<std::string, std::optional<std::uint64_t>> rows[] = {
            {okLine + "\r\n", std::nullopt},
            {okLine + "Content-Length: 800\r\n\r\n", 800},
            {okLine + "content-length:0 \t\r\n\r\n", 0},
            {okLine + "Content-Length: 18446744073709551615\r\n\r\n", 18446744073709551615U},
            {okLine + "transfer-encoding: CHUNKED\r\n\r\n", std::nullopt},
            {"HTTP/1.0 404 Not Found\nX-Empty:\nX-Text: \xc3\xa4\tb\n\n", std::nullopt},
            {"HTTP/1.1 204\r\nContent-Length: 0\r\n\r\n", 0},
            {"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 9},
        };
        for (const auto &[head, length] : rows) {
            ResponseHeadReader reader;
            CPPUNIT_ASSERT_MESSAGE(head, !read(reader, head));
            CPPUNIT_ASSERT_MESSAGE(head, reader.isComplete());
            CPPUNIT_ASSERT_MESSAGE(head, reader.contentLength() == length);
        }
    }

    void fieldsKeepTheirOrderAndSpelling()
    {
        ResponseHeadReader reader;
        CPPUNIT_ASSERT(
            !read(reader, okLine + "B-Field: 1\r\na-field:  two words \r\nB-Field:\r\n"));
        CPPUNIT_ASSERT(!reader.isComplete());
        CPPUNIT_ASSERT_EQUAL(200, reader.status());
        const HeaderFields expected {{"B-Field", "1"}, {"a-field", "two words"}, {"B-Field", ""}};
        CPPUNIT_ASSERT(expected == reader.fields());
    }

    void interimHeadsLeaveNothingBehind()
    {
        ResponseHeadReader reader;
        CPPUNIT_ASSERT(!read(reader, "HTTP/1.1 103 Early\r\nContent-Length: 0\r\nLink: x\r\n\r\n"));
        CPPUNIT_ASSERT(!reader.isComplete());
        CPPUNIT_ASSERT(!read(reader, okLine + "Content-Length: 8\r\n\r\n"));
        CPPUNIT_ASSERT(reader.contentLength() == std::uint64_t(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reader.fields().size());
    }

    /// Guards against a head that is understood otherwise than its server meant it (rule MIXED).
    void eachFaultIsNamed()
    {
        const std::pair<std::string, HeadFault> rows[] = {
            {"\r\n", HeadFault::StatusLine},
            {"HTTP/1.1 600 OK\r\n", HeadFault::StatusLine},
            {"HTTP/1.2 200 OK\r\n", HeadFault::StatusLine},
            {"HTTP/2 200\r\n", HeadFault::StatusLine},
            {"HTTP/1.1 101 Switching\r\n", HeadFault::StatusLine},
            {"HTTP/1.1 200 O\x01K\r\n", HeadFault::StatusLine},
            {okLine + "no field\r\n", HeadFault::FieldLine},
            {okLine + ": no name\r\n", HeadFault::FieldLine},
            {okLine + "Space : x\r\n", HeadFault::FieldLine},
            {okLine + "Folded: x\r\n y\r\n", HeadFault::FieldLine},
            {okLine + "N\x01me: x\r\n", HeadFault::FieldLine},
            {okLine + "Control: a\x7f\r\n", HeadFault::FieldLine},
            {okLine + "Return: a\rb\r\n", HeadFault::FieldLine},
            {okLine + "HTTP/1.1 500 Status\r\n", HeadFault::FieldLine},
            {okLine + "Content-Length: 8~0\r\n", HeadFault::Length},
            {okLine + "Content-Length: 8 0\r\n", HeadFault::Length},
            {okLine + "Content-Length:\r\n", HeadFault::Length},
            {okLine + "Content-Length: -8\r\n", HeadFault::Length},
            {okLine + "Content-Length: +8\r\n", HeadFault::Length},
            {okLine + "Content-Length: 0x8\r\n", HeadFault::Length},
            {okLine + "Content-Length: 5, 8\r\n", HeadFault::Length},
            {okLine + "Content-Length: 18446744073709551616\r\n", HeadFault::Length},
            {okLine + "Content-Length: 8\r\ncontent-length: 8\r\n", HeadFault::Length},
            {okLine + "Transfer-Encoding: gzip\r\n", HeadFault::Coding},
            {okLine + "Transfer-Encoding: gzip, chunked\r\n", HeadFault::Coding},
            {okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             HeadFault::Coding},
            {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", HeadFault::Coding},
            {okLine + "Transfer-Encoding: chunked\r\nContent-Length: 8\r\n\r\n",
             HeadFault::TwoFramings},
            {"HTTP/1.1 204 Empty\r\nContent-Length: 8\r\n\r\n", HeadFault::Body},
            {"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n", HeadFault::Body},
        };
        for (const auto &[head, fault] : rows) {
            ResponseHeadReader reader;
            CPPUNIT_ASSERT_MESSAGE(head, read(reader, head) == fault);
            CPPUNIT_ASSERT_MESSAGE(head, !reader.isComplete());
        }
    }

    void trailersAreCheckedAndNotKept()
    {
        ResponseHeadReader reader;
        CPPUNIT_ASSERT(!read(reader, okLine + "Transfer-Encoding: chunked\r\n\r\n"));
        CPPUNIT_ASSERT(!read(reader, "Content-Length: 8~0\r\nX-Sum: 1\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reader.fields().size());
        CPPUNIT_ASSERT(read(reader, "the rest of a body\r\n") == HeadFault::FieldLine);
    }
};

REGISTER_SUITE(ResponseHeadReaderTest, "response_head_reader");

} // namespace azurespindle::http
