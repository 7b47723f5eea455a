#include "coppervalve/core/error.h"

#include <array>  // array

namespace coppervalve::core {

namespace {

constexpr RunState kNot = RunState::kNotRun;
constexpr RunState kMaybe = RunState::kUnknown;

constexpr auto kCatalogue = std::to_array<ErrorInfo>({
    {ErrorId::kConfigSyntax, "config_syntax", 400, kNot},
    {ErrorId::kConfigUnknownField, "config_unknown_field", 400, kNot},
    {ErrorId::kConfigWrongType, "config_wrong_type", 400, kNot},
    {ErrorId::kConfigDuplicateId, "config_duplicate_id", 400, kNot},
    {ErrorId::kConfigMissingField, "config_missing_field", 400, kNot},
    {ErrorId::kConfigBadValue, "config_bad_value", 400, kNot},
    {ErrorId::kConfigUnknownReference, "config_unknown_reference", 400, kNot},
    {ErrorId::kConfigUnreachableRule, "config_unreachable_rule", 400, kNot},
    {ErrorId::kConfigPrepaidShrinks, "config_prepaid_shrinks", 409, kNot},
    {ErrorId::kConfigConflict, "config_conflict", 409, kNot},
    {ErrorId::kConfigTooLarge, "config_too_large", 413, kNot},
    {ErrorId::kSettingMissing, "setting_missing", 500, kNot},
    {ErrorId::kSettingBadValue, "setting_bad_value", 500, kNot},
    {ErrorId::kSettingUnknown, "setting_unknown", 500, kNot},
    {ErrorId::kBadRequest, "bad_request", 400, kNot},
    {ErrorId::kBodyTooLarge, "body_too_large", 413, kNot},
    {ErrorId::kHeaderTooLarge, "header_too_large", 431, kNot},
    {ErrorId::kMalformedJson, "malformed_json", 400, kNot},
    {ErrorId::kUnauthorized, "unauthorized", 401, kNot},
    {ErrorId::kNotFound, "not_found", 404, kNot},
    {ErrorId::kMethodNotAllowed, "method_not_allowed", 405, kNot},
    {ErrorId::kKeyReusedWithOtherBody, "key_reused_with_other_body", 422, kNot},
    {ErrorId::kKeyRequired, "key_required", 400, kNot},
    {ErrorId::kSlowSender, "slow_sender", 408, kNot},
    {ErrorId::kForbidden, "forbidden", 403, kNot},
    {ErrorId::kRefusedByRule, "refused_by_rule", 403, kNot},
    {ErrorId::kNoRuleMatches, "no_rule_matches", 403, kNot},
    {ErrorId::kBudgetExhausted, "budget_exhausted", 402, kNot},
    {ErrorId::kBudgetBusy, "budget_busy", 503, kNot},
    {ErrorId::kRateLimited, "rate_limited", 429, kNot},
    {ErrorId::kQueueFull, "queue_full", 503, kNot},
    {ErrorId::kDeadlineTooShort, "deadline_too_short", 503, kNot},
    {ErrorId::kQueueTimeout, "queue_timeout", 503, kNot},
    {ErrorId::kNoUpstream, "no_upstream", 503, kNot},
    {ErrorId::kNotReady, "not_ready", 503, kNot},
    {ErrorId::kDraining, "draining", 503, kNot},
    {ErrorId::kConfigurationStale, "configuration_stale", 503, kNot},
    {ErrorId::kClaimUnavailable, "claim_unavailable", 503, kNot},
    {ErrorId::kRetryBudgetSpent, "retry_budget_spent", 503, kNot},
    {ErrorId::kBacklogFull, "backlog_full", 503, kNot},
    {ErrorId::kEndsUpstreams, "ends_upstreams", 503, kNot},
    {ErrorId::kOutcomeUnknown, "outcome_unknown", 502, kMaybe},
    {ErrorId::kAnswerCut, "answer_cut", 502, kMaybe},
    {ErrorId::kUpstreamFailed, "upstream_failed", 502, kMaybe},
    {ErrorId::kUpstreamSilent, "upstream_silent", 504, kMaybe},
    {ErrorId::kUpstreamProtocol, "upstream_protocol", 502, kMaybe},
    {ErrorId::kOriginGone, "origin_gone", 409, kMaybe},
    {ErrorId::kAnswerExpired, "answer_expired", 410, RunState::kRan},
    {ErrorId::kLogUnavailable, "log_unavailable", 503, kNot},
    {ErrorId::kLogGap, "log_gap", 503, kNot},
    {ErrorId::kLogRecordInvalid, "log_record_invalid", 500, kNot},
    {ErrorId::kDigestMismatch, "digest_mismatch", 500, kNot},
    {ErrorId::kConservationBroken, "conservation_broken", 500, kNot},
    {ErrorId::kVmListUnavailable, "vm_list_unavailable", 503, kNot},
    {ErrorId::kSnapshotInvalid, "snapshot_invalid", 500, kNot},
    {ErrorId::kPeerUnreachable, "peer_unreachable", 503, kMaybe},
    {ErrorId::kPeerProtocol, "peer_protocol", 502, kMaybe},
    {ErrorId::kWitnessRefused, "witness_refused", 503, kNot},
    {ErrorId::kRetiredInLog, "retired_in_log", 503, kNot},
    {ErrorId::kOperatorUsage, "operator_usage", 400, kNot},
    {ErrorId::kOperatorUnreachable, "operator_unreachable", 503, kNot},
    {ErrorId::kTopUpStale, "top_up_stale", 409, kNot},
    {ErrorId::kTopUpDuplicate, "top_up_duplicate", 409, kNot},
    {ErrorId::kUnknownBudget, "unknown_budget", 404, kNot},
    {ErrorId::kUnknownRouter, "unknown_router", 404, kNot},
    {ErrorId::kAuditFailed, "audit_failed", 500, kNot},
    {ErrorId::kNotInForce, "not_in_force", 504, kNot},
    {ErrorId::kOrderFenced, "order_fenced", 409, kNot},
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
