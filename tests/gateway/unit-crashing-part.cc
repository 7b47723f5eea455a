#include <CppUTest/TestHarness.h>

#include <chrono>      // milliseconds
#include <functional>  // function
#include <string>      // string, to_string

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

// More upstreams than a part may crash.
constexpr int kUpstreams = 10;
// As many as prove a part guilty where crashes are rare.
constexpr int kCrashes = 4;
constexpr const char* kRefused = "prompt_part_ends_upstreams";

std::string WholeStream(const std::string& request) {
  return SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n";
}

std::string EmptyStream(const std::string& request) {
  return SignedStreamHead(request) + "0\r\n\r\n";
}

std::string Failure(const std::string& request) {
  return Signed(request, "failed", 500);
}

}  // namespace

// clang-format off
TEST_GROUP(CrashingPart) {
  using Answer = std::function<std::string(const std::string& request)>;

  Router router;
  int number = 0;

  // Upstreams that crash under "/talk/bad..." and answer all other requests.
  void Start(const Answer& answer) {
    for (int i = 0; i < kUpstreams; ++i) {
      ScriptedUpstream& upstream =
          router.AddUpstream("talk-" + std::to_string(i), "talk");
      upstream.Answer([&upstream, answer](const StreamRef& stream,
                                          const std::string& request) {
        if (Has(request, "/talk/bad")) {
          upstream.StopListening();
          stream->Abort();
        } else {
          stream->Send(answer(request));
        }
      });
    }
    router.Start();
  }

  std::string Ask(const std::string& path, const std::string& parts) {
    ++number;
    return router.SendRequest(path + std::to_string(number),
                              "X-Parts: " + parts + "\r\n",
                              "r-" + std::to_string(number));
  }

  // Long enough for the crashes to be separate events.
  void Crash(int times, const std::string& parts = "bad") {
    for (int i = 0; i < times; ++i) {
      Ask("/talk/bad", parts);
      router.io.run_for(std::chrono::milliseconds(400));
    }
  }

  // @return the answer after crashes that are enough together, but for a
  // complete answer between them
  std::string AskAfterCrashesAround(const std::string& path,
                                    const std::string& status) {
    Crash(2);
    CHECK(Has(Ask(path, "bad"), status));
    Crash(2);
    return Ask(path, "bad");
  }
};
// clang-format on

TEST(CrashingPart, requests_with_it_are_refused_and_others_are_served) {
  Start(WholeStream);
  for (int i = 0; i < kCrashes; ++i) {
    Crash(1, "system bad");
    CHECK(Has(Ask("/talk/sound", "system"), "200 OK"));
  }
  const std::string refused = Ask("/talk/new", "other bad");
  CHECK(Has(refused, kRefused));
  CHECK(Has(refused, " 503 "));
  CHECK(Has(Ask("/talk/sound", "system"), "200 OK"));
}

TEST(CrashingPart, a_completed_stream_clears_it) {
  Start(WholeStream);
  CHECK_FALSE(Has(AskAfterCrashesAround("/talk/sound", "200 OK"), kRefused));
}

TEST(CrashingPart, an_answer_that_is_no_success_does_not_clear_it) {
  Start(Failure);
  CHECK(Has(AskAfterCrashesAround("/talk/failing", " 500 "), kRefused));
}

TEST(CrashingPart, a_stream_without_events_does_not_clear_it) {
  Start(EmptyStream);
  CHECK(Has(AskAfterCrashesAround("/talk/empty", "200 OK"), kRefused));
}
