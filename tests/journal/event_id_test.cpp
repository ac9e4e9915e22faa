#include "journal/event_id.h"

#include "base/text_file.h"
#include "support/line_difference.h"
#include "support/suite.h"

#include <cstdlib>
#include <fstream>
#include <set>

namespace azurespindle::journal {
namespace {

const char *severityName(Severity severity)
{
    const char *const names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<int>(severity)];
}

std::string cataloguePage()
{
    std::string page = "# Events\n\nEvery line of the log is one of these. Numbers are never "
                       "reused. Fields are named in the line.\n\n"
                       "| number | name | severity | meaning |\n|---|---|---|---|\n";
    for (const EventDescription &event : catalogue()) {
        page += "| " + std::to_string(static_cast<int>(event.id)) + " | " + event.name + " | "
            + severityName(event.severity) + " | " + event.meaning + " |\n";
    }
    return page;
}

} // namespace

class EventIdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventIdTest);
    CPPUNIT_TEST(theDocumentedCatalogueMatchesTheCode);
    CPPUNIT_TEST(eventNumbersAndNamesAreUnique);
    CPPUNIT_TEST_SUITE_END();

public:
    void theDocumentedCatalogueMatchesTheCode()
    {
        const std::string path = std::string(SOURCE_DIRECTORY) + "/docs/EVENTS.md";
        if (std::getenv("UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << cataloguePage();
        }
        const auto page = readTextFile(path);
        CPPUNIT_ASSERT(page.ok());
        const std::string difference = tests::lineDifference(page.value(), cataloguePage());
        CPPUNIT_ASSERT_MESSAGE(difference, difference.empty());
    }

    void eventNumbersAndNamesAreUnique()
    {
        std::set<EventId> ids;
        std::set<std::string> names;
        for (const EventDescription &event : catalogue()) {
            CPPUNIT_ASSERT_MESSAGE(event.name, ids.insert(event.id).second);
            CPPUNIT_ASSERT_MESSAGE(event.name, names.insert(event.name).second);
        }
    }
};

REGISTER_SUITE(EventIdTest, "event_id");

} // namespace azurespindle::journal
