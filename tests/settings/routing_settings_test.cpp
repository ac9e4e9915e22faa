#include "settings/routing_settings.h"

#include "base/text_file.h"
#include "support/suite.h"

namespace azurespindle::settings {
namespace {

nlohmann::json validSettings()
{
    return {{"name", "entry-1"},
            {"zone", "north"},
            {"callerAddress", "10.0.0.1:80"},
            {"readyAddress", "10.0.0.1:81"},
            {"readyPath", "/ready"},
            {"memberAddress", "10.0.0.1:82"},
            {"metricsAddress", "10.0.0.1:83"},
            {"publisherAddress", "10.0.0.9:90"},
            {"seeds", {"10.0.0.1:82", "10.0.0.2:82"}},
            {"regionOfZone", {{"north", "here"}, {"south", "there"}}},
            {"descriptors", 4'100},
            {"bounds",
             {{"retryShare", 0.2},
              {"retryBurst", 58},
              {"retryWindowSeconds", 10},
              {"stopSeconds", 8.5}}}};
}

std::string faultsOf(const nlohmann::json &document)
{
    json::Faults faults;
    parseRoutingSettings(document, faults);
    return json::listFaults(faults);
}

} // namespace

class RoutingSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingSettingsTest);
    CPPUNIT_TEST(allFieldsOfValidSettingsAreRead);
    CPPUNIT_TEST(anInvalidFieldIsReportedWithItsPathAndWhatIsAllowed);
    CPPUNIT_TEST(routingSettingsAreRecognizedByTheirPublisherAddress);
    CPPUNIT_TEST(theRenderedDeployTemplateIsValid);
    CPPUNIT_TEST_SUITE_END();

public:
    void allFieldsOfValidSettingsAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf(validSettings()));
        json::Faults faults;
        const RoutingSettings settings = parseRoutingSettings(validSettings(), faults);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:90"), settings.publisherAddress.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.seeds.size());
        CPPUNIT_ASSERT(settings.metricsAddress.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("there"), settings.regionOfZone.at("south"));
        CPPUNIT_ASSERT_EQUAL(58.0, settings.bounds.retryBurst);
        CPPUNIT_ASSERT(settings.bounds.stopTimeout == milliseconds(8'500));
        CPPUNIT_ASSERT(settings.logFormat == LogFormat::Json);
    }

    void anInvalidFieldIsReportedWithItsPathAndWhatIsAllowed()
    {
        const std::vector<std::pair<nlohmann::json, std::string>> cases {
            {{{"callerAddress", "localhost:80"}}, "$.callerAddress"},
            {{{"publisherAddress", 7}}, "$.publisherAddress"},
            {{{"seeds", "10.0.0.1:82"}}, "$.seeds"},
            {{{"bounds", {{"stopSeconds", "8"}}}}, "$.bounds.stopSeconds"},
            {{{"descriptors", 1}}, "$.descriptors"},
            {{{"processorShare", 0}}, "$.processorShare"},
            {{{"linkMegabits", "fast"}}, "$.linkMegabits"},
            {{{"regionOfZone", {{"north", 3}}}}, "$.regionOfZone.north"},
            {{{"unknown", 1}}, "$.unknown"},
        };
        for (const auto &[change, path] : cases) {
            nlohmann::json document = validSettings();
            document.update(change);
            const std::string faults = faultsOf(document);
            CPPUNIT_ASSERT_MESSAGE(std::string(path).append(" in ").append(faults),
                                   faults.find(path) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(faults, faults.find("allowed") != std::string::npos);
        }
    }

    void routingSettingsAreRecognizedByTheirPublisherAddress()
    {
        CPPUNIT_ASSERT(isRoutingSettings(validSettings()));
        CPPUNIT_ASSERT(!isRoutingSettings({{"callerAddress", "10.0.0.1:80"}}));
        CPPUNIT_ASSERT(!isRoutingSettings(nlohmann::json::array()));
    }

    /// The platform renders the template in deploy/ before it starts a process. A field that the
    /// settings do not know would keep every new process from starting.
    void theRenderedDeployTemplateIsValid()
    {
        const auto text = readTextFile(std::string(SOURCE_DIRECTORY) + "/deploy/settings.json");
        CPPUNIT_ASSERT(text.ok());
        std::string rendered = text.value();
        const std::vector<std::pair<std::string, std::string>> values {
            {"{{node_name|json}}", "\"n\""},
            {"{{zone|json}}", "\"z\""},
            {"{{listen.frontend_addr|json}}", "\"10.0.0.1:80\""},
            {"{{listen.ready|json}}", "\"10.0.0.1:81\""},
            {"{{listen.control_plane|json}}", "\"10.0.0.1:82\""},
            {"{{ip}}", "10.0.0.1"},
            {"{{platform.address|json}}", "\"10.0.0.9:90\""},
            {"{{seeds|json}}", "[\"10.0.0.1:82\"]"},
            {"{{zones|json}}", "{\"z\":\"r\"}"},
            {"{{limits.max_fds|json}}", "4100"},
            {"{{limits.cpu_quota|json}}", "0.25"},
            {"{{limits.link_mbps|json}}", "200.0"},
            {"{{limits.memory_mb|json}}", "88"},
            {"{{bounds.retry_budget_ratio|json}}", "0.2"},
            {"{{bounds.budget_slack|json}}", "58"},
            {"{{bounds.retry_window_s|json}}", "10"},
            {"{{bounds.grace_s|json}}", "8"}};
        for (const auto &[placeholder, value] : values) {
            const std::size_t at = rendered.find(placeholder);
            CPPUNIT_ASSERT_MESSAGE(placeholder, at != std::string::npos);
            rendered.replace(at, placeholder.size(), value);
        }
        CPPUNIT_ASSERT_EQUAL(std::string::npos, rendered.find("{{"));
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf(nlohmann::json::parse(rendered)));
    }
};

REGISTER_SUITE(RoutingSettingsTest, "routing_settings");

} // namespace azurespindle::settings
