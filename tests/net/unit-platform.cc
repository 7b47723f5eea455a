#include <CppUTest/TestHarness.h>

#include <atomic>  // atomic
#include <mutex>   // mutex
#include <string>  // string
#include <thread>  // sleep_for
#include <vector>  // vector

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string ReadReplyBytes() {
  v1::ReadReply reply;
  reply.set_first_retained(3);
  reply.set_end(8);
  v1::LoggedEntry* entry = reply.add_entries();
  entry->set_offset(7);
  entry->set_entry("bytes");
  return reply.SerializeAsString();
}

std::string AppendReplyBytes(uint64_t offset) {
  v1::AppendReply reply;
  reply.set_offset(offset);
  return reply.SerializeAsString();
}

// Returns these actions once, at the first request of a caller.
TestShell::Decide OnRequest(TestShell::Actions actions) {
  return [actions = std::move(actions)](const router::Event& event) {
    const bool arrived =
        std::holds_alternative<router::AddressesRequested>(event);
    return arrived ? actions : TestShell::Actions();
  };
}

void Trigger(TestShell& shell) {
  shell.Caller().Send("GET /v1/addresses HTTP/1.1\r\nHost: r\r\n\r\n");
}

net::ShellSettings WithLog(const std::string& address) {
  net::ShellSettings settings = TestShell::Settings();
  settings.log_address = address;
  return settings;
}

}  // namespace

// clang-format off
TEST_GROUP(Platform){};
// clang-format on

TEST(Platform, the_log_is_read_and_appended_to) {
  std::mutex mutex;
  std::string seen;
  FakeServer log([&mutex, &seen](RawSocket& socket, size_t) {
    while (true) {
      const std::string request = socket.ReadMessage();
      if (request.empty()) {
        return;
      }
      const std::scoped_lock lock(mutex);
      seen += request;
      const bool append = request.starts_with("POST");
      socket.Send(Reply(append ? AppendReplyBytes(8) : ReadReplyBytes()));
    }
  });
  {
    TestShell shell(OnRequest({router::ReadLog{core::LogOffset(7),
                                               std::chrono::milliseconds(250)},
                               router::AppendLog{std::string("\0entry", 6)}}),
                    WithLog(log.address()));
    Trigger(shell);
    const auto read = shell.WaitFor<router::LogRead>();
    CHECK(read.has_value());
    LONGS_EQUAL(8, read->reply.end());
    STRCMP_EQUAL("bytes", read->reply.entries(0).entry().c_str());
    const auto appended = shell.WaitFor<router::LogAppended>();
    CHECK(appended.has_value());
    LONGS_EQUAL(8, appended->offset.value());
  }
  CHECK_TEXT(Has(seen, "GET /log/read?from=7&max_bytes=1048576&wait_ms=250 "),
             seen.c_str());
  CHECK(Has(seen, "POST /log/append "));
  CHECK(Has(seen, std::string("\r\n\r\n\0entry", 10)));
}

TEST(Platform,
     an_append_with_a_lost_reply_is_neither_retried_nor_reported_as_done) {
  // The service accepts the entry and its reply is lost. The shell must
  // report an unknown outcome to the core and must not append a second time.
  std::atomic<int> appends{0};
  FakeServer log([&appends](RawSocket& socket, size_t) {
    socket.ReadMessage();
    ++appends;
    socket.Reset();
  });
  {
    TestShell shell(OnRequest({router::AppendLog{"entry"}}),
                    WithLog(log.address()));
    Trigger(shell);
    CHECK(shell.WaitForCount<router::LogAppendFailed>(1));
    LONGS_EQUAL(0, shell.Count<router::LogAppended>());
  }
  LONGS_EQUAL(1, appends);
}

TEST(Platform, an_unreachable_or_silent_log_is_reported) {
  FakeServer silent([](RawSocket& socket, size_t) { socket.ReadToEnd(); });
  {
    net::ShellSettings settings = WithLog(silent.address());
    settings.log_timeout = std::chrono::milliseconds(200);
    TestShell shell(OnRequest({router::ReadLog{core::LogOffset(0), {}},
                               router::AppendLog{"entry"}}),
                    settings);
    Trigger(shell);
    CHECK(shell.WaitFor<router::LogReadFailed>()->error.id ==
          core::ErrorId::kLogUnavailable);
    CHECK(shell.WaitFor<router::LogAppendFailed>().has_value());
  }
  TestShell shell(OnRequest({router::ReadLog{core::LogOffset(0), {}}}),
                  WithLog("127.0.0.1:1"));
  Trigger(shell);
  CHECK(shell.WaitFor<router::LogReadFailed>().has_value());
}

TEST(Platform, a_malformed_reply_is_a_failure) {
  FakeServer log(AlwaysReply(Reply("\xff\xff not a message")));
  {
    TestShell shell(OnRequest({router::ReadLog{core::LogOffset(0), {}}}),
                    WithLog(log.address()));
    Trigger(shell);
    CHECK(shell.WaitFor<router::LogReadFailed>().has_value());
  }
}

