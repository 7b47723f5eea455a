#include "platform/documents.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve;
using namespace coppervalve::platform;

namespace {

constexpr const char* kDocument = R"({
 "version": 7,
 "routes": [
  {"name": "r1", "hostname": "desk.example", "pathPrefix": "/a/",
   "type": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800,
   "priority": 1, "maxAttempts": 2, "public": false, "sessionAffinity": true,
   "resumable": true, "targetGapMs": 250,
   "backends": [{"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10}]},
  {"name": "r2", "hostname": "desk.example", "pathPrefix": "/b/",
   "type": "unsafe", "timeoutMs": 600, "service": "s2", "public": true}],
 "services": [
  {"name": "s1", "healthPath": "/healthz", "maxConnections": 360,
   "warmupS": 3.0, "warmupPerS": 14.0,
   "engine": {"slots": 64, "stride": 7}},
  {"name": "s2", "healthPath": "/healthz", "maxConnections": 96}],
 "limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 2000,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 0,
              "prepaid": 4912792}, {"name": "t2", "apiKeys": []}]
})";

core::ErrorId FailureOf(const std::string& document) {
  const auto read = ReadConfiguration(document);
  CHECK_FALSE(core::IsOk(read));
  return core::Failure(read).id;
}

std::string LongText() {
  return '"' + std::string(300, 'x') + '"';
}

}  // namespace

// clang-format off
TEST_GROUP(Documents){};
// clang-format on

TEST(Documents, parses_a_configuration) {
  const auto read = ReadConfiguration(kDocument);
  CHECK(core::IsOk(read));
  const entry::Configuration& configuration = core::Value(read);
  CHECK_EQUAL(7, configuration.version.value());
  const entry::Route& stream = configuration.routes[0];
  CHECK(stream.kind == entry::RouteKind::kStream);
  CHECK(stream.resumable && stream.prefix_affinity && !stream.is_public);
  CHECK_EQUAL(2, stream.services.size());
  CHECK_EQUAL(10, stream.services[1].weight);
  CHECK(stream.timeout == std::chrono::seconds(12));
  const entry::Route& plain = configuration.routes[1];
  CHECK(plain.kind == entry::RouteKind::kAtMostOnce);
  CHECK(plain.is_public);
  STRCMP_EQUAL("s2", plain.services[0].service.value().c_str());
  CHECK_EQUAL(7, configuration.services[0].engine->tokens_per_event);
  CHECK_FALSE(configuration.services[1].engine.has_value());
  CHECK_EQUAL(4'912'792, configuration.accounts[0].prepaid->value());
  CHECK_FALSE(configuration.accounts[1].prepaid.has_value());
  CHECK_EQUAL(1'000, configuration.bounds.header.value());
}

TEST(Documents, a_route_of_unknown_type_is_at_most_once) {
  const auto read = ReadConfiguration(
      R"({"version": 1, "routes": [{"name": "r", "hostname": "h",
          "pathPrefix": "/", "type": "other", "service": "s"}]})");
  CHECK(core::Value(read).routes[0].kind == entry::RouteKind::kAtMostOnce);
}

TEST(Documents, errors_name_the_field) {
  CHECK(FailureOf("{") == core::ErrorId::kConfigSyntax);
  CHECK(FailureOf("{}") == core::ErrorId::kConfigMissingField);
  CHECK(FailureOf(R"({"version": "x"})") == core::ErrorId::kConfigWrongType);
  const auto read = ReadConfiguration(
      R"({"version": 1, "routes": [{"hostname": 5, "pathPrefix": "/"}]})");
  STRCMP_EQUAL("routes[0].hostname", core::Failure(read).subject.c_str());
}

