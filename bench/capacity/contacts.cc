// Measures the graph of heartbeat contacts that the members' views converge to,
// and the size of a heartbeat.
#include <algorithm>  // max
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string, to_string
#include <vector>     // vector

#include "bench/capacity/allocations.h"
#include "bench/capacity/fleet_records.h"
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"
#include "coppervalve/membership/peer_view.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::bench {

namespace {

using membership::Member;
using membership::MemberId;
using membership::PeerView;

constexpr int kRounds = 3;
constexpr size_t kFullSpares = 128;
constexpr size_t kFullDemands = 32;
constexpr int64_t kSpareTokens = 1'000'000;
constexpr uint32_t kDemand = 10'000;
constexpr double kNanosecondsPerMicrosecond = 1e3;

std::vector<Member> MembersOf(size_t count) {
  std::vector<Member> members(count);
  for (size_t i = 0; i < count; ++i) {
    members[i].id = {RouterOf(i), IncarnationOf(i)};
    members[i].failure_domain = FailureDomainOf(i);
  }
  return members;
}

struct Graph {
  uint64_t messages = 0;  ///< in the last round
  size_t most_sent = 0;
  size_t most_received = 0;
  double choose_us = 0;  ///< PeersToContact, after convergence
};

Graph Converge(size_t count) {
  const std::vector<Member> members = MembersOf(count);
  std::map<MemberId, size_t> index;
  std::vector<std::unique_ptr<PeerView>> views;
  for (size_t i = 0; i < count; ++i) {
    index.emplace(members[i].id, i);
    views.push_back(std::make_unique<PeerView>(members[i]));
    views.back()->SetMembers(members);
  }
  Graph graph;
  core::TimePoint now{};
  const v1::Heartbeat heartbeat;
  for (int round = 0; round < kRounds; ++round) {
    now += std::chrono::seconds(1);
    graph = {};
    std::vector<size_t> received(count);
    for (const auto& view : views) {
      const int64_t start = ThreadCpuNanoseconds();
      const std::vector<MemberId> contacts = view->PeersToContact(now);
      graph.choose_us += static_cast<double>(ThreadCpuNanoseconds() - start) /
                         kNanosecondsPerMicrosecond /
                         static_cast<double>(count);
      graph.messages += contacts.size();
      graph.most_sent = std::max(graph.most_sent, contacts.size());
      for (const MemberId& contact : contacts) {
        const size_t to = index.at(contact);
        graph.most_received = std::max(graph.most_received, ++received[to]);
        views[to]->OnHeartbeat(now, view->self().id, heartbeat);
      }
    }
  }
  return graph;
}

v1::PeerMessage FullHeartbeat(const PeerView& view) {
  v1::PeerMessage message;
  message.set_from_router(RouterOf(0).value());
  message.set_from_incarnation(IncarnationOf(0).value());
  message.set_to_incarnation(IncarnationOf(1).value());
  v1::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_next_offset(1'000'000);
  heartbeat.set_log_age_ms(100);
  heartbeat.set_config_version(10'000);
  heartbeat.set_in_progress(1'000);
  for (size_t i = 0; i < kFullSpares; ++i) {
    v1::Spare& spare = *heartbeat.add_spares();
    spare.set_budget(NumberedId("budget", i));
    spare.set_tokens(kSpareTokens);
  }
  for (size_t i = 0; i < kFullDemands; ++i) {
    v1::AccountDemand& demand = *heartbeat.add_demands();
    demand.set_account(NumberedId("account", i));
    demand.set_requests_per_1000_s(kDemand);
  }
  view.Bound(heartbeat);
  return message;
}

}  // namespace

void MeasureContacts(Figures& figures, ControlInputs& inputs) {
  for (const size_t members : kMemberSteps) {
    const Graph graph = Converge(members);
    const std::string suffix = "_members_" + std::to_string(members);
    const double mean =
        static_cast<double>(graph.messages) / static_cast<double>(members);
    figures.CheckAtMost("heartbeats_sent_per_router" + suffix, mean, "per_s",
                        16);
    figures.CheckAtMost("heartbeats_sent_most" + suffix,
                        static_cast<double>(graph.most_sent), "per_s", 24);
    figures.CheckAtMost("heartbeats_received_most" + suffix,
                        static_cast<double>(graph.most_received), "per_s", 30);
    figures.PrintUnbounded("heartbeat_choose_cpu" + suffix, graph.choose_us,
                           "us");
    inputs.heartbeats_per_second = mean;
  }
  const PeerView view(MembersOf(1).front());
  const v1::PeerMessage full = FullHeartbeat(view);
  v1::PeerMessage plain = full;
  plain.mutable_heartbeat()->clear_spares();
  plain.mutable_heartbeat()->clear_demands();
  inputs.heartbeat_bytes = static_cast<double>(full.ByteSizeLong());
  figures.CheckAtMost("heartbeat_size_full", inputs.heartbeat_bytes, "bytes",
                      1'200);
  figures.CheckAtMost("heartbeat_size_plain",
                      static_cast<double>(plain.ByteSizeLong()), "bytes", 80);
  figures.CheckAtMost("heartbeat_spares_that_fit",
                      full.heartbeat().spares_size(), "count",
                      static_cast<double>(kFullSpares));
}

}  // namespace coppervalve::bench
