#ifndef COPPERVALVE_TESTS_GATEWAY_PARTITION_FIXTURE_H_
#define COPPERVALVE_TESTS_GATEWAY_PARTITION_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <chrono>      // milliseconds
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string
#include <vector>      // vector

#include "gateway_fixture.h"

namespace coppervalve::gateway::testing {

/// @brief A router that can be partitioned from upstreams, and other routers.
class PartitionFixture : public Utest {
 public:
  Router router;
  std::unique_ptr<Gateway> peer;
  std::vector<ScriptedUpstream*> upstreams;
  /// Where the router's new connections end instead of at the upstreams; empty:
  /// nowhere else.
  std::string partitioned_to;
  std::string peer_partitioned_to;  ///< the same for the other router
  /// The upstreams' addresses to which the partition applies.
  std::function<bool(const std::string& address)> is_partitioned =
      [](const std::string&) { return true; };
  int dialed = 0;  ///< connections that the router opened itself
  int peer_dialed = 0;

  void AddUpstreams(const std::string& service, int count) {
    for (int i = 0; i < count; ++i) {
      ScriptedUpstream& upstream =
          router.AddUpstream(service + "-" + std::to_string(i), service);
      upstream.Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(Signed(request, "done"));
      });
      upstreams.push_back(&upstream);
    }
  }

  void Start() {
    router.settings.load_address = FreeAddress();
    router.settings.upstream_address = [this](const std::string& address) {
      ++dialed;
      return partitioned_to.empty() || !is_partitioned(address)
                 ? address
                 : partitioned_to;
    };
    router.Start();
    router.settings.upstream_address = [this](const std::string& address) {
      ++peer_dialed;
      return peer_partitioned_to.empty() ? address : peer_partitioned_to;
    };
    peer = router.StartPeer("router-2");
  }

  void Partition() { partitioned_to = FreeAddress(); }

  // Breaks off each request when it reaches an upstream, as a partition does
  // that begins then.
  void PartitionDuringRequests(bool peer_too) {
    for (ScriptedUpstream* upstream : upstreams) {
      upstream->Answer(
          [this, peer_too](const StreamRef& stream, const std::string&) {
            Partition();
            if (peer_too) {
              peer_partitioned_to = partitioned_to;
            }
            stream->Abort();
          });
    }
  }

  size_t Requests() const {
    size_t count = 0;
    for (const ScriptedUpstream* upstream : upstreams) {
      count += upstream->requests.size();
    }
    return count;
  }

  // @return crashes that the router's heartbeat blames on requests
  int ReportedCrashes() {
    router.io.run_for(std::chrono::milliseconds(1'500));
    v1::RouterBeat beat;
    beat.ParseFromString(router.store.Newest("routers", "router-1"));
    return beat.crashes_size();
  }

  int Served(const std::string& path, int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string answer = router.SendRequest(path + std::to_string(i));
      served += Has(answer, "HTTP/1.1 200") && Has(answer, "done") ? 1 : 0;
    }
    return served;
  }

  // Sends all requests before the first is answered.
  int ServedAtOnce(const std::string& path, int count) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(router.Caller());
      const std::string number = std::to_string(i);
      callers.back()->Send(
          Router::RequestText(path + number, {}, "r-" + number));
    }
    int served = 0;
    router.Until([&] {
      served = 0;
      int refused = 0;
      for (const auto& caller : callers) {
        served += Has(caller->received, "done") ? 1 : 0;
        refused += Has(caller->received, "Refused") ? 1 : 0;
      }
      return served + refused == count;
    });
    return served;
  }
};

}  // namespace coppervalve::gateway::testing

#endif  // COPPERVALVE_TESTS_GATEWAY_PARTITION_FIXTURE_H_
