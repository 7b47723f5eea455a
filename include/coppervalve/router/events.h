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

/// Interface between the decision core and its shell. The shell passes events
/// with the time they happened; the core returns actions.
namespace coppervalve::router {

// ---- Events ----------------------------------------------------------------

/// @brief A request of a caller. The body stays in the shell.
struct RequestArrived {
  core::RequestId request;  ///< chosen by the shell, unique per incarnation
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>>
      headers;          ///< lower-case names
  std::string api_key;  ///< as sent; empty when forwarded by a peer
  core::Hash128 body_hash;
  core::Bytes body_size;
  std::string model;               ///< model work only
  core::ServiceId service;         ///< plain services only
  core::Tokens max_output_tokens;  ///< requested; 0 if not given
  bool stream = false;
  std::string prompt_prefix;    ///< first bytes of the prompt, for affinity
  std::string idempotency_key;  ///< empty when not given
  std::optional<core::TimePoint> deadline;
  /// Set for a forwarded request: the account that the peer authenticated.
  std::optional<core::AccountId> forwarded_account;
};

/// @brief A caller requests the router addresses (GET /v1/addresses).
struct AddressesRequested {
  core::RequestId request;
  std::string api_key;
};

/// @brief A caller requests the status of a request (GET /v1/requests/{key}).
struct StatusRequested {
  core::RequestId request;
  std::string api_key;
  std::string idempotency_key;
  std::optional<core::AccountId> forwarded_account;
};

/// @brief An operator requests this router's state (GET /admin/status).
struct OperatorStatusRequested {
  core::RequestId request;
};

/// @brief The attempt failed before its first byte was given to the kernel.
struct AttemptNotSent {
  core::RequestId request;
  core::AttemptId attempt;
  core::Error error;
};

/// @brief The load that an upstream reports with an answer. It may be outdated.
struct UpstreamLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
};

/// @brief The upstream rejected the work (429, or 503 marked as not run).
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

/// @brief Token usage reported by the engine.
struct Usage {
  core::Tokens prompt;
  core::Tokens output;
};

/// @brief The answer is complete.
struct AttemptDone {
  core::RequestId request;
  core::AttemptId attempt;
  uint32_t http_status = 200;
  std::optional<Usage> usage;  ///< absent for plain services
  core::Bytes answer_size;     ///< kept by the shell for retries
  std::optional<UpstreamLoad> load;
};

/// @brief The attempt ended without a complete answer after bytes were sent.
struct AttemptFailed {
  core::RequestId request;
  core::AttemptId attempt;
  core::Error error;  ///< kUpstreamFailed, kUpstreamSilent, kAnswerCut, ...
  bool forwarded_bytes = false;  ///< the caller got part of the answer
  core::Tokens output_seen;      ///< tokens forwarded so far
};

/// @brief The caller closed its connection or stopped waiting for a joined
/// answer.
struct CallerDisconnected {
  core::RequestId request;
};

/// @brief A forward to a peer ended. The shell relayed what it received.
struct ForwardEnded {
  core::RequestId request;
  bool answered = false;  ///< the peer's complete answer was relayed
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

/// @brief A probe requested by the core ended.
struct ProbeEnded {
  core::UpstreamId upstream;
  bool healthy = false;
  std::optional<UpstreamLoad> load;
};

/// @brief Sending an order requested by the core ended.
struct OrderSent {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  orders::SendOutcome outcome = orders::SendOutcome::kUnknown;
};

/// @brief SIGTERM or a drain by an operator. Repeated events have no effect.
struct DrainRequested {};

/// @brief Sent by the shell at least every 50 ms.
struct Tick {};

using Event = std::variant<RequestArrived,
                           AddressesRequested,
                           StatusRequested,
                           OperatorStatusRequested,
                           AttemptNotSent,
                           AttemptDeclined,
                           AttemptFirstToken,
                           AttemptDone,
                           AttemptFailed,
                           CallerDisconnected,
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
                           DrainRequested,
                           Tick>;

// ---- Actions ---------------------------------------------------------------

/// @brief Send the body of the request to an upstream. Once a byte is given to
/// the kernel, the request may run.
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

/// @brief The final answer of a request that failed or was refused. If the
/// caller already has part of an answer, the shell ends the stream with an
/// error event instead of a normal end.
struct Refuse {
  core::RequestId request;
  core::Error error;
  core::RunState run_state = core::RunState::kNotRun;
  std::optional<core::Duration> retry_after;
};

/// @brief Send the caller the answer of `leader`, complete or still arriving.
struct JoinAnswer {
  core::RequestId request;
  core::RequestId leader;
};

/// @brief Drop the stored answer of a finished request.
struct ForgetAnswer {
  core::RequestId request;
};

/// @brief Relay the request to a peer router and its answer back.
struct Forward {
  core::RequestId request;
  core::RouterId router;
  core::Incarnation incarnation;
  std::string address;  ///< of the peer, for requests from routers
  core::AccountId account;
};

/// @brief Cancel an attempt whose answer is no longer needed.
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

/// @brief Read the log from `from`; answered by LogRead or LogReadFailed. At
/// most one read is outstanding.
struct ReadLog {
  core::LogOffset from;
  core::Duration wait{};  ///< long-poll time when there are no entries
};

/// @brief Append one entry; answered by LogAppended or LogAppendFailed. At most
/// one append is outstanding.
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

/// @brief Send an order to a model engine (POST /admin/order); answered by
/// OrderSent. An engine that checks the fencing number refuses an order that a
/// newer one has replaced.
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

/// @brief The drain is complete; end the process.
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
