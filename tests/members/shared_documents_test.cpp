#include "members/shared_documents.h"

#include "support/suite.h"

namespace azurespindle::members {
namespace {

constexpr DocumentKind kind = DocumentKind::Configuration;
constexpr Instant start {seconds(100)};

/// Returns a configuration of some 37 KB.
std::string document(std::uint64_t revision)
{
    std::string exceptions;
    for (int number = 0; number < 500; ++number) {
        exceptions += std::string(number == 0 ? "" : ",") + R"({"workspace":"w)"
            + std::to_string(number) + R"(","reason":"agreed with team )"
            + std::to_string(number * 7919) + R"(","set":{"weight":)"
            + (number == 7 ? std::to_string(revision) : "1") + "}}";
    }
    return R"({"revision":)" + std::to_string(revision)
        + R"(,"models":[{"name":"m"}],"services":[{"name":"s"}],"exceptions":[)" + exceptions
        + "]}";
}

void offer(SharedDocuments &documents, std::uint64_t revision)
{
    CPPUNIT_ASSERT(documents.offer(kind, document(revision), "test").accepted);
}

} // namespace

class SharedDocumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedDocumentsTest);
    CPPUNIT_TEST(aHigherRevisionIsRequestedOnceUntilItIsAnsweredOrLate);
    CPPUNIT_TEST(aMemberOneRevisionBehindGetsTheDifference);
    CPPUNIT_TEST(otherMembersGetTheWholeDocument);
    CPPUNIT_TEST(aDifferenceThatDoesNotFitIsReplacedByTheWholeDocument);
    CPPUNIT_TEST_SUITE_END();

public:
    void aHigherRevisionIsRequestedOnceUntilItIsAnsweredOrLate()
    {
        SharedDocuments documents;
        offer(documents, 1);
        CPPUNIT_ASSERT(!documents.requestFor(kind, 1, start));
        CPPUNIT_ASSERT((DocumentRequest {kind, 1} == documents.requestFor(kind, 2, start)));
        CPPUNIT_ASSERT(!documents.requestFor(kind, 3, start + milliseconds(900)));
        const Instant late = start + SharedDocuments::answerTimeout;
        CPPUNIT_ASSERT(documents.requestFor(kind, 3, late));
        documents.textOf({kind, document(2)});
        CPPUNIT_ASSERT_MESSAGE("the answer is older than what another member has",
                               documents.requestFor(kind, 3, late));
    }

    void aMemberOneRevisionBehindGetsTheDifference()
    {
        SharedDocuments holder;
        SharedDocuments requester;
        offer(holder, 1);
        offer(requester, 1);
        offer(holder, 2);
        const auto response = holder.answer(*requester.requestFor(kind, 2, start));
        CPPUNIT_ASSERT(response->delta && response->text.empty());
        CPPUNIT_ASSERT(encode(*response).size() < 300);
        CPPUNIT_ASSERT_EQUAL(document(2), requester.textOf(*response).value());
    }

    void otherMembersGetTheWholeDocument()
    {
        SharedDocuments holder;
        CPPUNIT_ASSERT(!holder.answer({kind, 0}));
        offer(holder, 1);
        CPPUNIT_ASSERT_EQUAL(document(1), holder.answer({kind, 0})->text);
        offer(holder, 2);
        offer(holder, 3);
        CPPUNIT_ASSERT_EQUAL(document(3), holder.answer({kind, 1})->text);
    }

    void aDifferenceThatDoesNotFitIsReplacedByTheWholeDocument()
    {
        SharedDocuments holder;
        SharedDocuments requester;
        offer(holder, 1);
        offer(holder, 2);
        offer(requester, 3); // Another document of the revision that the holder had before.
        DocumentResponse response = *holder.answer({kind, 1});
        CPPUNIT_ASSERT(!requester.textOf(response));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), requester.requestFor(kind, 4, start)->knownRevision);
        response = *holder.answer({kind, 0});
        CPPUNIT_ASSERT_EQUAL(document(2), requester.textOf(response).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), requester.requestFor(kind, 4, start)->knownRevision);
    }
};

REGISTER_SUITE(SharedDocumentsTest, "shared_documents");

} // namespace azurespindle::members