TEST(Platform, the_vm_list_is_polled) {
  FakeServer vms(AlwaysReply(Reply(
      R"({"vms":[{"id":"m1","address":"127.0.0.1:9","leaving":true,"new":1}]})")));
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.vm_list_address = vms.address();
    settings.vm_list_interval = std::chrono::milliseconds(30);
    TestShell shell(OnRequest({}), settings);
    const auto list = shell.WaitFor<router::VmListRead>();
    CHECK(list.has_value());
    STRCMP_EQUAL("m1", list->vms.vms(0).id().c_str());
    CHECK(list->vms.vms(0).leaving());
  }
}

// Guards against a router that follows the list no more because of one entry.
TEST(Platform, an_odd_entry_of_the_vm_list_does_not_hide_the_others) {
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd : std::vector<std::string>{
           R"({"id":7e400})", R"({"id":"m0","leaving":"no"})",
           R"({"id":"m0","address":[1]})", R"({"id":"m0","new":)" + deep + "}",
           R"({"id":"m0","new":Infinity})", R"({"id":"}]","leaving":3})"}) {
    FakeServer vms(AlwaysReply(
        Reply(R"({"vms":[{"id":"m1"},)" + odd + R"(,{"id":"m2"}]})")));
    net::ShellSettings settings = TestShell::Settings();
    settings.vm_list_address = vms.address();
    settings.vm_list_interval = std::chrono::milliseconds(30);
    TestShell shell(OnRequest({}), settings);
    const auto list = shell.WaitFor<router::VmListRead>();
    CHECK_TEXT(list.has_value(), odd.substr(0, 40).c_str());
    STRCMP_EQUAL("m2", list->vms.vms(list->vms.vms_size() - 1).id().c_str());
  }
}

TEST(Platform, a_vm_list_that_is_cut_off_is_not_taken) {
  FakeServer vms(AlwaysReply(Reply(R"({"vms":[{"id":"m1"},{"id":"m2")")));
  net::ShellSettings settings = TestShell::Settings();
  settings.vm_list_address = vms.address();
  settings.vm_list_interval = std::chrono::milliseconds(10);
  TestShell shell(OnRequest({}), settings);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, shell.Count<router::VmListRead>());
}

TEST(Platform, a_probe_reports_health_and_load) {
  FakeServer healthy(AlwaysReply(Reply("{}", "x-engine-queued: 4\r\n")));
  FakeServer ill(AlwaysReply("HTTP/1.1 503 Ill\r\nContent-Length: 0\r\n\r\n"));
  {
    TestShell shell(OnRequest(
        {router::ProbeUpstream{core::UpstreamId("u1"), healthy.address()}}));
    Trigger(shell);
    const auto ended = shell.WaitFor<router::ProbeEnded>();
    CHECK(ended.has_value());
    CHECK(ended->healthy);
    LONGS_EQUAL(4, ended->load->queued);
  }
  TestShell shell(OnRequest(
      {router::ProbeUpstream{core::UpstreamId("u2"), ill.address()}}));
  Trigger(shell);
  const auto ended = shell.WaitFor<router::ProbeEnded>();
  CHECK(ended.has_value());
  CHECK_FALSE(ended->healthy);
}

// Maps an engine's answer, or its absence, to the outcome of an order. Only a
// connection that was never established proves that nothing was sent.
TEST(Platform, the_outcome_of_an_order_follows_the_answer_of_the_engine) {
  v1::OrderIssued issued;
  issued.set_load_model("chat-8");
  const auto outcome_at = [&issued](const std::string& address) {
    TestShell shell(OnRequest({router::SendOrder{
        core::UpstreamId("u1"), address, core::FencingNumber(7), issued}}));
    Trigger(shell);
    const auto ended = shell.WaitFor<router::OrderSent>();
    CHECK(ended.has_value());
    CHECK(ended->fencing == core::FencingNumber(7));
    return ended->outcome;
  };
  FakeServer done(AlwaysReply(Reply("{}")));
  FakeServer fenced(
      AlwaysReply("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"));
  FakeServer broken(
      AlwaysReply("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"));
  std::string request;
  FakeServer silent([&request](RawSocket& socket, size_t) {
    request = socket.ReadMessage();
  });
  CHECK(outcome_at(done.address()) == orders::SendOutcome::kDone);
  CHECK(outcome_at(fenced.address()) == orders::SendOutcome::kRefused);
  CHECK(outcome_at(broken.address()) == orders::SendOutcome::kUnknown);
  CHECK(outcome_at(silent.address()) == orders::SendOutcome::kUnknown);
  CHECK(Has(request, "POST /admin/order"));
  CHECK(Has(request, R"({"fencing":7,"load_model":"chat-8"})"));
  CHECK(outcome_at("127.0.0.1:1") == orders::SendOutcome::kNotSent);
}
