#include "serving/directory_updater.h"

#include "support/suite.h"

namespace azurespindle::serving {

class DirectoryUpdaterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryUpdaterTest);
    CPPUNIT_TEST(anOlderDocumentIsIgnored);
    CPPUNIT_TEST(aNewVmListKeepsTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void anOlderDocumentIsIgnored()
    {
        DirectoryUpdater updater;
        CPPUNIT_ASSERT(updater.apply(Kind::Configuration, configuration(6)));
        CPPUNIT_ASSERT(!updater.apply(Kind::Configuration, configuration(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), updater.current()->configuration.revision);
        CPPUNIT_ASSERT(updater.apply(Kind::VmList, vmList(4)));
        CPPUNIT_ASSERT(!updater.apply(Kind::VmList, vmList(3)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), updater.current()->vmList.revision);
    }

    void aNewVmListKeepsTheConfiguration()
    {
        DirectoryUpdater updater;
        updater.apply(Kind::Configuration, configuration(6));
        updater.apply(Kind::VmList, vmList(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), updater.current()->configuration.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), updater.current()->pools.count("m"));
    }

private:
    using Kind = members::DocumentKind;

    static nlohmann::json configuration(int revision)
    {
        return {{"revision", revision}, {"models", {{{"name", "m"}}}}};
    }

    static nlohmann::json vmList(int revision)
    {
        return {{"revision", revision}, {"vms", nlohmann::json::array()}};
    }
};

REGISTER_SUITE(DirectoryUpdaterTest, "directory_updater");

} // namespace azurespindle::serving
