#include "crowd/abusive_caller.h"
#include "crowd/entry_under_load.h"
#include "support/suite.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace azurespindle::tests {
namespace {

/// First of the ports of the process, which each test starts anew.
constexpr std::uint16_t firstPort = 24'600;
/// Bound on the resident memory of the process, which uses 16 MB when idle.
constexpr std::size_t residentBound = 67'108'864;
/// Bound on its open descriptors.
constexpr std::size_t descriptorBound = EntryUnderLoad::descriptors;
/// Longest time in which an abusive caller may be unable to send before it stops.
constexpr milliseconds sendPatience {3'000};
/// Long enough for a machine under load: only an answer that never comes fails.
constexpr milliseconds answerPatience {20'000};

/// Time for the process to read what the system has buffered, before it is examined.
constexpr milliseconds settleTime {1'500};

constexpr std::size_t megabyte = 1'048'576;

const std::string requestLine = "POST /look/at HTTP/1.1\r\nHost: shop.example\r\n"
                                "Azurespindle-Attempt-Id: abusive\r\nAzurespindle-Key: k1\r\n";
const std::string chunkedHead = requestLine + "Transfer-Encoding: chunked\r\n\r\n";

std::string chunksOf(std::size_t chunkBytes, std::size_t count)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunkBytes);
    std::string chunks;
    for (std::size_t index = 0; index < count; ++index) {
        chunks += size + std::string(chunkBytes, 'b') + "\r\n";
    }
    return chunks;
}

/// Returns the body of a chunked request in chunks of \a chunkBytes that ends just short of the
/// largest permitted body.
AbusiveInput unfinishedBody(std::size_t chunkBytes)
{
    constexpr std::size_t unsentBytes = 65'536;
    const std::size_t chunksEach = std::max<std::size_t>(1, 4'096 / chunkBytes);
    const std::string chunks = chunksOf(chunkBytes, chunksEach);
    const std::size_t repeats
        = (EntryUnderLoad::bodyBytes - unsentBytes) / (chunkBytes * chunksEach);
    return {chunkedHead, chunks, chunkedHead.size() + repeats * chunks.size()};
}

} // namespace

/// Plays abusive callers against the system's own process, with lowered limits. Checks only that it
/// lives, stays within its bounds and answers an ordinary request afterwards.
class AbusiveCallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AbusiveCallersTest);
    CPPUNIT_TEST(trailersWithoutEndDoNotFillTheMemory);
    CPPUNIT_TEST(aTrailerLineWithoutEndDoesNotFillTheMemory);
    CPPUNIT_TEST(aChunkExtensionWithoutEndDoesNotFillTheMemory);
    CPPUNIT_TEST(bodiesDeclaredOverTheLimitDoNotFillTheMemory);
    CPPUNIT_TEST(bodiesSentOverTheLimitDoNotFillTheMemory);
    CPPUNIT_TEST(unfinishedBodiesInLargeChunksDoNotFillTheMemory);
    CPPUNIT_TEST(unfinishedBodiesInSmallChunksDoNotFillTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Two connections with 60 MB of trailer fields each took 159 MB, and nothing was refused.
    void trailersWithoutEndDoNotFillTheMemory()
    {
        this->play(2,
                   {chunkedHead + "0\r\n", "X-Trailer: " + std::string(1'000, 't') + "\r\n",
                    60 * megabyte});
    }

    /// One trailer line of 60 MB took 196 MB.
    void aTrailerLineWithoutEndDoesNotFillTheMemory()
    {
        this->play(1, {chunkedHead + "0\r\nX-Trailer: ", std::string(4'096, 't'), 60 * megabyte});
    }

    /// Four connections with a chunk extension each took 279 MB.
    void aChunkExtensionWithoutEndDoesNotFillTheMemory()
    {
        this->play(4, {chunkedHead + "5;name=", std::string(4'096, 'e'), 60 * megabyte});
    }

    void bodiesDeclaredOverTheLimitDoNotFillTheMemory()
    {
        this->play(160,
                   {requestLine + "Content-Length: 1073741824\r\n\r\n", std::string(65'536, 'b'),
                    16 * megabyte});
    }

    void bodiesSentOverTheLimitDoNotFillTheMemory()
    {
        this->play(96, {chunkedHead, chunksOf(65'536, 1), 16 * megabyte});
    }

    void unfinishedBodiesInLargeChunksDoNotFillTheMemory()
    {
        this->play(96, unfinishedBody(65'536));
    }

    /// Every chunk is a piece of its own for the parser.
    void unfinishedBodiesInSmallChunksDoNotFillTheMemory() { this->play(96, unfinishedBody(16)); }

private:
    /// Lets \a count callers send \a input at once, and keeps their connections open.
    void play(std::size_t count, const AbusiveInput &input)
    {
        const EntryUnderLoad entry(firstPort);
        std::vector<std::unique_ptr<AbusiveCaller>> callers;
        for (std::size_t index = 0; index < count; ++index) {
            callers.push_back(std::make_unique<AbusiveCaller>(entry.callerPort()));
        }
        std::vector<std::thread> threads;
        threads.reserve(count);
        for (const auto &caller : callers) {
            threads.emplace_back([&caller, &input] { caller->send(input, sendPatience); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::this_thread::sleep_for(settleTime);
        const std::size_t descriptors = entry.openDescriptors();
        const bool answered = entry.answersOrdinaryRequest(answerPatience);
        const std::size_t resident = entry.peakResidentBytes();
        std::cout << " (peak " << resident / megabyte << " MB, " << descriptors << " descriptors)"
                  << std::flush;
        CPPUNIT_ASSERT_MESSAGE("the process has ended", entry.alive());
        CPPUNIT_ASSERT_MESSAGE("no answer to an ordinary request", answered);
        CPPUNIT_ASSERT_MESSAGE("resident bytes: " + std::to_string(resident),
                               resident > 0 && resident <= residentBound);
        CPPUNIT_ASSERT_MESSAGE("open descriptors: " + std::to_string(descriptors),
                               descriptors > 0 && descriptors <= descriptorBound);
    }
};

REGISTER_SUITE(AbusiveCallersTest, "abusive_callers");

} // namespace azurespindle::tests
