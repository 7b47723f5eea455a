#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

constexpr size_t kMemory = 3'000'000;
constexpr size_t kCallers = 12;
constexpr size_t kPart = 100'000;  // of each response

}  // namespace

// clang-format off
TEST_GROUP(BufferedResponse) {
  Router router;
  std::vector<std::unique_ptr<TestCaller>> callers;

  // Sends requests whose responses stay unfinished.
  void SendRequests() {
    ScriptedUpstream& upstream = router.AddUpstream("one", "lookup");
    upstream.Answer([](const StreamRef& stream, const std::string& request) {
      const std::string response = Signed(request, std::string(2 * kPart, 'x'));
      stream->Send(response.substr(0, response.size() - kPart));
    });
    router.Start();
    for (size_t i = 0; i < kCallers; ++i) {
      callers.push_back(router.Caller());
      callers.back()->Send(
          Router::RequestText("/lookup/x", {}, "r-" + std::to_string(i)));
      CHECK(router.Until([&] { return upstream.requests.size() > i; }));
    }
    router.io.run_for(std::chrono::milliseconds(100));
  }
  size_t KeptResponses() const {
    size_t kept = 0;
    for (const auto& caller : callers) {
      kept += caller->received.empty() ? 1 : 0;
    }
    return kept;
  }
};
// clang-format on

TEST(BufferedResponse, plain_responses_are_kept_until_they_are_complete) {
  SendRequests();
  CHECK_EQUAL(kCallers, KeptResponses());
}

// Failure: responses that are kept until they are complete exceed the memory.
TEST(BufferedResponse, responses_are_passed_on_earlier_while_memory_is_tight) {
  router.settings.memory_bytes = kMemory;
  SendRequests();
  CHECK(KeptResponses() > 0);
  CHECK(KeptResponses() * kPart < kMemory / 3);
}
