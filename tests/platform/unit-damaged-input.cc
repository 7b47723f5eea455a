// Fuzz tests of the parsers of external input: damaged copies must neither
// crash a parser nor be accepted with invalid values. The seed is fixed, so
// that failures are reproducible.
#include <CppUTest/TestHarness.h>

#include <functional>  // function
#include <pcg_random.hpp>
#include <string>  // string

#include "platform/documents.h"
#include "platform/settings.h"

using namespace coppervalve;
using namespace coppervalve::platform;

namespace {

constexpr int kRounds = 20'000;

constexpr const char* kEntry =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"a","version":"v1",)"
    R"("slots":64,"state":"ready","warmupLeftMs":0,"born":1700,"sequence":4})";

constexpr const char* kConfiguration =
    R"({"version":7,"routes":[{"name":"r1","hostname":"h","pathPrefix":"/a/",)"
    R"("type":"safe","timeoutMs":600,"targetLatencyMs":100,"priority":1,)"
    R"("service":"s1","maxAttempts":2}],"services":[{"name":"s1",)"
    R"("maxConnections":96,"engine":{"stride":7}}],"limits":{)"
    R"("maxHeaderBytes":1000},"tenants":[{"name":"t1","apiKeys":["k1"],)"
    R"("prepaid":4912792}]})";

constexpr const char* kSettings = R"(nodeName = "edge-a-1"
zone = "a"
ip = "10.0.0.1"
internalPorts = [7340, 7355]
[listen]
frontend = "10.0.0.1:80"
[bounds]
graceS = 8
retryBudgetRatio = 0.25
[platform]
address = "10.9.0.1:90"
)";

// Prefers bytes that are significant to the parsers.
char RandomByte(pcg64& random) {
  constexpr std::string_view kSignificantBytes =
      "{}[]\",:0123456789-+.eEtrufalsn\\\n= ";
  if (random() % 3 == 0) {
    return static_cast<char>(random());
  }
  return kSignificantBytes[random() % kSignificantBytes.size()];
}

std::string Damaged(std::string text, pcg64& random) {
  for (uint64_t changes = 1 + random() % 6; changes != 0; --changes) {
    const size_t at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = RandomByte(random);
        break;
      case 1:
        text.insert(text.begin() + static_cast<std::ptrdiff_t>(at),
                    RandomByte(random));
        break;
      default:
        text.erase(at, 1 + random() % 5);
        break;
    }
    if (text.empty()) {
      text.push_back('{');
    }
  }
  return text;
}

void Feed(const std::string& good,
          const std::function<void(const std::string&)>& read) {
  pcg64 random(20261203);
  for (int round = 0; round < kRounds; ++round) {
    read(Damaged(good, random));
  }
}

}  // namespace

// clang-format off
TEST_GROUP(DamagedInput){};
// clang-format on

TEST(DamagedInput, an_accepted_entry_describes_an_upstream) {
  Feed(kEntry, [](const std::string& document) {
    const auto read = ReadUpstream("i-1", document);
    if (!core::IsOk(read)) {
      return;
    }
    const entry::UpstreamEntry& taken = core::Value(read);
    CHECK_FALSE(taken.service.empty());
    CHECK_FALSE(taken.address.empty());
    CHECK(taken.slots >= 1);
    const bool says_ready = document.find("\"ready\"") != std::string::npos;
    CHECK(says_ready || taken.leaving);
  });
}

TEST(DamagedInput, an_accepted_configuration_has_valid_accounts) {
  Feed(kConfiguration, [](const std::string& document) {
    const auto read = ReadConfiguration(document);
    if (!core::IsOk(read)) {
      return;
    }
    for (const entry::Account& account : core::Value(read).accounts) {
      CHECK_FALSE(account.prepaid && account.prepaid->value() < 0);
    }
  });
}

TEST(DamagedInput, accepted_settings_contain_all_required_fields) {
  Feed(kSettings, [](const std::string& text) {
    const auto read = ReadSettings(text);
    if (!core::IsOk(read)) {
      return;
    }
    CHECK_FALSE(core::Value(read).gateway.router.empty());
    CHECK_FALSE(core::Value(read).store_address.empty());
  });
}
