#include "serving/directory_keeper.h"

#include "support/suite.h"

namespace azurespindle::serving {

class DirectoryKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryKeeperTest);
    CPPUNIT_TEST(aDocumentHandedOnLateTakesNothingBack);
    CPPUNIT_TEST(aNewVmListKeepsTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void aDocumentHandedOnLateTakesNothingBack()
    {
        DirectoryKeeper keeper;
        CPPUNIT_ASSERT(keeper.take(Kind::Configuration, configuration(6)));
        CPPUNIT_ASSERT(!keeper.take(Kind::Configuration, configuration(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), keeper.current()->configuration.revision);
        CPPUNIT_ASSERT(keeper.take(Kind::VmList, vmList(4)));
        CPPUNIT_ASSERT(!keeper.take(Kind::VmList, vmList(3)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), keeper.current()->vmList.revision);
    }

    void aNewVmListKeepsTheConfiguration()
    {
        DirectoryKeeper keeper;
        keeper.take(Kind::Configuration, configuration(6));
        keeper.take(Kind::VmList, vmList(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), keeper.current()->configuration.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.current()->pools.count("m"));
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

REGISTER_SUITE(DirectoryKeeperTest, "directory_keeper");

} // namespace azurespindle::serving
