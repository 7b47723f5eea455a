#include "coppervalve/entry/advertised_limit.h"

#include <CppUTest/TestHarness.h>

#include <cmath>     // floor, nan
#include <limits>    // numeric_limits
#include <optional>  // nullopt

#include "coppervalve/entry/limit_reports.h"
#include "coppervalve/entry/peer_loads.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(AdvertisedLimit) {
  AdvertisedLimit limit;
  LimitOptions options;
  StoreContact store;
  UpstreamDirectory one{DirectoryOptions{}};
  UpstreamDirectory other{DirectoryOptions{}};

  // Counts the requests sent in a time span, each as early as allowed.
  int Sends(const SenderPosition& position, double from, double to) {
    int sent = 0;
    for (double t = from; t < to; t += 0.01) {
      if (At(t) >= limit.NextSend(position, options)) {
        limit.OnSend(At(t));
        ++sent;
      }
    }
    return sent;
  }
  void Announce(UpstreamDirectory& directory, const UpstreamEntry& entry) {
    directory.OnRecord(RecordOf(entry));
  }
  void SendReport(UpstreamDirectory& from, UpstreamDirectory& to, double at) {
    v1::LoadReport report;
    AddLimitsToReport(from, At(at), report);
    ApplyReportedLimits(report, At(at), to);
  }
  UpstreamRef Engine(UpstreamDirectory& directory) {
    return directory.Find(core::UpstreamId("engine"));
  }
};
// clang-format on

TEST(AdvertisedLimit, all_senders_together_keep_within_a_limit) {
  for (double per_second : {0.0, 0.02, 0.4, 1.0, 2.0, 2.1, 7.5, 40.0, 1e6}) {
    for (uint32_t routers : {1U, 2U, 3U, 7U, 60U, 400U}) {
      const LimitShare share = DivideLimit(per_second, routers, options);
      CHECK(share.senders >= 1 && share.senders <= routers);
      CHECK(share.senders * share.per_second <= per_second);
      // In any four seconds, counting the request at the start of the span.
      const double each = std::floor(4 * share.per_second) + 1;
      CHECK(share.senders * each <= 1.5 * 4 * per_second + 5);
    }
  }
}

TEST(AdvertisedLimit, a_sender_accumulates_no_credit) {
  limit.OnAnswer(2, At(1), At(1));
  Sends({1, 0, true}, 1, 2);
  // After being idle for 20 s, it sends no burst.
  limit.OnAnswer(2, At(20), At(20));
  const int sent = Sends({1, 0, true}, 22, 23);
  CHECK_EQUAL(2, sent);
}

TEST(AdvertisedLimit,
     a_router_that_is_no_sender_sends_nothing_while_others_report) {
  limit.OnAnswer(2, At(1), At(1));
  for (int second = 2; second < 60; ++second) {
    limit.OnPeerReport(2, At(second));
    const int sent = Sends({7, 5, true}, second, second + 1);
    CHECK_EQUAL(0, sent);
  }
}

TEST(AdvertisedLimit, routers_without_reports_probe_in_turn) {
  int all = 0;
  for (uint32_t rank = 0; rank < 7; ++rank) {
    limit = {};
    limit.OnAnswer(0, At(1), At(1));
    all += Sends({7, rank, true}, 1, 40);
  }
  CHECK_EQUAL(7, all);
}

TEST(AdvertisedLimit, a_response_without_a_limit_ends_it) {
  limit.OnAnswer(0.2, At(1), At(2));
  // The request was sent before the limit was received.
  CHECK_FALSE(limit.OnAnswer(std::nullopt, At(1.5), At(3)));
  CHECK(limit.per_second().has_value());
  CHECK(limit.OnAnswer(std::nullopt, At(2.5), At(4)));
  CHECK_FALSE(limit.per_second().has_value());
}

TEST(AdvertisedLimit,
     an_unreadable_limit_changes_nothing_and_is_reported_once) {
  limit.OnAnswer(2, At(1), At(2));
  CHECK(limit.OnUnreadable());
  CHECK_FALSE(limit.OnUnreadable());
  DOUBLES_EQUAL(2, *limit.per_second(), 1e-9);
  limit.OnAnswer(2, At(3), At(4));
  CHECK(limit.OnUnreadable());
}

TEST(AdvertisedLimit, the_newest_report_of_any_router_applies) {
  limit.OnAnswer(2, At(1), At(5));
  CHECK_FALSE(limit.OnPeerReport(std::nullopt, At(4)));
  CHECK(limit.OnPeerReport(3, At(6)));
  CHECK(limit.OnPeerReport(std::nullopt, At(7)));
  CHECK_FALSE(limit.OnPeerReport(2, At(6.5)));
  CHECK_FALSE(limit.per_second().has_value());
}

TEST(AdvertisedLimit, routers_report_limits_and_their_end_to_each_other) {
  Announce(one, EntryOf("engine"));
  Announce(other, EntryOf("engine"));
  one.OnLimitReceived(Engine(one), 2.5, At(1), At(1));
  SendReport(one, other, 1.2);
  DOUBLES_EQUAL(2.5, *Engine(other)->limit.per_second(), 1e-9);
  one.OnLimitReceived(Engine(one), std::nullopt, At(3), At(4));
  SendReport(one, other, 4.1);
  CHECK_FALSE(Engine(other)->limit.per_second().has_value());
}

TEST(AdvertisedLimit, reported_limits_are_not_forwarded) {
  // A limit that routers forward to each other would never expire.
  Announce(one, EntryOf("engine"));
  Announce(other, EntryOf("engine"));
  one.OnLimitReceived(Engine(one), 2.5, At(1), At(1));
  SendReport(one, other, 1.2);
  v1::LoadReport report;
  AddLimitsToReport(other, At(1.3), report);
  CHECK_EQUAL(0, report.limits_size());
  report.Clear();
  AddLimitsToReport(one, At(11.5), report);
  CHECK_EQUAL(0, report.limits_size());
}

TEST(AdvertisedLimit, a_limit_outlives_the_entry_until_the_next_start) {
  // The entry of the upstream expires in the store, but its limit still
  // applies.
  store.OnAnswer(At(0));
  UpstreamEntry entry = EntryOf("engine");
  entry.start_number = 7;
  Announce(one, entry);
  one.OnLimitReceived(Engine(one), 2, At(1), At(1));
  one.OnRecord(Unreadable("engine"));
  CHECK(Engine(one) == nullptr);
  Announce(one, entry);
  CHECK(Engine(one)->limit.per_second().has_value());
  entry.start_number = 8;
  Announce(one, entry);
  CHECK_FALSE(Engine(one)->limit.per_second().has_value());
}

TEST(AdvertisedLimit, invalid_rates_of_peers_are_ignored) {
  Announce(one, EntryOf("engine"));
  for (const double rate :
       {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
    v1::LoadReport report;
    v1::UpstreamLimit* reported = report.add_limits();
    reported->set_upstream(LoadKey(core::UpstreamId("engine")));
    reported->set_per_second(rate);
    ApplyReportedLimits(report, At(1), one);
    CHECK_FALSE(Engine(one)->limit.per_second().has_value());
  }
}
