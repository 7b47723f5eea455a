#include "coppervalve/core/error.h"

#include <array>  // array

namespace coppervalve::core {

namespace {

constexpr RunState kNotRun = RunState::kNotRun;
constexpr RunState kUnknown = RunState::kUnknown;

constexpr auto kCatalogue = std::to_array<ErrorInfo>({
    {ErrorId::kConfigSyntax, "config_syntax", 400, kNotRun},
    {ErrorId::kConfigUnknownField, "config_unknown_field", 400, kNotRun},
    {ErrorId::kConfigWrongType, "config_wrong_type", 400, kNotRun},
    {ErrorId::kConfigDuplicateId, "config_duplicate_id", 400, kNotRun},
    {ErrorId::kConfigMissingField, "config_missing_field", 400, kNotRun},
    {ErrorId::kConfigBadValue, "config_bad_value", 400, kNotRun},
    {ErrorId::kConfigUnknownReference, "config_unknown_reference", 400,
     kNotRun},
    {ErrorId::kConfigUnreachableRule, "config_unreachable_rule", 400, kNotRun},
    {ErrorId::kConfigPrepaidShrinks, "config_prepaid_shrinks", 409, kNotRun},
    {ErrorId::kConfigConflict, "config_conflict", 409, kNotRun},
    {ErrorId::kConfigTooLarge, "config_too_large", 413, kNotRun},
    {ErrorId::kSettingMissing, "setting_missing", 500, kNotRun},
    {ErrorId::kSettingBadValue, "setting_bad_value", 500, kNotRun},
    {ErrorId::kSettingUnknown, "setting_unknown", 500, kNotRun},
    {ErrorId::kAddressUnavailable, "address_unavailable", 503, kNotRun},
    {ErrorId::kBadRequest, "bad_request", 400, kNotRun},
    {ErrorId::kBodyTooLarge, "body_too_large", 413, kNotRun},
    {ErrorId::kHeaderTooLarge, "header_too_large", 431, kNotRun},
    {ErrorId::kMalformedJson, "malformed_json", 400, kNotRun},
    {ErrorId::kUnauthorized, "unauthorized", 401, kNotRun},
    {ErrorId::kNotFound, "not_found", 404, kNotRun},
    {ErrorId::kMethodNotAllowed, "method_not_allowed", 405, kNotRun},
    {ErrorId::kKeyReusedWithOtherBody, "key_reused_with_other_body", 422,
     kNotRun},
    {ErrorId::kKeyRequired, "key_required", 400, kNotRun},
    {ErrorId::kSlowSender, "slow_sender", 408, kNotRun},
    {ErrorId::kForbidden, "forbidden", 403, kNotRun},
    {ErrorId::kRefusedByRule, "refused_by_rule", 403, kNotRun},
    {ErrorId::kNoRuleMatches, "no_rule_matches", 403, kNotRun},
    {ErrorId::kBudgetExhausted, "budget_exhausted", 402, kNotRun},
    {ErrorId::kBudgetBusy, "budget_busy", 503, kNotRun},
    {ErrorId::kRateLimited, "rate_limited", 429, kNotRun},
    {ErrorId::kQueueFull, "queue_full", 503, kNotRun},
    {ErrorId::kDeadlineTooShort, "deadline_too_short", 503, kNotRun},
    {ErrorId::kQueueTimeout, "queue_timeout", 503, kNotRun},
    {ErrorId::kNoUpstream, "no_upstream", 503, kNotRun},
    {ErrorId::kNotReady, "not_ready", 503, kNotRun},
    {ErrorId::kDraining, "draining", 503, kNotRun},
    {ErrorId::kConfigurationStale, "configuration_stale", 503, kNotRun},
    {ErrorId::kClaimUnavailable, "claim_unavailable", 503, kNotRun},
    {ErrorId::kRetryBudgetSpent, "retry_budget_spent", 503, kNotRun},
    {ErrorId::kBacklogFull, "backlog_full", 503, kNotRun},
    {ErrorId::kEndsUpstreams, "ends_upstreams", 503, kNotRun},
    {ErrorId::kStreamVersionUnknown, "stream_version_unknown", 503, kNotRun},
    {ErrorId::kPromptPartEndsUpstreams, "prompt_part_ends_upstreams", 503,
     kNotRun},
    {ErrorId::kMemoryLimit, "memory_limit", 503, kNotRun},
    {ErrorId::kOutcomeUnknown, "outcome_unknown", 502, kUnknown},
    {ErrorId::kAnswerCut, "answer_cut", 502, kUnknown},
    {ErrorId::kUpstreamFailed, "upstream_failed", 502, kUnknown},
    {ErrorId::kUpstreamSilent, "upstream_silent", 504, kUnknown},
    {ErrorId::kUpstreamProtocol, "upstream_protocol", 502, kUnknown},
    {ErrorId::kOriginGone, "origin_gone", 409, kUnknown},
    {ErrorId::kAnswerExpired, "answer_expired", 410, RunState::kRan},
    {ErrorId::kLogUnavailable, "log_unavailable", 503, kNotRun},
    {ErrorId::kLogGap, "log_gap", 503, kNotRun},
    {ErrorId::kLogRecordInvalid, "log_record_invalid", 500, kNotRun},
    {ErrorId::kDigestMismatch, "digest_mismatch", 500, kNotRun},
    {ErrorId::kConservationBroken, "conservation_broken", 500, kNotRun},
    {ErrorId::kVmListUnavailable, "vm_list_unavailable", 503, kNotRun},
    {ErrorId::kSnapshotInvalid, "snapshot_invalid", 500, kNotRun},
    {ErrorId::kLogRecordRefused, "log_record_refused", 500, kNotRun},
    {ErrorId::kPeerUnreachable, "peer_unreachable", 503, kUnknown},
    {ErrorId::kPeerProtocol, "peer_protocol", 502, kUnknown},
    {ErrorId::kWitnessRefused, "witness_refused", 503, kNotRun},
    {ErrorId::kRetiredInLog, "retired_in_log", 503, kNotRun},
    {ErrorId::kOperatorUsage, "operator_usage", 400, kNotRun},
    {ErrorId::kOperatorUnreachable, "operator_unreachable", 503, kNotRun},
    {ErrorId::kTopUpStale, "top_up_stale", 409, kNotRun},
    {ErrorId::kTopUpDuplicate, "top_up_duplicate", 409, kNotRun},
    {ErrorId::kUnknownBudget, "unknown_budget", 404, kNotRun},
    {ErrorId::kUnknownRouter, "unknown_router", 404, kNotRun},
    {ErrorId::kAuditFailed, "audit_failed", 500, kNotRun},
    {ErrorId::kNotInForce, "not_in_force", 504, kNotRun},
    {ErrorId::kOrderFenced, "order_fenced", 409, kNotRun},
});

}  // namespace

const ErrorInfo& Describe(ErrorId id) {
  for (const ErrorInfo& info : kCatalogue) {
    if (info.id == id) {
      return info;
    }
  }
  return kCatalogue.front();
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      break;
  }
  return "unknown";
}

std::string ErrorCode(ErrorId id) {
  return "CV-" + std::to_string(static_cast<unsigned>(id));
}

std::string ToString(const Error& error) {
  std::string line = ErrorCode(error.id);
  line += ' ';
  line += Describe(error.id).name;
  if (!error.subject.empty()) {
    line += " at ";
    line += error.subject;
  }
  if (!error.detail.empty()) {
    line += ": ";
    line += error.detail;
  }
  return line;
}

}  // namespace coppervalve::core
