#include "routing/route_table.h"

#include "support/suite.h"

namespace azurespindle::routing {
namespace {

Route makeRoute(const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

RouteTable makeTable()
{
    RoutingConfiguration configuration;
    configuration.routes = {makeRoute("a.example", "/"), makeRoute("a.example", "/orders/"),
                            makeRoute("a.example", "/orders/new/"), makeRoute("b.example", "/b/")};
    configuration.workspaces
        = {{"gates", {"k1", "k2"}, 1, {}}, {"hinges", {"k3"}, std::nullopt, {}}};
    configuration.services = {{"desk", 10, 0.0, std::nullopt}};
    return RouteTable(configuration);
}

std::string routeName(const RouteTable &table, const std::string &host, const std::string &path)
{
    const Route *route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(theLongestMatchingPrefixOfTheHostIsFound);
    CPPUNIT_TEST(caseAndPortOfTheHostAreIgnored);
    CPPUNIT_TEST(workspacesAndServicesAreLookedUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void theLongestMatchingPrefixOfTheHostIsFound()
    {
        const RouteTable table = makeTable();
        const std::string host = "a.example";
        CPPUNIT_ASSERT_EQUAL(host + "/", routeName(table, host, "/"));
        CPPUNIT_ASSERT_EQUAL(host + "/", routeName(table, host, "/orders"));
        CPPUNIT_ASSERT_EQUAL(host + "/orders/", routeName(table, host, "/orders/7"));
        CPPUNIT_ASSERT_EQUAL(host + "/orders/", routeName(table, host, "/orders/new"));
        CPPUNIT_ASSERT_EQUAL(host + "/orders/new/", routeName(table, host, "/orders/new/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routeName(table, "b.example", "/orders/7"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routeName(table, "b.example", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routeName(table, "c.example", "/b/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), routeName(table, "b.example", ""));
    }

    void caseAndPortOfTheHostAreIgnored()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("b.example/b/"),
                             routeName(makeTable(), "B.Example:8080", "/b/1"));
    }

    void workspacesAndServicesAreLookedUp()
    {
        const RouteTable table = makeTable();
        CPPUNIT_ASSERT_EQUAL(std::string("gates"), table.workspaceOf("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("hinges"), table.workspaceOf("k3")->name);
        CPPUNIT_ASSERT(table.workspaceOf("") == nullptr);
        CPPUNIT_ASSERT(table.service("desk") != nullptr);
        CPPUNIT_ASSERT(table.service("none") == nullptr);
    }
};

REGISTER_SUITE(RouteTableTest, "route_table");

} // namespace azurespindle::routing
