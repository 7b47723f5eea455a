#include "coppervalve/gateway/topic_follower.h"

#include <CppUTest/TestHarness.h>

#include <functional>  // function
#include <memory>      // make_shared
#include <string>      // string, to_string
#include <utility>     // move
#include <vector>      // vector

#include "fake_store.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(TopicFollower) {
  boost::asio::io_context io;
  FakeStore store{io};
  KeyedStore calls = store.Calls();
  std::vector<std::string> read;
  uint64_t next = 0;
  std::shared_ptr<TopicFollower> follower;

  TopicFollower::Hooks ReadingHooks() {
    TopicFollower::Hooks hooks;
    hooks.on_newest = [this](const std::vector<KeyedRecord>& records) {
      for (const KeyedRecord& record : records) {
        read.push_back(record.value);
      }
    };
    hooks.on_record = [this](const KeyedRecord& record) {
      read.push_back(record.value);
    };
    hooks.on_read = [this](const entry::ReadProgress& progress) {
      next = progress.next;
    };
    hooks.on_end = hooks.on_read;
    hooks.on_failure = [](const core::Error&, const StoreCall&) {};
    return hooks;
  }
  void Follow(const entry::ReadPlanOptions& plan) {
    Follow(plan, ReadingHooks());
  }
  void Follow(const entry::ReadPlanOptions& plan, TopicFollower::Hooks hooks) {
    follower = std::make_shared<TopicFollower>(
        io, FollowerOptions{"config", plan}, calls, [] { return uint64_t{7}; },
        std::move(hooks));
    follower->Start();
    Until([this] { return store.waiting_readers() == 1; });
  }
  void Until(const std::function<bool()>& condition) {
    constexpr int kMostSteps = 10'000;
    for (int i = 0; i < kMostSteps && !condition(); ++i) {
      // run_one() returns whenever the follower waits for the store.
      io.restart();
      io.run_one();
    }
    CHECK(condition());
  }
  void PutVersions(int first, int last) {
    for (int i = first; i <= last; ++i) {
      store.Put("config", "config", std::to_string(i));
    }
  }
};
// clang-format on

TEST(TopicFollower, of_versions_in_one_batch_only_the_newest_is_delivered) {
  // Failure: a small VM parses eighteen large configurations one after the
  // other and serves requests by the oldest one meanwhile.
  store.Put("config", "config", "1");
  Follow(entry::ConfigurationPlan());
  store.Put("config", "config", "2");
  Until([this] { return next == 2; });
  PutVersions(3, 18);
  Until([this] { return next == 18; });
  CHECK((std::vector<std::string>{"1", "2", "18"}) == read);
}

TEST(TopicFollower, skips_to_the_newest_when_a_read_cannot_hold_all_records) {
  store.Put("config", "config", "1");
  entry::ReadPlanOptions plan = entry::ConfigurationPlan();
  plan.max_bytes = 10;
  Follow(plan);
  store.Put("config", "config", "2");
  Until([this] { return next == 2; });
  PutVersions(3, 18);
  Until([this] { return next == 18; });
  STRCMP_EQUAL("18", read.back().c_str());
  CHECK(read.size() <= 4);
}

TEST(TopicFollower, all_heartbeats_are_delivered_in_order) {
  Follow(entry::HeartbeatPlan());
  store.Put("config", "a", "1");
  Until([this] { return next == 1; });
  store.Put("config", "a", "2");
  store.Put("config", "a", "3");
  Until([this] { return next == 3; });
  CHECK((std::vector<std::string>{"1", "2", "3"}) == read);
}

TEST(TopicFollower, a_topic_that_is_not_needed_is_not_read) {
  // Failure: hundreds of routers read a table that only a few of them need.
  bool needed = true;
  int stops = 0;
  TopicFollower::Hooks hooks = ReadingHooks();
  hooks.needed = [&] { return needed; };
  hooks.on_stopped = [&] { ++stops; };
  store.Put("config", "config", "1");
  Follow(entry::UpstreamPlan(), hooks);
  needed = false;
  store.Put("config", "config", "2");
  Until([&] { return stops == 1; });
  store.Put("config", "config", "3");
  CHECK_EQUAL(0, store.waiting_readers());
  needed = true;
  follower->Resume();
  Until([this] { return store.waiting_readers() == 1; });
  CHECK((std::vector<std::string>{"1", "2", "3"}) == read);
}

TEST(TopicFollower, a_reader_of_many_polls_before_it_reads) {
  // Failure: each new configuration wakes a thousand routers at once, and the
  // store sends it to most of them too late.
  TopicFollower::Hooks hooks = ReadingHooks();
  bool behind = false;
  size_t spread_bytes = 0;
  hooks.spread = [&](size_t bytes) {
    spread_bytes = bytes;
    return core::Duration(300'000);
  };
  hooks.on_read = [&](const entry::ReadProgress& progress) {
    next = progress.next;
    behind = behind || progress.next < progress.end;
  };
  hooks.on_end = hooks.on_read;
  store.Put("config", "config", "1");
  follower = std::make_shared<TopicFollower>(
      io, FollowerOptions{"config", entry::ConfigurationPlan()}, calls,
      [] { return uint64_t{7}; }, std::move(hooks));
  follower->Start();
  Until([this] { return next == 1; });
  CHECK_EQUAL(1, spread_bytes);
  PutVersions(2, 9);
  Until([this] { return next == 9; });
  CHECK(behind);
  CHECK((std::vector<std::string>{"1", "9"}) == read);
  CHECK_EQUAL(0, store.waiting_readers());
}