TEST(Documents, parses_a_server_entry) {
  const auto read =
      ReadUpstream("i-1",
                   R"({"service": "s1", "address": "10.0.0.9:80", "zone": "a",
          "version": "v1", "slots": 64, "state": "draining", "sequence": 4,
          "born": 1700})");
  CHECK(core::IsOk(read));
  CHECK_EQUAL(1700, *core::Value(read).start_number);
  CHECK(core::Value(read).leaving);
  CHECK_EQUAL(64, core::Value(read).slots);
  STRCMP_EQUAL("v1", core::Value(read).version.value().c_str());
  STRCMP_EQUAL("i-1", core::Value(read).id.value().c_str());
}

TEST(Documents, truncated_documents_are_errors) {
  const std::string whole = kDocument;
  for (size_t size = 0; size + 1 < whole.size(); ++size) {
    CHECK_FALSE(core::IsOk(ReadConfiguration(whole.substr(0, size))));
  }
}

TEST(Documents, an_invalid_entry_is_rejected) {
  // Requests must not go to a server that is leaving or does not exist because
  // a field of its entry is missing, of another type or has an unknown value.
  const std::string good =
      R"({"service": "s", "address": "10.0.0.9:80", "zone": "a", "slots": 6,
          "state": "ready", "version": "v1", "sequence": 4})";
  CHECK(core::IsOk(ReadUpstream("i-1", good)));
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string changed = good;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
  };
  const std::string bad[] = {with("\"ready\"", "\"retired\""),
                             with("\"ready\"", "null"),
                             with("\"ready\"", "7"),
                             with("\"state\"", "\"status\""),
                             with("\"service\"", "\"kind\""),
                             with("\"s\"", "[\"s\"]"),
                             with("\"s\"", "\"\""),
                             with("\"10.0.0.9:80\"", "10"),
                             with("\"address\"", "\"at\""),
                             with("\"zone\"", "\"room\""),
                             with("\"a\"", "{}"),
                             with("6", "\"6\""),
                             with("6", "0"),
                             with("6", "-3"),
                             with("6", "1e300"),
                             with("\"version\"", "\"weights\""),
                             with("\"v1\"", "1"),
                             with("\"sequence\"", "\"count\""),
                             with(": 4", ": \"4\""),
                             with(": 4", ": null"),
                             with("10.0.0.9:80", "10.0.0.9:65536"),
                             with("10.0.0.9:80", "10.0.0.9:0"),
                             with("10.0.0.9:80", "10.0.0.9:-1"),
                             with("10.0.0.9:80", "10.0.0.9"),
                             with("10.0.0.9:80", "0.0.0.0:80"),
                             with("10.0.0.9:80", "host:80"),
                             with("\"v1\"", LongText()),
                             with("\"a\"", LongText()),
                             with("\"s\"", LongText()),
                             with("10.0.0.9:80", std::string(300, '1')),
                             with(": 4", ": 4, \"born\": 1e300"),
                             with(": 4", ": 4, \"born\": -1e300"),
                             with("{", "["),
                             "",
                             "null",
                             "\xff\xfe",
                             "[]"};
  for (const std::string& document : bad) {
    CHECK_FALSE_TEXT(core::IsOk(ReadUpstream("i-1", document)),
                     document.c_str());
  }
}

TEST(Documents, parses_the_warm_up_of_services) {
  const auto read = ReadConfiguration(kDocument);
  const auto& services = core::Value(read).services;
  CHECK(services[0].warm_up->duration == std::chrono::seconds(3));
  DOUBLES_EQUAL(14, services[0].warm_up->per_second, 0);
  CHECK_FALSE(services[1].warm_up.has_value());
}

TEST(Documents, a_warm_up_out_of_range_is_clamped) {
  const auto of = [](const std::string& fields) {
    const auto read = ReadConfiguration(
        R"({"version": 1, "services": [{"name": "s", )" + fields + "}]}");
    return core::Value(read).services[0].warm_up;
  };
  CHECK_FALSE(of(R"("warmupS": -3, "warmupPerS": 14)").has_value());
  CHECK_FALSE(of(R"("warmupS": null)").has_value());
  DOUBLES_EQUAL(0, of(R"("warmupS": 3, "warmupPerS": -1)")->per_second, 0);
  CHECK(of(R"("warmupS": 1e300)")->duration == std::chrono::seconds(600));
  CHECK(FailureOf(R"({"version": 1, "services": [
      {"name": "s", "warmupS": "soon"}]})") == core::ErrorId::kConfigWrongType);
}

