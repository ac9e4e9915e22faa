#include "platform/item_decoder.h"

#include "support/suite.h"

#include <vector>

namespace azurespindle::platform {
namespace {

const std::string validUpstream
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":24,)"
      R"("state":"ready","cold_left_ms":250,"sequence":4,"born":1781089075381,"new":true})";

routing::DecodedItem decodeUpstream(const std::string &value)
{
    return decodeItem({"servers/i-1", value, 7, false});
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

const std::string configuration
    = R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/",)"
      R"("route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1800,"priority":1,)"
      R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":1,)"
      R"("public":false,"sticky":true,"resumable":true,"allowed_regions":["here"],"target_itl_ms":180},)"
      R"({"name":"o","host":"h.example","path_prefix":"/b/","route_kind":"non_idempotent",)"
      R"("timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"t","public":true}],)"
      R"("services":[{"name":"s","health_path":"/healthz","max_conns":252,"cold_start_s":1.0,)"
      R"("cold_per_s":27.0,"engine":{"slots":24,"kv_capacity":34218,"kv_bytes":262144,)"
      R"("link_mbps":38000.0,"moves":true,"backups":true,"stride":4,"kv_handle_s":5.0}},)"
      R"({"name":"t","max_conns":110}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"w","api_keys":["a","b"],"priority":1},{"name":"x","api_keys":[]}]})";

} // namespace

class ItemDecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ItemDecoderTest);
    CPPUNIT_TEST(anUpstreamIsDecodedFromItsRegistration);
    CPPUNIT_TEST(invalidUpstreamEntriesAreErrors);
    CPPUNIT_TEST(deeplyNestedEntriesAreRead);
    CPPUNIT_TEST(allFieldsOfAConfigurationAreDecoded);
    CPPUNIT_TEST(anInvalidConfigurationIsAnError);
    CPPUNIT_TEST(evacuationsAndUnrelatedKeysAreDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void anUpstreamIsDecodedFromItsRegistration()
    {
        const auto decoded = decodeUpstream(validUpstream);
        const routing::UpstreamRecord expected {
            "i-1", "s", "10.0.0.1:80", "z", 24, false, milliseconds(250), 1'781'089'075'381, 4};
        CPPUNIT_ASSERT(std::holds_alternative<routing::UpstreamRecord>(decoded));
        CPPUNIT_ASSERT(expected == std::get<routing::UpstreamRecord>(decoded));
        const auto draining = decodeUpstream(replaced(validUpstream, "\"ready\"", "\"draining\""));
        CPPUNIT_ASSERT(std::get<routing::UpstreamRecord>(draining).draining);
    }

    void invalidUpstreamEntriesAreErrors()
    {
        const std::vector<std::string> invalid {
            "",
            "\x01\xff",
            "[]",
            "null",
            replaced(validUpstream, "\"ready\"", "\"resting\""),
            replaced(validUpstream, "\"ready\"", "3"),
            replaced(validUpstream, "\"service\":\"s\",", ""),
            replaced(validUpstream, "10.0.0.1:80", "localhost"),
            replaced(validUpstream, "10.0.0.1:80", "10.0.0.1:99999"),
            replaced(validUpstream, "\"slots\":24", "\"slots\":\"24\""),
            replaced(validUpstream, "\"slots\":24", "\"slots\":-1"),
            replaced(validUpstream, "1781089075381", "1781089075381.5"),
            replaced(validUpstream, "\"cold_left_ms\":250", "\"cold_left_ms\":null"),
            replaced(validUpstream, "\"zone\":\"z\"", "\"zone\":[]"),
            validUpstream.substr(0, 40),
            // From another writer: numbers that no counter or clock holds.
            replaced(validUpstream, "\"cold_left_ms\":250", "\"cold_left_ms\":1e300"),
            replaced(validUpstream, "\"cold_left_ms\":250", "\"cold_left_ms\":-1e300"),
            replaced(validUpstream, "\"cold_left_ms\":250", "\"cold_left_ms\":1e999"),
            replaced(validUpstream, "\"slots\":24", "\"slots\":4294967320"),
            replaced(validUpstream, "\"slots\":24", "\"slots\":99999999999999999999999"),
            replaced(validUpstream, "1781089075381", "99999999999999999999999"),
            std::string(200'000, '['),
            std::string(200'000, '[') + std::string(200'000, ']'),
        };
        for (const std::string &value : invalid) {
            CPPUNIT_ASSERT_MESSAGE(value, std::holds_alternative<Error>(decodeUpstream(value)));
        }
    }

    /// Guards against a process that ends on the entry of another writer: whatever the depth, it is
    /// read or refused.
    void deeplyNestedEntriesAreRead()
    {
        constexpr std::size_t depth = 200'000;
        std::string nested;
        for (std::size_t level = 0; level < depth; ++level) {
            nested += "{\"a\":[";
        }
        for (std::size_t level = 0; level < depth; ++level) {
            nested += "]}";
        }
        const auto decoded = decodeUpstream(replaced(validUpstream, "\"cold_left_ms\"",
                                                     "\"more\":" + nested + ",\"cold_left_ms\""));
        CPPUNIT_ASSERT(std::holds_alternative<routing::UpstreamRecord>(decoded));
    }

    void allFieldsOfAConfigurationAreDecoded()
    {
        const auto decoded = decodeItem({"op/config", configuration, 7, false});
        CPPUNIT_ASSERT(std::holds_alternative<routing::RoutingConfiguration>(decoded));
        const auto &parsed = std::get<routing::RoutingConfiguration>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), parsed.version);
        const routing::Route &stream = parsed.routes.at(0);
        CPPUNIT_ASSERT(stream.kind == routing::RouteKind::Streaming && stream.resumable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stream.services.size());
        CPPUNIT_ASSERT_EQUAL(10.0, stream.services[1].weight);
        CPPUNIT_ASSERT(stream.eventGapObjective == milliseconds(180));
        CPPUNIT_ASSERT(stream.regions == std::vector<std::string>({"here"}));
        const routing::Route &order = parsed.routes.at(1);
        CPPUNIT_ASSERT(order.regions.empty());
        CPPUNIT_ASSERT(order.kind == routing::RouteKind::NonIdempotent && order.keyless);
        CPPUNIT_ASSERT_EQUAL(1U, order.maxAttempts);
        const routing::EngineTraits &engine = *parsed.services.at(0).engine;
        CPPUNIT_ASSERT_EQUAL(34'218U, engine.memoryTokens);
        CPPUNIT_ASSERT(engine.supportsMigration && engine.supportsBackup);
        CPPUNIT_ASSERT(engine.copyLifetime == milliseconds(5'000));
        CPPUNIT_ASSERT(!parsed.services.at(1).engine);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), parsed.workspaces.at(0).keys.size());
        CPPUNIT_ASSERT_EQUAL(1U, parsed.workspaces.at(0).priority.value_or(9));
        CPPUNIT_ASSERT(!parsed.workspaces.at(1).priority);
        CPPUNIT_ASSERT(parsed.limits.idleTimeout == milliseconds(15'000));
    }

    void anInvalidConfigurationIsAnError()
    {
        const std::vector<std::string> invalid {
            "{}", configuration.substr(0, 200),
            replaced(configuration, "\"version\":7", "\"version\":\"7\""),
            replaced(configuration, "\"path_prefix\":\"/a/\"", "\"path_prefix\":4")};
        for (const std::string &value : invalid) {
            CPPUNIT_ASSERT_MESSAGE(
                value, std::holds_alternative<Error>(decodeItem({"op/config", value, 7, false})));
        }
    }

    void evacuationsAndUnrelatedKeysAreDecoded()
    {
        const auto decoded = decodeItem({"op/evacuate/north", "{}", 7, false});
        CPPUNIT_ASSERT_EQUAL(std::string("north"), std::get<routing::EvacuatedZone>(decoded).zone);
        CPPUNIT_ASSERT(std::holds_alternative<routing::UnrelatedItem>(
            decodeItem({"op/other", "whatever", 7, false})));
    }
};

REGISTER_SUITE(ItemDecoderTest, "item_decoder");

} // namespace azurespindle::platform
