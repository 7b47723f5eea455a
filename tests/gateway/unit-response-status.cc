// Upstreams whose response has a status that is none.
#include <CppUTest/TestHarness.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>  // milliseconds
#include <memory>  // make_shared
#include <string>  // string

#include "partition_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

constexpr const char* kInvalidStatuses[] = {"000", "001", "099",
                                            "101", "600", "999"};

std::string WithStatus(std::string response, const std::string& status) {
  const size_t at = response.find(' ') + 1;
  return response.replace(at, response.find(' ', at) - at, status);
}

}  // namespace

// clang-format off
TEST_GROUP_BASE(UpstreamStatus, PartitionFixture) {
  // The head comes first, then the body, which holds another response, and one
  // more response.
  void AnswerInTwoPackets(ScriptedUpstream& upstream,
                          const std::string& status) {
    upstream.Answer([this, status](const StreamRef& stream,
                                   const std::string& request) {
      const std::string inner = Signed(request, "inner");
      const std::string response = WithStatus(Signed(request, inner), status);
      const size_t head = response.size() - inner.size();
      stream->Send(response.substr(0, head));
      const auto timer = std::make_shared<boost::asio::steady_timer>(
          router.io, std::chrono::milliseconds(20));
      const std::string rest = response.substr(head) + Signed(request, "next");
      timer->async_wait([stream, timer, rest](const auto& code) {
        if (!code && stream->open()) {
          stream->Send(rest);
        }
      });
    });
  }

  void CheckFails(const std::string& path) {
    for (const char* status : kInvalidStatuses) {
      AnswerInTwoPackets(*upstreams.front(), status);
      const std::string answer = router.SendRequest(path + status);
      CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 502 "),
                      (status + (" was answered " + answer)).c_str());
      CHECK_FALSE(Has(answer, "inner"));
    }
  }
};
// clang-format on

// Guards against a status that is none and that reaches a caller as an answer.
TEST(UpstreamStatus, a_status_that_is_none_fails_the_request) {
  AddUpstreams("hold", 1);
  router.Start();
  CheckFails("/hold/x");
}

TEST(UpstreamStatus, a_status_that_is_none_fails_a_stream) {
  AddUpstreams("talk", 1);
  router.Start();
  CheckFails("/talk/x");
}

// Guards against the same through a relay.
TEST(UpstreamStatus, a_status_that_is_none_fails_a_relayed_request) {
  AddUpstreams("hold", 1);
  Start();
  Partition();
  CheckFails("/hold/x");
}

// Guards against an idempotent request that fails although it may be repeated.
TEST(UpstreamStatus, an_idempotent_request_is_sent_to_another_upstream) {
  AddUpstreams("lookup", 2);
  int invalid = 0;
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer(
        [&invalid](const StreamRef& stream, const std::string& request) {
          const std::string response = Signed(request, "done");
          stream->Send(invalid++ == 0 ? WithStatus(response, "000") : response);
        });
  }
  router.Start();
  const std::string answer = router.SendRequest("/lookup/x");
  CHECK(answer.starts_with("HTTP/1.1 200 "));
  CHECK_EQUAL(2, invalid);
}
