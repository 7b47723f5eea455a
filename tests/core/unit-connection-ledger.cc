#include "coppervalve/core/connection_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace coppervalve::core;

namespace {

constexpr ConnectionLimits kLimits{4, 1'000'000};

}  // namespace

// clang-format off
TEST_GROUP(ConnectionLedger) {
  ConnectionLedger m_ledger{kLimits};

  ConnectionLedger::Id OpenWith(ConnectionStage stage, size_t bytes) {
    const ConnectionLedger::Id id = m_ledger.Open();
    m_ledger.Update(id, stage, bytes);
    return id;
  }

  void CheckEnds(ConnectionLedger::Id id, ConnectionLimit limit) {
    const auto excess = m_ledger.FindExcess();
    CHECK(excess.has_value());
    CHECK_EQUAL(id, excess->id);
    CHECK(excess->limit == limit);
  }
};
// clang-format on

TEST(ConnectionLedger, nothing_is_ended_within_the_limits) {
  for (int i = 0; i < 4; ++i) {
    OpenWith(ConnectionStage::kReceiving, 100'000);
  }
  CHECK_FALSE(m_ledger.FindExcess().has_value());
  CHECK_EQUAL(400'000U, m_ledger.bytes());
}

TEST(ConnectionLedger,
     the_connection_without_progress_for_the_longest_is_ended) {
  const auto first = OpenWith(ConnectionStage::kIdle, 0);
  const auto second = OpenWith(ConnectionStage::kReceiving, 10);
  for (int i = 0; i < 3; ++i) {
    OpenWith(ConnectionStage::kIdle, 0);
  }
  m_ledger.Update(first, ConnectionStage::kIdle, 0);
  CheckEnds(second, ConnectionLimit::kConnections);
  m_ledger.Close(second);
  CHECK_FALSE(m_ledger.FindExcess().has_value());
}

TEST(ConnectionLedger, a_connection_that_is_closing_is_ended_first) {
  OpenWith(ConnectionStage::kIdle, 0);
  const auto closing = OpenWith(ConnectionStage::kClosing, 0);
  for (int i = 0; i < 3; ++i) {
    OpenWith(ConnectionStage::kIdle, 0);
  }
  CheckEnds(closing, ConnectionLimit::kConnections);
}

TEST(ConnectionLedger, a_request_in_progress_is_never_ended) {
  for (int i = 0; i < 5; ++i) {
    OpenWith(ConnectionStage::kBusy, 900'000);
  }
  CHECK_FALSE(m_ledger.FindExcess().has_value());
}

TEST(ConnectionLedger, the_largest_unfinished_request_is_ended) {
  OpenWith(ConnectionStage::kReceiving, 300'000);
  const auto largest = OpenWith(ConnectionStage::kReceiving, 460'000);
  OpenWith(ConnectionStage::kReceiving, 460'000);
  CheckEnds(largest, ConnectionLimit::kBytes);
}

// Guards against small requests that are refused beside large ones.
TEST(ConnectionLedger,
     a_small_request_has_room_while_large_ones_are_at_their_limit) {
  OpenWith(ConnectionStage::kBusy, 400'000);
  OpenWith(ConnectionStage::kBusy, 400'000);
  const auto large = OpenWith(ConnectionStage::kBusy, 50'000);
  CHECK_FALSE(m_ledger.Admits(large));
  m_ledger.Close(large);
  CHECK(m_ledger.Admits(OpenWith(ConnectionStage::kBusy, 1'000)));
}

// Guards against a limit of the process that refuses a request within its own.
TEST(ConnectionLedger, a_single_request_is_accepted_whatever_its_size) {
  OpenWith(ConnectionStage::kIdle, 200);
  const auto single = OpenWith(ConnectionStage::kReceiving, 2'000'000);
  CHECK_FALSE(m_ledger.FindExcess().has_value());
  m_ledger.Update(single, ConnectionStage::kBusy, 4'000'000);
  CHECK(m_ledger.Admits(single));
}

TEST(ConnectionLedger, a_small_request_is_refused_at_the_limit_only) {
  OpenWith(ConnectionStage::kBusy, 990'000);
  const auto small = OpenWith(ConnectionStage::kBusy, 20'000);
  CHECK_FALSE(m_ledger.Admits(small));
}

// Guards against sockets that run out by the connections to upstreams.
TEST(ConnectionLedger, a_request_counts_for_the_connections_that_it_uses) {
  ConnectionLedger ledger({16, 1'000'000, 2});
  for (int i = 0; i < 7; ++i) {
    const auto id = ledger.Open();
    ledger.Update(id, ConnectionStage::kBusy, 0);
    CHECK(ledger.HasConnectionsForBusy());
  }
  const auto first = ledger.Open();
  ledger.Open();
  CHECK_FALSE(ledger.FindExcess().has_value());
  ledger.Open();
  const auto excess = ledger.FindExcess();
  CHECK(excess.has_value());
  CHECK_EQUAL(first, excess->id);
}

// Guards against callers that get no answer while others' requests wait.
TEST(ConnectionLedger, requests_in_progress_leave_connections_for_refusals) {
  ConnectionLedger ledger({16, 1'000'000, 2});
  for (int i = 0; i < 7; ++i) {
    ledger.Update(ledger.Open(), ConnectionStage::kBusy, 0);
  }
  const auto id = ledger.Open();
  CHECK_FALSE(ledger.FindExcess().has_value());
  ledger.Update(id, ConnectionStage::kBusy, 0);
  CHECK_FALSE(ledger.HasConnectionsForBusy());
}

TEST(ConnectionLedger, requests_in_progress_can_be_ended_if_nobody_reads) {
  const auto first = OpenWith(ConnectionStage::kUnread, 100);
  const auto second = OpenWith(ConnectionStage::kUnread, 100);
  OpenWith(ConnectionStage::kBusy, 100);
  OpenWith(ConnectionStage::kBusy, 100);
  CHECK(m_ledger.HasConnectionsForBusy());
  OpenWith(ConnectionStage::kBusy, 100);
  CHECK_FALSE(m_ledger.HasConnectionsForBusy());
  CHECK_FALSE(m_ledger.FindExcess().has_value());
  CHECK_EQUAL(first, m_ledger.FindUnread()->id);
  m_ledger.Update(first, ConnectionStage::kUnread, 200);
  CHECK_EQUAL(second, m_ledger.FindUnread()->id);
  m_ledger.Close(second);
  m_ledger.Close(first);
  CHECK(m_ledger.HasConnectionsForBusy());
  CHECK_FALSE(m_ledger.FindUnread().has_value());
}

TEST(ConnectionLedger, sockets_are_kept_for_the_process_itself) {
  CHECK_EQUAL(3'413U, LimitsForProcess(0, 3'900).connections);
  CHECK_EQUAL(156U, LimitsForProcess(0, 220).connections);
  CHECK_EQUAL(10U, LimitsForProcess(0, 20).connections);
  CHECK_EQUAL(80'000'000U, LimitsForProcess(240'000'000, 0).bytes);
}

TEST(ConnectionLedger, what_is_closed_holds_nothing) {
  const auto id = OpenWith(ConnectionStage::kReceiving, 700'000);
  CHECK(m_ledger.IsTight());
  m_ledger.Close(id);
  m_ledger.Close(id);
  CHECK_FALSE(m_ledger.IsTight());
  CHECK_EQUAL(0U, m_ledger.connections());
}
