// Records that operators publish: the configuration and evacuations of failure
// domains.
#include <algorithm>  // max
#include <set>        // set
#include <utility>    // move

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

void Gateway::OnOperatorRecord(const KeyedRecord& record) {
  if (record.key == m_settings.layout.configuration_key) {
    if (!record.value.empty()) {
      ApplyConfiguration(record.value);
    }
    return;
  }
  const std::optional<core::FailureDomainId> domain = ReadEvacuation(record);
  if (!domain) {
    return;
  }
  const auto change =
      m_gate.evacuations().OnRecord(*domain, !record.value.empty());
  if (change) {
    LogEvacuationChange(*change);
  }
}

void Gateway::OnNewestOperatorRecords(const std::vector<KeyedRecord>& records) {
  std::set<core::FailureDomainId> evacuated;
  for (const KeyedRecord& record : records) {
    if (record.value.empty()) {
      continue;
    }
    if (record.key == m_settings.layout.configuration_key) {
      ApplyConfiguration(record.value);
      continue;
    }
    if (const auto domain = ReadEvacuation(record)) {
      evacuated.insert(*domain);
    }
  }
  for (const auto& change : m_gate.evacuations().ReplaceAll(evacuated)) {
    LogEvacuationChange(change);
  }
}

void Gateway::ApplyConfiguration(const std::string& document) {
  core::Result<entry::Configuration> read =
      m_adapter.read_configuration(document);
  if (!core::IsOk(read)) {
    LogLifecycle(LogLine("configuration_unreadable")
                     .Text("why", core::ToString(core::Failure(read))));
    return;
  }
  const core::ConfigVersion version = core::Value(read).version;
  // A late or repeated record must not restore an older configuration.
  if (m_in_force && version <= m_in_force->version()) {
    return;
  }
  const bool first = m_in_force == nullptr;
  m_configuration_bytes = document.size();
  m_in_force = std::make_shared<const entry::ConfigurationIndex>(
      core::TakeValue(std::move(read)));
  m_book.OnConfiguration(m_in_force->configuration());
  m_gate.OnConfiguration(m_in_force->configuration());
  LogLifecycle(
      LogLine("configuration_in_force")
          .Number("version", static_cast<int64_t>(version.value()))
          .Number("routes", static_cast<int64_t>(
                                m_in_force->configuration().routes.size()))
          .Millis("read_ms", net::BootNow() - m_configuration->call().began));
  // Account totals may have grown; after the first configuration, the heartbeat
  // makes the first claims. Standbys claim when a request needs it: one more
  // write of each of them would keep the store busy for seconds.
  if (first || m_members.SelfActive()) {
    m_heartbeat_writer->ExpediteSpread();
  }
}

// Only the key matters; the content of the record may change.
std::optional<core::FailureDomainId> Gateway::ReadEvacuation(
    const KeyedRecord& record) {
  const auto read =
      entry::EvacuatedDomain(m_settings.layout.evacuation_prefix, record.key);
  if (!read) {
    return std::nullopt;
  }
  if (!core::IsOk(*read)) {
    LogLifecycle(LogLine("evacuation_unreadable")
                     .Text("key", record.key)
                     .Text("why", core::ToString(core::Failure(*read))));
    return std::nullopt;
  }
  return core::Value(*read);
}

// Records carry no timestamp. The record was written after the previous reply
// of the store, which bounds its age.
void Gateway::LogEvacuationChange(const entry::EvacuationChange& change) {
  if (!change.evacuated) {
    m_directory.OnEvacuationEnded(change.domain, net::BootNow());
  }
  const core::Duration within = m_config_contact.SilentFor(net::BootNow());
  const bool began_before_start = within == core::Duration::max();
  if (change.evacuated && !began_before_start) {
    m_evacuation_known_within = std::max(m_evacuation_known_within, within);
  }
  LogLine line = change.evacuated ? LogLine("failure_domain_evacuated")
                                  : LogLine("failure_domain_taken_back");
  line.Text("failure_domain", change.domain.value());
  if (!began_before_start) {
    line.Millis("known_within_ms", within);
  }
  LogLifecycle(std::move(line));
}

}  // namespace coppervalve::gateway
