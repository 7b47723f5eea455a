#ifndef COPPERVALVE_ROUTER_EVENTS_H_
#define COPPERVALVE_ROUTER_EVENTS_H_

#include <cstdint>   // uint32_t
#include <optional>  // optional
#include <string>    // string
#include <utility>   // pair
#include <variant>   // variant
#include <vector>    // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/orders/send_outcome.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

/// The narrow interface between the decision core and its shell: the shell
/// feeds events with the time they happened, the core answers with actions.
namespace coppervalve::router {

// ---- Events ----------------------------------------------------------------

/// @brief What a caller wants; the body itself stays in the shell.
struct RequestArrived {
  core::RequestId request;  ///< chosen by the shell, unique per incarnation
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;  ///< names lowered
  std::string api_key;  ///< as sent; empty when forwarded by a peer
  core::Hash128 body_hash;
  core::Bytes body_size;
  std::string model;               ///< model work only
  core::ServiceId service;         ///< plain services only
  core::Tokens max_output_tokens;  ///< asked for; 0 = not given
  bool stream = false;
  std::string prompt_prefix;    ///< first bytes of the prompt, for affinity
  std::string idempotency_key;  ///< empty when not given
  std::optional<core::TimePoint> deadline;
  /// Set when a peer forwarded it: the account that the peer authenticated.
  std::optional<core::AccountId> forwarded_account;
};

/// @brief A caller asks where to connect (GET /v1/addresses).
struct AddressesAsked {
  core::RequestId request;
  std::string api_key;
};

/// @brief A caller asks what became of a request (GET /v1/requests/{key}).
struct StatusAsked {
  core::RequestId request;
  std::string api_key;
  std::string idempotency_key;
  std::optional<core::AccountId> forwarded_account;
};

/// @brief An operator asks for this router's state (GET /admin/status).
struct OperatorStatusAsked {
  core::RequestId request;
};

/// @brief The attempt failed before its first byte was given to the kernel.
struct AttemptNotSent {
  core::RequestId request;
  core::AttemptId attempt;
  core::Error error;
};

/// @brief What an upstream reports of its load beside an answer; lags.
struct UpstreamLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// @brief The upstream answered that it did not take the work (429 or 503
/// marked as not run).
struct AttemptDeclined {
  core::RequestId request;
  core::AttemptId attempt;
  uint32_t http_status = 0;
  std::optional<core::Duration> retry_after;
  std::optional<UpstreamLoad> load;
};

struct AttemptFirstToken {
  core::RequestId request;
  core::AttemptId attempt;
};

/// @brief Token usage as the engine reports it.
struct Usage {
  core::Tokens prompt;
  core::Tokens output;
};

/// @brief The answer came to its proper end.
struct AttemptDone {
  core::RequestId request;
  core::AttemptId attempt;
  uint32_t http_status = 200;
  std::optional<Usage> usage;  ///< absent for plain services
  core::Bytes answer_size;     ///< kept by the shell for later callers
  std::optional<UpstreamLoad> load;
};

/// @brief The attempt ended without a whole answer after bytes were sent.
struct AttemptFailed {
  core::RequestId request;
  core::AttemptId attempt;
  core::Error error;  ///< kUpstreamFailed, kUpstreamSilent, kAnswerCut, ...
  bool forwarded_bytes = false;  ///< the caller has part of the answer
  core::Tokens output_seen;      ///< tokens that passed through
};

/// @brief The caller closed its connection, or its joined wait.
struct CallerGone {
  core::RequestId request;
};

/// @brief A forward to a peer ended; the shell relayed whatever came.
struct ForwardEnded {
  core::RequestId request;
  bool answered = false;  ///< the peer's whole answer was relayed
  bool sent = false;     ///< bytes reached the kernel: the peer may have run it
  bool relayed = false;  ///< the caller may have part of an answer
};

struct LogRead {
  v1::ReadReply reply;
};
struct LogReadFailed {
  core::Error error;
};
struct LogAppended {
  core::LogOffset offset;
};
/// @brief The append may or may not have taken effect.
struct LogAppendFailed {
  core::Error error;
};

struct VmListRead {
  v1::VmList vms;
};

struct PeerReceived {
  v1::PeerMessage message;
};
struct PeerSendFailed {
  core::RouterId router;
};

/// @brief A probe that the core asked for ended.
struct ProbeEnded {
  core::UpstreamId upstream;
  bool healthy = false;
  std::optional<UpstreamLoad> load;
};

/// @brief An order that the core asked for ended.
struct OrderSent {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  orders::SendOutcome outcome = orders::SendOutcome::kUnknown;
};

/// @brief SIGTERM or an operator's drain. A second one changes nothing.
struct DrainAsked {};

/// @brief Sent by the shell at least every 50 ms.
struct Tick {};

using Event = std::variant<RequestArrived,
                           AddressesAsked,
                           StatusAsked,
                           OperatorStatusAsked,
                           AttemptNotSent,
                           AttemptDeclined,
                           AttemptFirstToken,
                           AttemptDone,
                           AttemptFailed,
                           CallerGone,
                           ForwardEnded,
                           LogRead,
                           LogReadFailed,
                           LogAppended,
                           LogAppendFailed,
                           VmListRead,
                           PeerReceived,
                           PeerSendFailed,
                           ProbeEnded,
                           OrderSent,
                           DrainAsked,
                           Tick>;

// ---- Actions ---------------------------------------------------------------

/// @brief Send the request's body to an upstream. The first byte given to the
/// kernel is the point of no return.
struct Dispatch {
  core::RequestId request;
  core::AttemptId attempt;
  core::UpstreamId upstream;
  std::string address;  ///< "ip:port"
  bool model_work = false;
  core::AccountId account;
  core::Tokens max_output_tokens;  ///< to be written into the body
  uint32_t priority = 0;           ///< 0 is the most urgent
  core::Duration first_token_timeout{};
  core::Duration inter_token_timeout{};
};

/// @brief The final answer of a request that failed or was refused. When part
/// of the answer is with the caller already, the shell ends the stream with an
/// error event, never with a proper end.
struct Refuse {
  core::RequestId request;
  core::Error error;
  core::RunState run_state = core::RunState::kNotRun;
  std::optional<core::Duration> retry_after;
};

/// @brief Hand the caller the answer (kept, or still arriving) of `leader`.
struct JoinAnswer {
  core::RequestId request;
  core::RequestId leader;
};

/// @brief The answer kept for a finished request is no longer needed.
struct ForgetAnswer {
  core::RequestId request;
};

/// @brief Relay the request to a peer router and its answer back.
struct Forward {
  core::RequestId request;
  core::RouterId router;
  core::Incarnation incarnation;
  std::string address;  ///< the peer's caller-facing work port for routers
  core::AccountId account;
};

/// @brief The answer is of no use any more.
struct CancelAttempt {
  core::RequestId request;
  core::AttemptId attempt;  ///< 0: the forward to a peer
};

/// @brief Answer with a JSON document.
struct ReplyJson {
  core::RequestId request;
  uint32_t http_status = 200;
  std::string json;
};

/// @brief Read the log from `from`; the reply comes as LogRead or
/// LogReadFailed. At most one is outstanding.
struct ReadLog {
  core::LogOffset from;
  core::Duration wait{};  ///< how long the service may hold an empty answer
};

/// @brief Append one entry; answered by LogAppended or LogAppendFailed. At most
/// one is outstanding.
struct AppendLog {
  std::string entry;  ///< a serialized v1::Entry
};

struct SendPeer {
  core::RouterId router;
  std::string address;
  v1::PeerMessage message;
};

struct ProbeUpstream {
  core::UpstreamId upstream;
  std::string address;
};

/// @brief Give a model engine an order (POST /admin/order); answered by
/// OrderSent. The fencing number lets an engine that checks it refuse an order
/// that was overtaken.
struct SendOrder {
  core::UpstreamId upstream;
  std::string address;
  core::FencingNumber fencing;
  v1::OrderIssued order;
};

/// @brief One structured log line.
struct LogLine {
  enum class Level : uint8_t { kInfo, kWarning, kError };
  Level level = Level::kInfo;
  std::string event;  ///< lower_snake_case
  std::vector<std::pair<std::string, std::string>> fields;
};

/// @brief The drain is complete: the process may end.
struct Exit {};

using Action = std::variant<Dispatch,
                            Refuse,
                            JoinAnswer,
                            ForgetAnswer,
                            Forward,
                            CancelAttempt,
                            ReplyJson,
                            ReadLog,
                            AppendLog,
                            SendPeer,
                            ProbeUpstream,
                            SendOrder,
                            LogLine,
                            Exit>;

}  // namespace coppervalve::router

#endif  // COPPERVALVE_ROUTER_EVENTS_H_
