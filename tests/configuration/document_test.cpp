#include "configuration/document.h"

#include "configuration/document_store.h"
#include "configuration/vm_list.h"
#include "settings/settings.h"
#include "support/suite.h"

#include <functional>

namespace azurespindle::configuration {
namespace {

struct InvalidInput
{
    const char *text;
    const char *expected; ///< Text that the list of faults must contain.
};

void expectFaults(const std::vector<InvalidInput> &cases,
                  const std::function<void(const nlohmann::json &, json::Faults &)> &parse)
{
    for (const InvalidInput &each : cases) {
        json::Faults faults;
        const auto document = json::parseText(each.text, faults);
        if (document) {
            parse(*document, faults);
        }
        const std::string found = json::listFaults(faults);
        CPPUNIT_ASSERT_MESSAGE(std::string(each.text) + "\n expected: " + each.expected
                                   + "\n found:" + found,
                               found.find(each.expected) != std::string::npos);
    }
}

Document parse(const std::string &text)
{
    json::Faults faults;
    Document document = parseDocument(nlohmann::json::parse(text), faults);
    CPPUNIT_ASSERT_MESSAGE(json::listFaults(faults), faults.empty());
    return document;
}

json::Faults acceptAnyDocument(const nlohmann::json &)
{
    return {};
}

} // namespace

class DocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentTest);
    CPPUNIT_TEST(eachConfigurationFaultIsReported);
    CPPUNIT_TEST(eachVmListFaultIsReported);
    CPPUNIT_TEST(eachSettingsFaultIsReported);
    CPPUNIT_TEST(allFaultsOfADocumentAreReportedTogether);
    CPPUNIT_TEST(anUpstreamExceptionOverridesOneForItsZone);
    CPPUNIT_TEST(markingAZoneOutAndInIsDescribedAsText);
    CPPUNIT_TEST(aLowerRevisionIsNeverAccepted);
    CPPUNIT_TEST(anInvalidDocumentLeavesTheCurrentOneInForce);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachConfigurationFaultIsReported()
    {
        expectFaults(
            {
                {"", "wrong at byte"},
                {"[]", "$: found [], allowed: an object"},
                {"{}", "$.revision: found nothing"},
                {R"({"revision":0})", "$.revision: found 0"},
                {R"({"revision":"1"})", "$.revision: found \"1\""},
                {R"({"revision":99999999999999999999})", "$.revision"},
                {R"({"revision":1,"modles":[]})", "$.modles: found []"},
                {R"({"revision":1,"models":{}})", "$.models: found {}"},
                {R"({"revision":1,"models":[{}]})", "$.models[0].name: found nothing"},
                {R"({"revision":1,"models":[{"name":"a"},{"name":"a"}]})", "stands twice"},
                {R"({"revision":1,"services":[{"name":"a","repeatable":1}]})", "true or false"},
                {R"({"revision":1,"defaults":7})", "$.defaults: found 7"},
                {R"({"revision":1,"defaults":{"workspace":{"weight":0}}})", "weight: found 0"},
                {R"({"revision":1,"defaults":{"workspace":{"maxQueued":1.5}}})", "maxQueued"},
                {R"({"revision":1,"defaults":{"upstream":{"memoryTarget":2}}})", "0.1 to 1.0"},
                {R"({"revision":1,"defaults":{"upstream":{"coldConcurrency":9,"maxConcurrency":8}}})",
                 "at most maxConcurrency"},
                {R"({"revision":1,"defaults":{"retryShare":-1}})", "retryShare: found -1"},
                {R"({"revision":1,"exceptions":[{}]})", "exactly one of workspace"},
                {R"({"revision":1,"exceptions":[{"workspace":"w","set":{}}]})",
                 "reason: found nothing"},
                {R"({"revision":1,"exceptions":[{"workspace":"w","reason":"r"}]})", ".set"},
                {R"({"revision":1,"exceptions":[{"workspace":"w","zone":"z","reason":"r","set":{}}]})",
                 "exactly one of"},
                {R"({"revision":1,"exceptions":[{"workspace":"w","reason":"r","set":{"slowGapMs":1}}]})",
                 "set.slowGapMs"},
                {R"({"revision":1,"exceptions":[{"zone":"z","reason":"r","set":{}},{"zone":"z","reason":"r","set":{}}]})",
                 "one exception for each subject"},
                {R"({"revision":1,"out":[{"upstream":"e","reason":"r"}]})", "exactly one of zone"},
                {R"({"revision":1,"out":[{"zone":"z"}]})", "$.out[0].reason"},
                {R"({"revision":1,"regions":[{"name":"r","zones":["z"]},{"name":"q","zones":["z"]}]})",
                 "each zone once"},
                {R"({"revision":1,"models":[{"name":"m"}],"exceptions":[{"upstream":"e","reason":"r","set":{"model":"n"}}]})",
                 "a model listed under models"},
                {R"({"revision":1,"defaults":{"orders":{"loadsPerMinute":0}}})",
                 "loadsPerMinute: found 0"},
            },
            [](const nlohmann::json &json, json::Faults &faults) { parseDocument(json, faults); });
    }

    void eachVmListFaultIsReported()
    {
        expectFaults(
            {
                {R"({"revision":1})", "$.vms: found nothing"},
                {R"({"revision":1,"vms":[7]})", "$.vms[0]: found 7"},
                {R"({"revision":1,"vms":[{"name":"a","zone":"z","address":"host:1","serves":"m"}]})",
                 "IP:PORT"},
                {R"({"revision":1,"vms":[{"name":"a","zone":"z","address":"1.2.3.4:5"}]})",
                 "serves"},
                {R"({"revision":1,"vms":[{"name":"a","zone":"z","address":"1.2.3.4:5","role":"x"}]})",
                 "one of \"entry\""},
                {R"({"revision":1,"vms":[{"name":"a","zone":"z","address":"1.2.3.4:5","state":"x"}]})",
                 "one of \"live\""},
            },
            [](const nlohmann::json &json, json::Faults &faults) { parseVmList(json, faults); });
    }

    void eachSettingsFaultIsReported()
    {
        expectFaults(
            {
                {"{}", "$.name: found nothing"},
                {R"({"callerAddress":"localhost:1"})", "$.callerAddress"},
                {R"({"callerAddress":"1.2.3.4"})", "$.callerAddress"},
                {R"({"callerAddress":"1.2.3.4:70000"})", "$.callerAddress"},
                {R"({"memberAddress":"1.2.3.4:"})", "$.memberAddress"},
                {R"({"configurationService":"ftp://x"})", "http://"},
                {R"({"seeds":"1.2.3.4:5"})", "a list of texts"},
                {R"({"seeds":["x"]})", "a list of IP:PORT"},
                {R"({"workerThreads":0})", "1 to 64"},
                {R"({"logFormat":"xml"})", "one of \"text\", \"json\""},
                {R"({"callers":{"unsentBytes":1}})", "$.callers.unsentBytes: found 1"},
                {R"({"callers":{"headerBytes":1}})", "$.callers.headerBytes"},
                {R"({"upstreams":{"gapMs":-5}})", "$.upstreams.gapMs: found -5"},
            },
            [](const nlohmann::json &json, json::Faults &faults) {
                settings::parseSettings(json, faults);
            });
    }

    void allFaultsOfADocumentAreReportedTogether()
    {
        json::Faults faults;
        parseDocument(
            nlohmann::json::parse(R"({"revision":0,"x":1,"models":[{}],"out":[{"zone":"z"}]})"),
            faults);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), faults.size());
    }

    void anUpstreamExceptionOverridesOneForItsZone()
    {
        const Document document = parse(R"({"revision":1,"exceptions":[
            {"upstream":"e","reason":"slow start","set":{"coldConcurrency":1}},
            {"zone":"z","reason":"old","set":{"coldConcurrency":3,"slowGapMs":99}}]})");
        const auto resolved = upstreamPolicy(document, "e", "z");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), resolved.policy.coldConcurrency);
        CPPUNIT_ASSERT(resolved.policy.slowGap == milliseconds(99));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), resolved.sources.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             upstreamPolicy(document, "other", "y").policy.coldConcurrency);
    }

    void markingAZoneOutAndInIsDescribedAsText()
    {
        const Document before = parse(R"({"revision":1})");
        const Document after = parse(R"({"revision":2,"out":[{"zone":"z","reason":"power"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("zone z marked out: power"),
                             differences(before, after).front());
        CPPUNIT_ASSERT_EQUAL(std::string("zone z marked in"), differences(after, before).front());
    }

    void aLowerRevisionIsNeverAccepted()
    {
        DocumentStore store(acceptAnyDocument);
        CPPUNIT_ASSERT(store.offer(R"({"revision":5})") == OfferResult::Accepted);
        CPPUNIT_ASSERT(store.offer(R"({"revision":5})") == OfferResult::Unchanged);
        CPPUNIT_ASSERT(store.offer(R"({"revision":4})") == OfferResult::Stale);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), store.revision());
    }

    void anInvalidDocumentLeavesTheCurrentOneInForce()
    {
        DocumentStore store([](const nlohmann::json &json) {
            json::Faults faults;
            parseDocument(json, faults);
            return faults;
        });
        store.offer(R"({"revision":5})");
        for (const std::string &bad :
             {std::string("{"), std::string(R"({"revision":6,"typo":1})"), std::string("7"),
              std::string(R"({"revision":-1})"), std::string(2'000'000, ' ')}) {
            CPPUNIT_ASSERT(store.offer(bad) == OfferResult::Invalid);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"revision":5})"), store.text());
    }
};

REGISTER_SUITE(DocumentTest, "document");

} // namespace azurespindle::configuration
