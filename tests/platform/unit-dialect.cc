#include "platform/dialect.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

using namespace coppervalve;
using namespace coppervalve::platform;

// clang-format off
TEST_GROUP(Dialect) {
  gateway::Dialect dialect = MakeDialect();
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
    gateway::SendFacts facts;
    facts.left = std::chrono::milliseconds(900);
    facts.upstream = core::UpstreamId("i-1");
    facts.account = core::AccountId("tenant-1");
    facts.has_accounts = true;
    facts.priority = 12;
    return dialect.upstream_headers(head, facts);
  }
};
// clang-format on

TEST(Dialect, a_request_is_translated) {
  const auto read = dialect.read_request(head);
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

TEST(Dialect, the_key_is_not_shown_to_the_server) {
  const http1::HeaderList headers = Upstream();
  CHECK(headers.Find("Authorization") == nullptr);
  STRCMP_EQUAL("tenant-1", headers.Find("Tenant")->c_str());
}

TEST(Dialect, the_caller_does_not_set_what_only_the_router_may) {
  // A caller pays from another account, or goes on from another request's
  // memory, by sending the header that the router sets.
  for (const char* name :
       {"Tenant", "Expected-Instance", "Priority-Class", "Retention", "Pin-Ms",
        "Kv-Backup", "Kv-From", "Kv-Fetch", "Deadline-Ms"}) {
    head.headers.Add(name, "forged");
  }
  for (const http1::Header& header : Upstream()) {
    CHECK(header.value != "forged");
  }
}

TEST(Dialect, the_server_gets_the_time_that_is_left_and_its_own_name) {
  const http1::HeaderList headers = Upstream();
  STRCMP_EQUAL("900", headers.Find("Deadline-Ms")->c_str());
  STRCMP_EQUAL("i-1", headers.Find("Expected-Instance")->c_str());
  STRCMP_EQUAL("9", headers.Find("Priority-Class")->c_str());
  STRCMP_EQUAL("r-1", headers.Find("Request-Id")->c_str());
}

TEST(Dialect, repeated_ids_are_refused) {
  head.headers.Add("Request-Id", "r-2");
  CHECK_FALSE(core::IsOk(dialect.read_request(head)));
}

TEST(Dialect, not_run_is_the_servers_own_word) {
  http1::ResponseHead answer;
  answer.status = 503;
  CHECK_FALSE(dialect.read_answer(answer).not_run);
  answer.headers.Add("Not-Executed", "1");
  CHECK(dialect.read_answer(answer).not_run);
  answer = {};
  answer.status = 421;
  CHECK(dialect.read_answer(answer).not_run);
  CHECK(dialect.read_answer(answer).other_upstream);
}

TEST(Dialect, an_encoded_body_is_not_the_servers) {
  http1::ResponseHead answer;
  answer.status = 200;
  answer.headers.Add("Server-Signature", "s");
  CHECK(dialect.read_answer(answer).genuine);
  answer.headers.Add("Content-Encoding", "gzip");
  CHECK_FALSE(dialect.read_answer(answer).genuine);
}

TEST(Dialect, a_refusal_says_when_to_come_back) {
  const gateway::LocalAnswer answer = dialect.refusal(
      {core::ErrorId::kBudgetBusy, "t", "x"}, core::Duration(1'500'000));
  CHECK_EQUAL(503, answer.status);
  STRCMP_EQUAL("1.500", answer.headers.Find("Retry-After")->c_str());
  CHECK(answer.body.find("not_run") != std::string::npos);
}

TEST(Dialect, addresses_are_given_only_when_some_are_known) {
  http1::RequestHead question;
  question.method = "GET";
  question.target = "/api/resolve?name=desk.example&zone=a";
  CHECK_EQUAL(503, dialect.addresses(question, {}, {}).status);
  const gateway::LocalAnswer answer =
      dialect.addresses(question, {"10.0.0.1:80"}, std::chrono::seconds(2));
  STRCMP_EQUAL(R"({"addresses":["10.0.0.1:80"],"ttlS":2})",
               answer.body.c_str());
  question.target = "/other";
  CHECK_EQUAL(404, dialect.addresses(question, {"10.0.0.1:80"}, {}).status);
}

TEST(Dialect, a_named_limit_is_a_plain_decimal) {
  const auto read = [this](const char* text) {
    http1::ResponseHead answer;
    answer.headers.Add("Server-Limit", text);
    return dialect.read_answer(answer);
  };
  DOUBLES_EQUAL(2.1, *read("2.1").limit, 1e-9);
  DOUBLES_EQUAL(0.25, *read("0.25").limit, 1e-9);
  DOUBLES_EQUAL(0, *read("0").limit, 1e-9);
  for (const char* text : {"", "-1", "nan", "inf", "1e9", "0x2", "2 a", "."}) {
    CHECK_FALSE(read(text).limit.has_value());
    CHECK(read(text).limit_unreadable);
  }
  CHECK_FALSE(dialect.read_answer({}).limit.has_value());
  CHECK_FALSE(dialect.read_answer({}).limit_unreadable);
}

TEST(Dialect, two_limits_in_one_answer_are_none) {
  http1::ResponseHead answer;
  answer.headers.Add("Server-Limit", "2");
  answer.headers.Add("Server-Limit", "3");
  CHECK_FALSE(dialect.read_answer(answer).limit.has_value());
  CHECK(dialect.read_answer(answer).limit_unreadable);
}

TEST(Dialect, what_an_answer_says_and_nothing_reads_is_named) {
  http1::ResponseHead answer;
  answer.headers.Add("Server-Signature", "1");
  answer.headers.Add("server-limit", "2");
  answer.headers.Add("Server-Mood", "1");
  const auto read = dialect.read_answer(answer);
  CHECK_EQUAL(1, read.unknown.size());
  STRCMP_EQUAL("Server-Mood", read.unknown.front().c_str());
}
