#ifndef COPPERVALVE_CORE_ERROR_H_
#define COPPERVALVE_CORE_ERROR_H_

#include <cstdint>      // uint16_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::core {

/// @brief Identifies every error that coppervalve reports. The numbers are
/// stable and never reused: they appear in answers, logs and docs/ERRORS.md.
enum class ErrorId : uint16_t {
  // 1xx: the configuration file.
  kConfigSyntax = 101,
  kConfigUnknownField = 102,
  kConfigWrongType = 103,
  kConfigDuplicateId = 104,
  kConfigMissingField = 105,
  kConfigBadValue = 106,
  kConfigUnknownReference = 107,
  kConfigUnreachableRule = 108,
  kConfigPrepaidShrinks = 109,
  kConfigConflict = 110,
  kConfigTooLarge = 111,
  // 2xx: process settings.
  kSettingMissing = 201,
  kSettingBadValue = 202,
  kSettingUnknown = 203,
  kAddressUnavailable = 204,
  // 3xx: invalid requests from callers.
  kBadRequest = 301,
  kBodyTooLarge = 302,
  kHeaderTooLarge = 303,
  kMalformedJson = 304,
  kUnauthorized = 305,
  kNotFound = 306,
  kMethodNotAllowed = 307,
  kKeyReusedWithOtherBody = 308,
  kKeyRequired = 309,
  kSlowSender = 310,
  kForbidden = 311,
  // 4xx: refused before dispatch to an upstream.
  kRefusedByRule = 401,
  kNoRuleMatches = 402,
  kBudgetExhausted = 403,
  kBudgetBusy = 404,
  kRateLimited = 405,
  kQueueFull = 406,
  kDeadlineTooShort = 407,
  kQueueTimeout = 408,
  kNoUpstream = 409,
  kNotReady = 410,
  kDraining = 411,
  kConfigurationStale = 412,
  kClaimUnavailable = 413,
  kRetryBudgetSpent = 414,
  kBacklogFull = 415,
  kEndsUpstreams = 416,
  kStreamVersionUnknown = 417,
  kPromptPartEndsUpstreams = 418,
  kMemoryLimit = 419,
  // 5xx: failed after dispatch to an upstream.
  kOutcomeUnknown = 501,
  kAnswerCut = 502,
  kUpstreamFailed = 503,
  kUpstreamSilent = 504,
  kUpstreamProtocol = 505,
  kOriginGone = 506,
  kAnswerExpired = 507,
  // 6xx: platform services, the log and its contents.
  kLogUnavailable = 601,
  kLogGap = 602,
  kLogRecordInvalid = 603,
  kDigestMismatch = 604,
  kConservationBroken = 605,
  kVmListUnavailable = 606,
  kSnapshotInvalid = 607,
  kLogRecordRefused = 608,
  // 7xx: communication between routers.
  kPeerUnreachable = 701,
  kPeerProtocol = 702,
  kWitnessRefused = 703,
  kRetiredInLog = 704,
  // 8xx: operator commands.
  kOperatorUsage = 801,
  kOperatorUnreachable = 802,
  kTopUpStale = 803,
  kTopUpDuplicate = 804,
  kUnknownBudget = 805,
  kUnknownRouter = 806,
  kAuditFailed = 807,
  kNotInForce = 808,
  kOrderFenced = 809,
};

/// @brief Whether the failed request was executed by an upstream.
enum class RunState : uint8_t {
  kNotRun,   ///< not sent to any upstream, or provably without effect
  kUnknown,  ///< may have run completely or in part
  kRan,      ///< ran to completion
};

/// @return "not_run", "unknown" or "ran", the form used in answers, logs and
/// metrics
std::string_view RunStateName(RunState state);

/// @brief Static properties of an error id.
struct ErrorInfo {
  ErrorId id;
  std::string_view name;  ///< stable, lower_snake_case
  uint16_t http_status;
  RunState run_state;
};

/// @brief Looks up the static properties of an error.
/// @return the catalogue entry; every enumerator has one
/// @complexity linear in the size of the catalogue
const ErrorInfo& Describe(ErrorId id);

/// @brief An error with the object it concerns and a description.
struct Error {
  ErrorId id;
  std::string subject;  ///< e.g. path in a file, setting name or object id
  std::string detail;   ///< human-readable; programs use `id`

  friend bool operator==(const Error&, const Error&) = default;
};

/// @brief Returns the stable text form of an id, such as "CV-403".
std::string ErrorCode(ErrorId id);

/// @brief Formats code, name, subject and detail as one line for logs and
/// terminals.
std::string ToString(const Error& error);

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_ERROR_H_
