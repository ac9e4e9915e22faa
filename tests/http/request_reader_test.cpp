#include "http/internal/request_reader.h"

#include "support/suite.h"

#include <string>
#include <vector>

namespace azurespindle::http::internal {
namespace {

ReadOutcome read(const std::string &bytes, settings::CallerLimits limits = {})
{
    RequestReader reader(limits);
    reader.append(bytes.data(), bytes.size());
    return reader.next();
}

std::string describe(const ReadOutcome &outcome)
{
    if (const auto *rejection = std::get_if<RejectedRequest>(&outcome)) {
        return std::to_string(rejection->status) + " " + rejection->detail;
    }
    return std::holds_alternative<ServerRequest>(outcome) ? "a request" : "incomplete";
}

} // namespace

class RequestReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestReaderTest);
    CPPUNIT_TEST(ambiguousFramingIsRefused);
    CPPUNIT_TEST(targetFieldsAndBodyArePreserved);
    CPPUNIT_TEST(chunkedBodyWithExtensionsAndTrailerIsDecoded);
    CPPUNIT_TEST(requestIsParsedFromSingleBytes);
    CPPUNIT_TEST(aHeaderWhoseEndArrivesInPartsIsNotTakenForFolded);
    CPPUNIT_TEST(pipelinedRequestsAreReadInOrder);
    CPPUNIT_TEST(headerAndBodyLimitsAreEnforced);
    CPPUNIT_TEST(aBodyLimitBelowTheHeaderRefusesNoHeader);
    CPPUNIT_TEST(trailersAndChunkExtensionsWithoutEndAreRefused);
    CPPUNIT_TEST(trailersAndChunkExtensionsWithinTheLimitAreAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against request smuggling: a parser that accepts these requests runs them although
    /// their length is ambiguous, as the former parser did.
    void ambiguousFramingIsRefused()
    {
        const std::vector<std::string> ambiguous {
            "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
            "Content-Length : 5\r\n\r\nhello",
            "X-Long: a\r\n folded\r\nContent-Length: 0\r\n\r\n",
            "X-Long: a\r\n\tfolded\r\nContent-Length: 0\r\n\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "Content-Length: 0x5\r\n\r\nhello",
            "Content-Length: -1\r\n\r\n",
            "Content-Length: +5\r\n\r\nhello",
            "Content-Length: 5, 5\r\n\r\nhello",
            "X-Bare: a\nContent-Length: 5\r\n\r\nhello",
            "Content-Length: 5\n\nhello\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
            "Host: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
        };
        for (const std::string &head : ambiguous) {
            const std::string found = describe(read("POST /orders HTTP/1.1\r\n" + head));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, std::string("400"), found.substr(0, 3));
        }
        const std::string http10Request
            = "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("400"), describe(read(http10Request)).substr(0, 3));
    }

    void targetFieldsAndBodyArePreserved()
    {
        const std::string body {'\0', '\1', '\2'};
        const std::string bytes = "PUT /a//b/../c%2f?x=%41&y=+ HTTP/1.1\r\nHoSt: shop\r\n"
                                  "X-One: 1\r\nX-One:  2 \r\nContent-Length: 3\r\n\r\n"
            + body;
        const ReadOutcome whole = read(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(whole), true,
                                     std::holds_alternative<ServerRequest>(whole));
        const auto &request = std::get<ServerRequest>(whole);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a//b/../c%2f?x=%41&y=+"), request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("/a//b/../c%2f"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("A"), request.queryField("x"));
        CPPUNIT_ASSERT_EQUAL(std::string(" "), request.queryField("y"));
        const HeaderFields fields {
            {"HoSt", "shop"}, {"X-One", "1"}, {"X-One", "2"}, {"Content-Length", "3"}};
        CPPUNIT_ASSERT(fields == request.fields);
        CPPUNIT_ASSERT_EQUAL(body, request.body);
    }

    void chunkedBodyWithExtensionsAndTrailerIsDecoded()
    {
        const ReadOutcome outcome
            = read("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
                   "5;name=\"value\"\r\nhello\r\n1\r\n!\r\n0\r\nX-Trailer: t\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("a request"), describe(outcome));
        CPPUNIT_ASSERT_EQUAL(std::string("hello!"), std::get<ServerRequest>(outcome).body);
    }

    void requestIsParsedFromSingleBytes()
    {
        const std::string bytes = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "3\r\nabc\r\n0\r\n\r\n";
        RequestReader reader(settings::CallerLimits {});
        for (std::size_t index = 0; index + 1 < bytes.size(); ++index) {
            reader.append(bytes.data() + index, 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(index), std::string("incomplete"),
                                         describe(reader.next()));
            CPPUNIT_ASSERT(reader.hasPendingInput());
        }
        reader.append(bytes.data() + bytes.size() - 1, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("a request"), describe(reader.next()));
        CPPUNIT_ASSERT(!reader.hasPendingInput());
    }

    /// Found by the fuzzer: if the empty line after the header arrived in two parts, a line of the
    /// body that begins with a space was taken for a folded header line. If the request line
    /// arrived alone, the empty line after it was skipped, and the request never ended.
    void aHeaderWhoseEndArrivesInPartsIsNotTakenForFolded()
    {
        for (const std::string &bytes :
             {std::string("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\na\n b"),
              std::string("GET / HTTP/1.1\r\n\r\n")}) {
            for (std::size_t split = 0; split < bytes.size(); ++split) {
                RequestReader reader(settings::CallerLimits {});
                reader.append(bytes.data(), split);
                reader.next();
                reader.append(bytes.data() + split, bytes.size() - split);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(split), std::string("a request"),
                                             describe(reader.next()));
            }
        }
    }

    void pipelinedRequestsAreReadInOrder()
    {
        const std::string bytes = "POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                                  "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "1\r\nc\r\n0\r\n\r\n"
                                  "\r\nGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n";
        RequestReader reader(settings::CallerLimits {});
        reader.append(bytes.data(), bytes.size());
        for (const char *path : {"/1", "/2", "/3"}) {
            const ReadOutcome outcome = reader.next();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(outcome), std::string(path),
                                         std::get<ServerRequest>(outcome).path);
            const bool last = std::string(path) == "/3";
            CPPUNIT_ASSERT_EQUAL(!last, std::get<ServerRequest>(outcome).keepAlive);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("incomplete"), describe(reader.next()));
    }

    void headerAndBodyLimitsAreEnforced()
    {
        settings::CallerLimits limits;
        limits.headerBytes = 200;
        limits.bodyBytes = 1'000;
        const std::string head = "POST / HTTP/1.1\r\n";
        const std::string longField = "X: " + std::string(300, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("431"),
                             describe(read(head + longField, limits)).substr(0, 3));
        const std::string largeBody = "Content-Length: 1001\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("413"),
                             describe(read(head + largeBody, limits)).substr(0, 3));
    }

    /// A body limit below the size of the header made every request fail with 431.
    void aBodyLimitBelowTheHeaderRefusesNoHeader()
    {
        settings::CallerLimits limits;
        limits.bodyBytes = 64;
        const std::string head
            = "POST / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\nContent-Length: ";
        CPPUNIT_ASSERT_EQUAL(std::string("a request"),
                             describe(read(head + "64\r\n\r\n" + std::string(64, 'b'), limits)));
        CPPUNIT_ASSERT_EQUAL(std::string("413"),
                             describe(read(head + "65\r\n\r\n", limits)).substr(0, 3));
    }

    /// The parser holds a chunk extension or trailers until their end, which never came: two
    /// connections took 159 MB.
    void trailersAndChunkExtensionsWithoutEndAreRefused()
    {
        settings::CallerLimits limits;
        limits.headerBytes = 1'000;
        const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string field = "X-Trailer: t\r\n";
        std::string manyFields;
        for (int number = 0; number < 100; ++number) {
            manyFields += field;
        }
        for (const std::string &tail :
             {"0\r\n" + manyFields, "0\r\n" + manyFields + "\r\n",
              "0\r\nX: " + std::string(1'000, 'x'), "5;x=" + std::string(1'000, 'x'),
              "5\r\nhello\r\n5;x=" + std::string(1'000, 'x') + "\r\nhello\r\n0\r\n\r\n"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tail.substr(0, 30), std::string("431"),
                                         describe(read(head + tail, limits)).substr(0, 3));
            RequestReader reader(limits);
            std::string outcome = "incomplete";
            for (const char byte : head + tail) {
                reader.append(&byte, 1);
                outcome = describe(reader.next());
                CPPUNIT_ASSERT(reader.unreadBytes() <= limits.headerBytes);
                if (outcome != "incomplete") {
                    break;
                }
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tail.substr(0, 30), std::string("431"),
                                         outcome.substr(0, 3));
        }
    }

    void trailersAndChunkExtensionsWithinTheLimitAreAccepted()
    {
        settings::CallerLimits limits;
        limits.headerBytes = 1'000;
        const std::string chunk = "5;x=" + std::string(980, 'x') + "\r\nhello\r\n";
        const std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
            + chunk + chunk + "0\r\nX-Trailer: " + std::string(970, 't') + "\r\n\r\n";
        const ReadOutcome outcome = read(bytes, limits);
        CPPUNIT_ASSERT_EQUAL(std::string("a request"), describe(outcome));
        CPPUNIT_ASSERT_EQUAL(std::string("hellohellohello"), std::get<ServerRequest>(outcome).body);
    }
};

REGISTER_SUITE(RequestReaderTest, "request_reader");

} // namespace azurespindle::http::internal
