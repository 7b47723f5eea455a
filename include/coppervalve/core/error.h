#ifndef COPPERVALVE_CORE_ERROR_H_
#define COPPERVALVE_CORE_ERROR_H_

#include <cstdint>      // uint16_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::core {

/// @brief Every failure the project reports. The numbers are stable: they
/// appear in answers, logs and docs/ERRORS.md and are never reused.
enum class ErrorId : uint16_t {
  // 1xx: the operators' file.
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
  // 2xx: settings of a process.
  kSettingMissing = 201,
  kSettingBadValue = 202,
  kSettingUnknown = 203,
  // 3xx: what a caller sent.
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
  // 4xx: refused before the work ran.
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
  // 5xx: after dispatch.
  kOutcomeUnknown = 501,
  kAnswerCut = 502,
  kUpstreamFailed = 503,
  kUpstreamSilent = 504,
  kUpstreamProtocol = 505,
  kOriginGone = 506,
  kAnswerExpired = 507,
  // 6xx: the platform.
  kLogUnavailable = 601,
  kLogGap = 602,
  kLogRecordInvalid = 603,
  kDigestMismatch = 604,
  kConservationBroken = 605,
  kVmListUnavailable = 606,
  kSnapshotInvalid = 607,
  // 7xx: between routers.
  kPeerUnreachable = 701,
  kPeerProtocol = 702,
  kWitnessRefused = 703,
  kRetiredInLog = 704,
  // 8xx: operators' commands.
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

/// @brief Whether the request that an error answers ran at an upstream.
enum class RunState : uint8_t {
  kNotRun,   ///< nothing was given to any upstream, or provably had no effect
  kUnknown,  ///< it may have run, wholly or in part
  kRan,      ///< it ran to its end
};

/// @return "not_run", "unknown" or "ran", as answers, logs and metrics say it
std::string_view RunStateName(RunState state);

/// @brief Fixed facts about an error id.
struct ErrorInfo {
  ErrorId id;
  std::string_view name;  ///< stable, lower_snake_case
  uint16_t http_status;
  RunState run_state;
};

/// @brief Looks up the fixed facts about an error.
/// @return the entry of the catalogue; every enumerator has one
/// @complexity linear in the size of the catalogue
const ErrorInfo& Describe(ErrorId id);

/// @brief A typed failure: which one, of what, and the particulars.
struct Error {
  ErrorId id;
  std::string subject;  ///< path in a file, name of a setting, id of a thing
  std::string detail;   ///< for people; programs read `id`

  friend bool operator==(const Error&, const Error&) = default;
};

/// @brief The stable text form of an id, "CV-403".
std::string ErrorCode(ErrorId id);

/// @brief One line for logs and terminals: code, name, subject and detail.
std::string ToString(const Error& error);

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_ERROR_H_
