#include <algorithm>  // count_if
#include <string>     // string
#include <vector>     // vector

#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class PartitionedFleet : public Utest {
 public:
  RunningFleet run;

  // @return how many of ten requests at a router are complete
  size_t Served(size_t node, const std::string& name) {
    constexpr size_t kRequests = 10;
    std::vector<size_t> sent;
    for (size_t i = 0; i < kRequests; ++i) {
      const size_t request =
          run.fleet.AddRequest(run.Hold(name + std::to_string(i)));
      sent.push_back(run.fleet.Send(request, node));
      run.Run(milliseconds(100));
    }
    run.Run(seconds(5));
    return static_cast<size_t>(
        std::count_if(sent.begin(), sent.end(), [this](size_t attempt) {
          return run.StateOf(attempt) == ClientAttempt::State::kComplete;
        }));
  }
};

}  // namespace

TEST_GROUP_BASE(UpstreamPartition, PartitionedFleet){};

TEST_GROUP_BASE(UpstreamPartitionEnd, PartitionedFleet){};

// Guards against a router that refuses its callers because it has lost all
// upstreams, while other routers reach them.
TEST(UpstreamPartition, a_router_without_upstreams_serves_through_another) {
  run.fleet.SetPartitionedFromUpstreams(0, true);
  const size_t at_another = Served(1, "other-");
  const size_t at_this_one = Served(0, "this-");
  LONGS_EQUAL(10, at_another);
  LONGS_EQUAL(10, at_this_one);
}

// Guards against a router that is left out after the partition.
TEST(UpstreamPartitionEnd, a_router_serves_again_after_the_partition) {
  run.fleet.SetPartitionedFromUpstreams(0, true);
  Served(0, "during-");
  run.fleet.SetPartitionedFromUpstreams(0, false);
  run.Run(seconds(30));
  const size_t served = Served(0, "after-");
  LONGS_EQUAL(10, served);
}
