#include "platform/settings.h"

#include <CppUTest/TestHarness.h>

using namespace coppervalve;
using namespace coppervalve::platform;

namespace {

constexpr const char* kFile = R"(
nodeName = "edge-a-1"
zone = "a"
ip = "10.0.0.1"
internalPorts = [7340, 7355]
unknown = { x = 1 }
[listen]
frontend = "10.0.0.1:80"
readiness = "10.0.0.1:81"
directory = "10.0.0.1:82"
[bounds]
graceS = 8
drainMs = 3000
retryBudgetRatio = 0.25
retrySlack = 40
ttl_max_s = 1
revokeStrict = false
revokeMs = 5000
[platform]
address = "10.9.0.1:90"
writesPerS = 600
recordBytes = 262144
)";

}  // namespace

// clang-format off
TEST_GROUP(Settings){};
// clang-format on

TEST(Settings, are_parsed_and_unknown_fields_ignored) {
  const auto read = ReadSettings(kFile);
  CHECK(core::IsOk(read));
  const MachineSettings& settings = core::Value(read);
  STRCMP_EQUAL("edge-a-1", settings.gateway.router.value().c_str());
  STRCMP_EQUAL("10.0.0.1:80", settings.gateway.caller_address.c_str());
  STRCMP_EQUAL("10.0.0.1:7340", settings.gateway.metrics_address.c_str());
  STRCMP_EQUAL("10.0.0.1:7341", settings.gateway.load_address.c_str());
  STRCMP_EQUAL("10.9.0.1:90", settings.store_address.c_str());
  CHECK(settings.gateway.grace == std::chrono::seconds(8));
  CHECK(settings.gateway.drain_bound == std::chrono::seconds(3));
  CHECK(settings.gateway.address_lifetime == std::chrono::seconds(1));
  DOUBLES_EQUAL(0.25, settings.gateway.retries.ratio, 0.001);
  CHECK_EQUAL(262'144, settings.gateway.store_record_bytes);
  CHECK(settings.gateway.key_expiry == core::Duration::zero());
}

TEST(Settings, without_an_address_are_refused_naming_the_field) {
  const auto read = ReadSettings("nodeName = \"n\"\n");
  CHECK(core::Failure(read).id == core::ErrorId::kSettingMissing);
  STRCMP_EQUAL("listen.frontend", core::Failure(read).subject.c_str());
}

TEST(Settings, that_are_not_toml_are_refused) {
  const auto read = ReadSettings("nodeName = ");
  CHECK(core::Failure(read).id == core::ErrorId::kSettingBadValue);
}
