// Computes the control cost of one node at the design size from measured rates
// and costs, as multiples of the required limits.
#include "bench/capacity/measures.h"
#include "bench/capacity/sizes.h"

namespace coppervalve::bench {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kCheckpointEntries = 256;
constexpr double kKeepAlivesPerSecond = 1.0 / 3;
/// Consecutive reads of 10 ms each: in a busy fleet no read waits at the end of
/// the log.
constexpr double kReadsPerSecond = 100;
/// Lowest append rate of the log service, which takes "several hundred".
constexpr double kLogAppendsPerSecond = 300;

}  // namespace

void ReportControl(Figures& figures, const ControlInputs& inputs) {
  const auto members = static_cast<double>(kDesign.members);
  const double fleet_appends = inputs.appends_per_second * members;
  const double fleet_records = inputs.records_per_second * members;
  const double config_rate = kDesignConfigChangesPerDay / kSecondsPerDay;
  const double config_bytes = inputs.configuration_bytes * config_rate;
  const double read_bytes = inputs.append_bytes_per_second * members;
  const double heartbeat_bytes =
      inputs.heartbeats_per_second * inputs.heartbeat_bytes;

  figures.PrintUnbounded("control_fleet_appends", fleet_appends, "per_s");
  figures.PrintUnbounded("control_fleet_appends_to_log_rate",
                         fleet_appends / kLogAppendsPerSecond, "ratio");
  figures.PrintUnbounded("control_fleet_appends_idle",
                         members * kKeepAlivesPerSecond, "per_s");
  figures.PrintUnbounded("control_log_read_single_stream", read_bytes,
                         "bytes_per_s");
  figures.PrintUnbounded("control_configuration_read", config_bytes,
                         "bytes_per_s");
  figures.PrintUnbounded("control_heartbeats_sent", heartbeat_bytes,
                         "bytes_per_s");
  figures.PrintUnbounded("control_raises_sent", inputs.raise_bytes_per_second,
                         "bytes_per_s");
  figures.PrintUnbounded("control_log_written", inputs.append_bytes_per_second,
                         "bytes_per_s");
  const double bytes = read_bytes + config_bytes + 2 * heartbeat_bytes +
                       inputs.raise_bytes_per_second +
                       inputs.append_bytes_per_second;
  figures.PrintUnbounded("control_bytes_to_limit",
                         bytes / kControlBytesPerSecond, "ratio");

  const double fold_share = (fleet_appends * inputs.fold_us_per_entry +
                             fleet_records * inputs.fold_us_per_spend_record) /
                            kMicrosecondsPerSecond;
  const double checkpoint_share = fleet_appends / kCheckpointEntries *
                                  inputs.checkpoint_us / kMicrosecondsPerSecond;
  const double config_share =
      config_rate * inputs.configuration_us / kMicrosecondsPerSecond;
  figures.PrintUnbounded("control_core_share_fold_all_writers",
                         fold_share * 100, "percent");
  figures.PrintUnbounded("control_core_share_checkpoints",
                         checkpoint_share * 100, "percent");
  figures.PrintUnbounded("control_core_share_configuration", config_share * 100,
                         "percent");
  const double read_share =
      kReadsPerSecond * inputs.idle_event_us / kMicrosecondsPerSecond;
  figures.PrintUnbounded("control_core_share_reads", read_share * 100,
                         "percent");
  figures.PrintUnbounded("control_core_share_upkeep",
                         inputs.upkeep_core_share * 100, "percent");
  const double share = fold_share + checkpoint_share + config_share +
                       read_share + inputs.upkeep_core_share;
  figures.PrintUnbounded("control_core_share_all", share * 100, "percent");
  figures.PrintUnbounded("control_core_share_to_limit",
                         share / kControlCoreShare, "ratio");
  figures.PrintUnbounded("request_decisions_core_share",
                         inputs.request_core_share * 100, "percent");
}

}  // namespace coppervalve::bench
