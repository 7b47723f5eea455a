#include "coppervalve/net/connection_registry.h"

#include <CppUTest/TestHarness.h>

#include <map>      // map
#include <set>      // set
#include <utility>  // exchange

using namespace coppervalve;
using namespace coppervalve::net;

namespace {

constexpr core::ConnectionLimits kLimits{3, 1'000'000};

}  // namespace

// clang-format off
TEST_GROUP(ConnectionRegistry) {
  int m_ended = 0;
  std::shared_ptr<ConnectionRegistry> m_registry =
      std::make_shared<ConnectionRegistry>(
          kLimits, [this](const ConnectionRegistry::Excess&) { ++m_ended; });
  std::map<int, std::shared_ptr<ConnectionRegistry::Entry>> m_entries;

  std::set<int> m_with_input;

  // Adds a connection that leaves when it is ended.
  void Add(int name) {
    m_entries[name] = m_registry->Add(
        [this, name](core::ConnectionLimit) { m_entries[name].reset(); },
        [this, name] { return m_with_input.count(name) != 0; });
  }
};
// clang-format on

TEST(ConnectionRegistry,
     a_connection_that_exceeds_the_bytes_may_leave_within_its_update) {
  Add(1);
  Add(2);
  m_entries[1]->Update(core::ConnectionStage::kReceiving, 500'000);
  const auto entry = m_entries[2];
  entry->Update(core::ConnectionStage::kReceiving, 600'000);
  CHECK_EQUAL(1, m_ended);
  CHECK(m_entries[2] == nullptr);
  CHECK(m_entries[1] != nullptr);
}

TEST(ConnectionRegistry, the_oldest_leaves_when_one_is_added_beyond_the_limit) {
  for (int name = 1; name <= 5; ++name) {
    Add(name);
  }
  CHECK_EQUAL(2, m_ended);
  CHECK(m_entries[1] == nullptr);
  CHECK(m_entries[2] == nullptr);
  CHECK_EQUAL(3U, m_registry->connections());
}

// Guards against a loop over a connection that does not end.
TEST(ConnectionRegistry, a_connection_that_stays_is_asked_once) {
  const auto add = [this] {
    return m_registry->Add([](core::ConnectionLimit) {}, [] { return false; });
  };
  const auto entry = add();
  for (int name = 1; name <= 3; ++name) {
    m_entries[name] = add();
  }
  CHECK_EQUAL(1, m_ended);
}

// Guards against ending connections whose requests have not been read yet.
TEST(ConnectionRegistry, one_with_unread_input_outlives_one_without) {
  for (int name = 1; name <= 3; ++name) {
    Add(name);
  }
  m_with_input = {1, 2};
  Add(4);
  CHECK_EQUAL(1, m_ended);
  CHECK(m_entries[1] != nullptr);
  CHECK(m_entries[2] != nullptr);
  CHECK(m_entries[3] == nullptr);
}

// Guards against clients that hold all connections by reading nothing.
TEST(ConnectionRegistry, a_request_takes_the_place_of_one_that_nobody_reads) {
  m_registry = std::make_shared<ConnectionRegistry>(
      core::ConnectionLimits{8, 1'000'000},
      [this](const ConnectionRegistry::Excess&) { ++m_ended; });
  for (int name = 1; name <= 8; ++name) {
    Add(name);
    m_entries[name]->Update(core::ConnectionStage::kBusy, 0);
  }
  CHECK_FALSE(m_entries[8]->FindConnections());
  m_entries[2]->Update(core::ConnectionStage::kUnread, 100);
  CHECK(m_entries[8]->FindConnections());
  CHECK_EQUAL(1, m_ended);
  CHECK(m_entries[2] == nullptr);
  CHECK(m_entries[8] != nullptr);
}

// Guards against clients that keep the limit exceeded by sending steadily.
TEST(ConnectionRegistry, the_limit_holds_if_all_have_unread_input) {
  for (int name = 1; name <= 5; ++name) {
    m_with_input.insert(name);
    Add(name);
  }
  CHECK_EQUAL(2, m_ended);
  CHECK_EQUAL(3U, m_registry->connections());
}