TEST(Documents, an_entry_states_its_remaining_warm_up_time) {
  const auto left = [](const std::string& value) {
    const auto read = ReadUpstream(
        "i-1", R"({"service": "s", "address": "10.0.0.1:1", "zone": "z",
                   "version": "v1", "sequence": 1, "slots": 4,
                   "state": "ready", "warmupLeftMs": )" +
                   value + "}");
    return core::Value(read).warm_up_left;
  };
  CHECK(left("1500") == std::chrono::milliseconds(1'500));
  CHECK(left("-5") == core::Duration::zero());
  CHECK(left("1e200") == std::chrono::seconds(600));
}

TEST(Documents, an_entry_that_only_increments_its_sequence_is_unchanged) {
  const std::string before =
      R"({"service":"s","state":"ready","sequence":9,"zone":"z"})";
  CHECK(UpstreamUnchanged(
      before, R"({"service":"s","state":"ready","sequence":10,"zone":"z"})"));
  CHECK_FALSE(UpstreamUnchanged(
      before, R"({"service":"s","state":"ready","sequence":9,"zone":"y"})"));
  CHECK_FALSE(UpstreamUnchanged(
      before, R"({"service":"s","state":"draining","sequence":9,"zone":"z"})"));
  CHECK_FALSE(UpstreamUnchanged("", before));
  CHECK_FALSE(UpstreamUnchanged(before, ""));
  CHECK_FALSE(UpstreamUnchanged(before, before.substr(0, 40)));
  CHECK_FALSE(UpstreamUnchanged(R"({"a":1})", R"({"a":1})"));
}

// Guards against headers that another writer's key adds to requests.
TEST(Documents, an_id_that_can_not_be_sent_in_a_header_is_rejected) {
  const std::string good =
      R"({"service": "s", "address": "10.0.0.9:80", "zone": "a", "slots": 6,
          "state": "ready", "version": "v1", "sequence": 4})";
  for (const char* id : {"", "a b", "a\r\nTenant: b", "\xff", "\x7f"}) {
    CHECK_FALSE(core::IsOk(ReadUpstream(id, good)));
  }
  CHECK(core::IsOk(ReadUpstream("i-7f3a91c2", good)));
}

// Guards against numbers whose conversion is undefined and differs between
// processors.
TEST(Documents, numbers_of_a_configuration_are_in_range) {
  CHECK(FailureOf(R"({"version": 1e300})") == core::ErrorId::kConfigBadValue);
  CHECK(FailureOf(R"({"version": -1})") == core::ErrorId::kConfigBadValue);
  const auto read = ReadConfiguration(
      R"({"version": 1, "routes": [{"hostname": "h", "pathPrefix": "/",
          "maxAttempts": 1e300, "priority": -1e300, "timeoutMs": 1e300}],
          "services": [{"name": "s", "maxConnections": -5}],
          "tenants": [{"name": "t", "prepaid": 1e300}],
          "limits": {"maxBodyBytes": 1e300}})");
  const entry::Configuration& configuration = core::Value(read);
  CHECK_EQUAL(UINT32_MAX, configuration.routes[0].max_attempts);
  CHECK_EQUAL(0, configuration.routes[0].priority);
  CHECK(configuration.routes[0].timeout > std::chrono::hours(1));
  CHECK_EQUAL(0, configuration.services[0].max_connections);
  CHECK(configuration.accounts[0].prepaid->value() > 0);
  CHECK(configuration.bounds.body.value() > 0);
}
