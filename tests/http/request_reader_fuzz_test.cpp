#include "http/internal/request_reader.h"

#include "support/suite.h"

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace azurespindle::http::internal {
namespace {

/// Inputs of a run, unless the environment variable FUZZ_INPUTS gives another number.
constexpr std::size_t inputsInCi = 150;
constexpr std::uint64_t firstSeed = 1;
constexpr std::size_t headerLimit = 256;
constexpr std::size_t bodyLimit = 64;
/// Bound on the memory that a reader holds: twice the input that it was given at once, the start
/// line and the fields (each at most headerLimit, of four bytes or more, in nodes of the parser),
/// trailers as many, and the body.
constexpr std::size_t nodeBytes = 128;
constexpr std::size_t heldLimit = 2 * (headerLimit + headerLimit / 4 * nodeBytes) + 2 * bodyLimit;

/// Generates input that resembles requests, of every kind of framing, and damages some of it.
class InputGenerator
{
public:
    explicit InputGenerator(std::uint64_t seed) : random(seed) { }

    std::string generate()
    {
        std::string input;
        const std::size_t requests = 1 + this->below(3);
        for (std::size_t number = 0; number < requests; ++number) {
            input += this->request();
        }
        const std::size_t damages = this->below(3) == 0 ? 1 + this->below(3) : 0;
        for (std::size_t number = 0; number < damages && !input.empty(); ++number) {
            this->damage(input);
        }
        return input;
    }

private:
    std::size_t below(std::size_t bound) { return this->random() % bound; }

    std::string oneOf(const std::vector<std::string> &choices)
    {
        return choices[this->below(choices.size())];
    }

    std::string text(std::size_t mostBytes)
    {
        static const std::string letters = "abc019:;=, \t\r\n\"\\\xff";
        std::string text;
        for (std::size_t size = this->below(mostBytes + 1); size > 0; --size) {
            text += letters[this->below(letters.size())];
        }
        return text;
    }

    std::string fields()
    {
        std::string fields;
        for (std::size_t count = this->below(5); count > 0; --count) {
            fields += this->oneOf({"Host: h", "X: " + std::string(this->below(80), 'x'),
                                   "A:", "Connection: close", "Connection: keep-alive",
                                   "Expect: 100-continue", "X: a\r\n folded", "Bad : x",
                                   "Upgrade: h2c"})
                + "\r\n";
        }
        return fields;
    }

    std::string chunks()
    {
        std::string chunks;
        for (std::size_t count = this->below(6); count > 0; --count) {
            const std::size_t size = 1 + this->below(20);
            char head[20];
            std::snprintf(head, sizeof(head), "%zx", size);
            chunks += head
                + this->oneOf({"", "", ";a", ";a=b", ";a=\"b;c\"",
                               ";x=" + std::string(this->below(300), 'e')})
                + "\r\n" + std::string(size, 'b') + "\r\n";
        }
        return chunks + this->oneOf({"0\r\n", "0\r\n", "00;end\r\n", "0 \r\n", ""}) + this->fields()
            + this->oneOf({"\r\n", "\r\n", ""});
    }

    std::string request()
    {
        const std::string head = this->oneOf({"", "", "\r\n", "\n"})
            + this->oneOf({"GET", "POST", "PUT", "x"}) + " "
            + this->oneOf({"/", "/a?b=%41&c", "*", "", "http://h/"}) + " "
            + this->oneOf({"HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/2.0"}) + "\r\n"
            + this->fields();
        const std::size_t size = this->below(80);
        switch (this->below(5)) {
        case 0:
            return head + "\r\n";
        case 1:
            return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
                + std::string(size, 'b');
        case 2:
            return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + this->text(size);
        case 3:
            return head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                + this->chunks();
        default:
            return head + "Transfer-Encoding: chunked\r\n\r\n" + this->chunks();
        }
    }

    void damage(std::string &input)
    {
        const std::size_t at = this->below(input.size());
        switch (this->below(4)) {
        case 0:
            input[at] = static_cast<char>(this->below(256));
            break;
        case 1:
            input.erase(at, 1 + this->below(10));
            break;
        case 2:
            input.insert(at, this->text(10));
            break;
        default:
            input.insert(at, input.substr(this->below(input.size()), this->below(200)));
            break;
        }
    }

    std::mt19937_64 random;
};

/// Reads input in parts and writes down every request.
class RecordedReading
{
public:
    RecordedReading() : reader(limits()) { }

    /// Adds a part of the input. \return what is wrong with the reader's state; empty if nothing.
    std::string add(const std::string &part)
    {
        if (this->refused) {
            return "";
        }
        this->reader.append(part.data(), part.size());
        while (true) {
            const ReadOutcome outcome = this->reader.next();
            if (std::holds_alternative<Incomplete>(outcome)) {
                break;
            }
            if (std::holds_alternative<RejectedRequest>(outcome)) {
                this->refused = true;
                this->reader.clear();
                break;
            }
            const auto &request = std::get<ServerRequest>(outcome);
            this->record += request.method + " " + request.target + " "
                + std::to_string(request.fields.size()) + " " + request.body + "\n";
            if (request.body.size() > bodyLimit) {
                return "a body exceeds the limit";
            }
        }
        const std::size_t held = this->reader.heldBytes();
        const std::size_t bound = this->refused ? 0 : heldLimit + 2 * this->reader.unreadBytes();
        if (held > bound) {
            return "holds " + std::to_string(held) + " bytes, the bound is "
                + std::to_string(bound);
        }
        const bool bounded = this->reader.unreadBytes() <= headerLimit;
        return bounded ? "" : "unread bytes exceed the limit";
    }

    const std::string &requests() const { return this->record; }

private:
    static settings::CallerLimits limits()
    {
        settings::CallerLimits limits;
        limits.headerBytes = headerLimit;
        limits.bodyBytes = bodyLimit;
        return limits;
    }

    RequestReader reader;
    std::string record;
    bool refused = false;
};

std::size_t inputCount()
{
    const char *given = std::getenv("FUZZ_INPUTS");
    return given == nullptr ? inputsInCi : std::strtoull(given, nullptr, 10);
}

} // namespace

/// Reads generated requests, split at every byte. Whatever the input, the outcome is a request, a
/// refusal or waiting for more, and the memory held stays below a bound. The requests do not depend
/// on how the input is split; malformed input may be refused when more of it has arrived. The seed
/// is in the message of a failure, and FUZZ_INPUTS=10000 runs more inputs than CI does.
class RequestReaderFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestReaderFuzzTest);
    CPPUNIT_TEST(requestsDoNotDependOnSplitsAndMemoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsDoNotDependOnSplitsAndMemoryIsBounded()
    {
        const std::size_t inputs = inputCount();
        for (std::uint64_t seed = firstSeed; seed < firstSeed + inputs; ++seed) {
            const std::string input = InputGenerator(seed).generate();
            const std::string expected = this->read(seed, {input});
            std::vector<std::string> bytes;
            for (std::size_t at = 0; at < input.size(); ++at) {
                bytes.push_back(input.substr(at, 1));
                this->expectSame(seed, at, expected,
                                 this->read(seed, {input.substr(0, at), input.substr(at)}));
            }
            this->expectSame(seed, input.size(), expected, this->read(seed, bytes));
        }
    }

private:
    static std::string read(std::uint64_t seed, const std::vector<std::string> &parts)
    {
        RecordedReading reading;
        for (const std::string &part : parts) {
            const std::string fault = reading.add(part);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), fault);
        }
        return reading.requests();
    }

    static void expectSame(std::uint64_t seed, std::size_t split, const std::string &expected,
                           const std::string &found)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + ", split at "
                                         + std::to_string(split),
                                     expected, found);
    }
};

REGISTER_SUITE(RequestReaderFuzzTest, "request_reader_fuzz");

} // namespace azurespindle::http::internal
