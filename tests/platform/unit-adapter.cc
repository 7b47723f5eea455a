#include "platform/adapter.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string
#include <vector>  // vector

using namespace coppervalve;
using namespace coppervalve::platform;

// clang-format off
TEST_GROUP(PlatformAdapter) {
  gateway::PlatformAdapter adapter = MakePlatformAdapter();
  http1::RequestHead head;
  void setup() override {
    head.method = "POST";
    head.target = "/a/b";
    head.headers.Add("Host", "desk.example");
    head.headers.Add("Request-Id", "r-1");
    head.headers.Add("Deadline-Ms", "12000");
    head.headers.Add("Authorization", "Token secret");
    head.headers.Add("Token-Usage", "1460,80");
    head.headers.Add("Prefix-Hash", "aa:800,bb:410,cc:250");
  }
  http1::HeaderList Upstream() {
    gateway::UpstreamRequestContext facts;
    facts.time_left = std::chrono::milliseconds(900);
    facts.upstream = core::UpstreamId("i-1");
    facts.account = core::AccountId("tenant-1");
    facts.has_accounts = true;
    facts.priority = 12;
    return adapter.upstream_headers(head, facts);
  }
};
// clang-format on

TEST(PlatformAdapter, parses_a_request) {
  const auto read = adapter.read_request(head);
  CHECK(core::IsOk(read));
  const entry::RequestFacts& facts = core::Value(read);
  STRCMP_EQUAL("r-1", facts.id.c_str());
  STRCMP_EQUAL("secret", facts.key.c_str());
  CHECK(facts.caller_timeout == std::chrono::seconds(12));
  CHECK_EQUAL(1'460, facts.prompt.value());
  CHECK_EQUAL(80, facts.max_output.value());
  STRCMP_EQUAL("aa:800,bb:410", facts.shared_prefix.c_str());
  CHECK_EQUAL(1'210, facts.shared_tokens.value());
}

TEST(PlatformAdapter, a_part_of_a_prompt_has_one_name_however_it_is_written) {
  const auto parts = [&](const char* list) {
    http1::RequestHead with_parts;
    with_parts.headers.Add("Request-Id", "r-1");
    with_parts.headers.Add("Prefix-Hash", list);
    return core::Value(adapter.read_request(with_parts)).shared_parts;
  };
  const std::vector<std::string> same{"a0", "b"};
  CHECK(parts("a0:800,b:410,c:1") == same);
  CHECK(parts("00A0:9, 0B ,c:1") == same);
  CHECK(parts(":7,a0,,b:410,c:1") == same);
  CHECK(parts("000:7,c:1") == std::vector<std::string>{"0"});
  CHECK(parts("c:1").empty());
  CHECK(parts("").empty());
}

TEST(PlatformAdapter, the_key_is_not_forwarded_to_the_server) {
  const http1::HeaderList headers = Upstream();
  CHECK(headers.Find("Authorization") == nullptr);
  STRCMP_EQUAL("tenant-1", headers.Find("Tenant")->c_str());
}

TEST(PlatformAdapter,
     headers_that_only_the_router_may_set_are_not_taken_from_callers) {
  // By sending a header that only the router sets, a caller could spend another
  // account's tokens or continue from another request's KV cache.
  for (const char* name :
       {"Tenant", "Expected-Instance", "Priority-Class", "Retention", "Pin-Ms",
        "Kv-Backup", "Kv-From", "Kv-Fetch", "Deadline-Ms"}) {
    head.headers.Add(name, "forged");
  }
  for (const http1::Header& header : Upstream()) {
    CHECK(header.value != "forged");
  }
}

TEST(PlatformAdapter, the_server_receives_the_remaining_time_and_its_own_id) {
  const http1::HeaderList headers = Upstream();
  STRCMP_EQUAL("900", headers.Find("Deadline-Ms")->c_str());
  STRCMP_EQUAL("i-1", headers.Find("Expected-Instance")->c_str());
  STRCMP_EQUAL("9", headers.Find("Priority-Class")->c_str());
  STRCMP_EQUAL("r-1", headers.Find("Request-Id")->c_str());
}

TEST(PlatformAdapter, a_repeated_request_id_is_refused) {
  head.headers.Add("Request-Id", "r-2");
  CHECK_FALSE(core::IsOk(adapter.read_request(head)));
}

TEST(PlatformAdapter, only_the_server_can_declare_a_request_not_run) {
  http1::ResponseHead answer;
  answer.status = 503;
  CHECK_FALSE(adapter.read_answer(answer).not_run);
  answer.headers.Add("Not-Executed", "1");
  CHECK(adapter.read_answer(answer).not_run);
  answer = {};
  answer.status = 421;
  CHECK(adapter.read_answer(answer).not_run);
  CHECK(adapter.read_answer(answer).misdirected);
}

TEST(PlatformAdapter, an_encoded_body_is_not_genuine) {
  http1::ResponseHead answer;
  answer.status = 200;
  answer.headers.Add("Server-Signature", "s");
  CHECK(adapter.read_answer(answer).genuine);
  answer.headers.Add("Content-Encoding", "gzip");
  CHECK_FALSE(adapter.read_answer(answer).genuine);
}

TEST(PlatformAdapter, a_refusal_carries_the_retry_delay) {
  const gateway::LocalResponse answer = adapter.refusal(
      {core::ErrorId::kBudgetBusy, "t", "x"}, core::Duration(1'500'000));
  CHECK_EQUAL(503, answer.status);
  STRCMP_EQUAL("1.500", answer.headers.Find("Retry-After")->c_str());
  CHECK(answer.body.find("not_run") != std::string::npos);
}

TEST(PlatformAdapter, addresses_are_returned_only_if_some_are_known) {
  http1::RequestHead question;
  question.method = "GET";
  question.target = "/api/resolve?name=desk.example&zone=a";
  CHECK_EQUAL(503, adapter.addresses(question, {}, {}).status);
  const gateway::LocalResponse answer =
      adapter.addresses(question, {"10.0.0.1:80"}, std::chrono::seconds(2));
  STRCMP_EQUAL(R"({"addresses":["10.0.0.1:80"],"ttlS":2})",
               answer.body.c_str());
  question.target = "/other";
  CHECK_EQUAL(404, adapter.addresses(question, {"10.0.0.1:80"}, {}).status);
}

TEST(PlatformAdapter, a_declared_limit_is_a_plain_decimal) {
  const auto read = [this](const char* text) {
    http1::ResponseHead answer;
    answer.headers.Add("Server-Limit", text);
    return adapter.read_answer(answer);
  };
  DOUBLES_EQUAL(2.1, *read("2.1").limit, 1e-9);
  DOUBLES_EQUAL(0.25, *read("0.25").limit, 1e-9);
  DOUBLES_EQUAL(0, *read("0").limit, 1e-9);
  for (const char* text : {"", "-1", "nan", "inf", "1e9", "0x2", "2 a", "."}) {
    CHECK_FALSE(read(text).limit.has_value());
    CHECK(read(text).limit_malformed);
  }
  CHECK_FALSE(adapter.read_answer({}).limit.has_value());
  CHECK_FALSE(adapter.read_answer({}).limit_malformed);
}

TEST(PlatformAdapter, a_brittle_server_states_a_plain_decimal) {
  const auto read = [this](const char* text) {
    http1::ResponseHead answer;
    answer.headers.Add("Server-Brittle", text);
    return adapter.read_answer(answer).max_rejections;
  };
  DOUBLES_EQUAL(4, *read("4"), 1e-9);
  DOUBLES_EQUAL(2.5, *read("2.5"), 1e-9);
  for (const char* text : {"", "-1", "nan", "1e9", "4 a"}) {
    CHECK_FALSE(read(text).has_value());
  }
  CHECK_FALSE(adapter.read_answer({}).max_rejections.has_value());
}

TEST(PlatformAdapter, two_limits_in_one_response_are_rejected) {
  http1::ResponseHead answer;
  answer.headers.Add("Server-Limit", "2");
  answer.headers.Add("Server-Limit", "3");
  CHECK_FALSE(adapter.read_answer(answer).limit.has_value());
  CHECK(adapter.read_answer(answer).limit_malformed);
}

TEST(PlatformAdapter, unknown_headers_of_a_response_are_listed) {
  http1::ResponseHead answer;
  answer.headers.Add("Server-Signature", "1");
  answer.headers.Add("server-limit", "2");
  answer.headers.Add("Server-Mood", "1");
  const auto read = adapter.read_answer(answer);
  CHECK_EQUAL(1, read.unknown_headers.size());
  STRCMP_EQUAL("Server-Mood", read.unknown_headers.front().c_str());
}

TEST(PlatformAdapter, reads_what_a_caller_resumes) {
  head.headers.Add("Last-Event-Id", "17");
  head.headers.Add("Resumes", "r-0");
  const auto read = adapter.read_request(head);
  STRCMP_EQUAL("17", core::Value(read).resume_after.c_str());
  STRCMP_EQUAL("r-0", core::Value(read).resumes.c_str());
}
