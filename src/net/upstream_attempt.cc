#include "upstream_attempt.h"

#include <array>  // array
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>  // optional
#include <utility>   // exchange, move

#include "beast_parser.h"
#include "beast_util.h"
#include "coppervalve/net/model_json.h"
#include "coppervalve/net/stream_relay.h"
#include "upstream_connection.h"
#include "upstream_error.h"
#include "upstream_load.h"
#include "upstream_pool.h"

namespace coppervalve::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using core::ErrorId;

constexpr uint32_t kMaxHeadBytes = 64U * 1024;
// Bounds the header of a chunk and trailer fields, which the parser needs
// whole.
constexpr size_t kMaxUnparsedBytes = 2 * size_t{kMaxHeadBytes};
constexpr int kMaxInterimResponses = 100;
constexpr size_t kReadBytes = size_t{16} * 1024;
// Bytes unread by the caller at which reading from the upstream pauses.
constexpr size_t kHighWater = size_t{256} * 1024;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kLastStatus = 599;
// A head is kept by its parser and once more for the caller.
constexpr size_t kCopiesOfHead = 2;
constexpr unsigned kOk = 200;
constexpr unsigned kSuccessEnd = 300;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerErrors = 500;
constexpr unsigned kUnavailable = 503;

size_t SizeOf(const HeaderList& headers) {
  size_t size = headers.capacity() * sizeof(HeaderList::value_type);
  for (const auto& [name, value] : headers) {
    size += name.size() + value.size();
  }
  return size;
}

}  // namespace

struct UpstreamAttempt::Impl
    : std::enable_shared_from_this<UpstreamAttempt::Impl> {
  using HeadParser = http::response_parser<http::empty_body>;
  using BodyParser = http::response_parser<http::string_body>;
  using StreamParser = http::response_parser<http::buffer_body>;

  Impl(asio::io_context& a_context,
       UpstreamPool& a_pool,
       AttemptPlan a_plan,
       std::shared_ptr<Answer> a_answer,
       Report a_report)
      : context(a_context),
        plan(std::move(a_plan)),
        held(plan.held),
        answer(std::move(a_answer)),
        report(std::move(a_report)),
        link(std::make_shared<UpstreamConnection>(a_context,
                                                  a_pool,
                                                  plan.address)) {}

  void Start() {
    const bool incremental = plan.stream || !plan.model_work;
    link->Send(
        plan.wire, plan.connect_timeout,
        incremental ? plan.first_token_timeout : plan.complete_answer_timeout,
        [self = shared_from_this()](SendEnd end, error_code e) {
          self->OnSent(end, e);
        });
  }

  void OnSent(SendEnd end, error_code e) {
    switch (end) {
      case SendEnd::kSent:
        ReadHead();
        return;
      case SendEnd::kNotSent:
        End(router::AttemptNotSent{
            plan.request,
            plan.attempt,
            {ErrorId::kUpstreamFailed, plan.address, link->DescribeError(e)}});
        return;
      case SendEnd::kBroken:
        EndFailed(ConnectionError("write", e));
        return;
    }
  }

  void ReadHead() {
    head_parser.emplace();
    head_parser->header_limit(kMaxHeadBytes);
    head_parser->body_limit(plan.max_answer_bytes);
    if (plan.head_request) {
      head_parser->skip(true);
    }
    http::async_read_header(
        link->socket(), buffer, *head_parser,
        [self = shared_from_this()](error_code e, size_t) { self->OnHead(e); });
  }

  void OnHead(error_code e) {
    if (ended) {
      return;
    }
    if (e) {
      EndFailed(ConnectionError("answer", e));
      return;
    }
    const unsigned status = head_parser->get().result_int();
    // The parser accepts any three digits. What follows such a head may be a
    // body, and no request asks for another protocol.
    if (status < kFirstStatus || status > kLastStatus ||
        status == kSwitchingProtocols) {
      EndFailed({ErrorId::kUpstreamProtocol, plan.address,
                 "HTTP status " + std::to_string(status)});
      return;
    }
    if (status < kOk && ++interim_responses <= kMaxInterimResponses) {
      ReadHead();
      return;
    }
    if (status < kOk) {
      EndFailed({ErrorId::kUpstreamProtocol, plan.address,
                 "too many interim responses"});
      return;
    }
    head = HeadOf(head_parser->get());
    if (!HasRoomFor(0)) {
      EndFailed(NoRoom());
      return;
    }
    load = LoadOf(head.headers);
    const bool busy = status == kTooManyRequests || status == kUnavailable;
    if (busy && HeaderValue(head.headers, "x-not-run") == "true") {
      EndDeclined();
      return;
    }
    // An engine that fails without stating that it did not run the work may
    // have run it.
    if (plan.model_work && (busy || status >= kServerErrors)) {
      EndFailed({ErrorId::kUpstreamFailed, plan.address,
                 "HTTP status " + std::to_string(status)});
      return;
    }
    // An answer that ends with its connection cannot be distinguished from a
    // truncated one.
    if (head_parser->need_eof()) {
      EndFailed({ErrorId::kUpstreamProtocol, plan.address,
                 "answer without Content-Length or chunked encoding"});
      return;
    }
    const bool events = HeaderValue(head.headers, "content-type")
                            .starts_with("text/event-stream");
    if (plan.model_work && plan.stream && status < kSuccessEnd && events) {
      BeginStream();
      return;
    }
    body_parser.emplace(std::move(*head_parser));
    ReadBody();
  }

  void ReadBody() {
    if (body_parser->is_done()) {
      EndBody();
      return;
    }
    http::async_read_some(link->socket(), buffer, *body_parser,
                          [self = shared_from_this()](error_code e, size_t) {
                            self->OnBodyPart(e);
                          });
  }

  void OnBodyPart(error_code e) {
    if (ended) {
      return;
    }
    if (e == http::error::body_limit) {
      EndFailed({ErrorId::kUpstreamProtocol, plan.address,
                 "the answer exceeds the size limit"});
      return;
    }
    if (e) {
      EndFailed(ConnectionError("answer", e));
      return;
    }
    if (!HasRoomFor(body_parser->get().body().capacity())) {
      EndFailed(NoRoom());
      return;
    }
    ReportFirstToken();
    if (!plan.model_work) {
      link->SetTimeout(plan.inter_token_timeout);
    }
    ReadBody();
  }

  void EndBody() {
    std::string body = std::move(body_parser->get().body());
    std::optional<router::Usage> usage;
    if (plan.model_work && head.status < kSuccessEnd) {
      const core::Result<ModelAnswer> parsed = ReadModelAnswer(body);
      if (!core::IsOk(parsed)) {
        EndFailed(core::Failure(parsed));
        return;
      }
      usage = core::Value(parsed).usage;
    }
    const core::Bytes size(static_cast<int64_t>(body.size()));
    answer->Start(RelayedHead(head), false);
    answer->Append(body);
    answer->Finish();
    EndDone(body_parser->keep_alive(), usage, size);
  }

  void BeginStream() {
    stream_parser.emplace(std::move(*head_parser));
    // No size limit: a stream is limited by its tokens and by backpressure.
    stream_parser->body_limit(boost::none);
    relay.emplace(answer, RelayedHead(head), plan.relay_usage);
    answer->SetReadCallback([weak = weak_from_this(), &io = context] {
      asio::post(io, [weak] {
        if (const auto self = weak.lock()) {
          self->Resume();
        }
      });
    });
    ReadStream();
  }

  void ReadStream() {
    auto& body = stream_parser->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    http::async_read_some(link->socket(), buffer, *stream_parser,
                          [self = shared_from_this()](error_code e, size_t) {
                            self->OnStreamPart(e);
                          });
  }

  void OnStreamPart(error_code e) {
    if (ended) {
      return;
    }
    const size_t size = chunk.size() - stream_parser->get().body().size;
    const core::Tokens before = relay->output_seen();
    const core::Status fed = relay->Feed({chunk.data(), size});
    if (!core::IsOk(fed)) {
      EndFailed(core::Failure(fed));
      return;
    }
    if (e && e != http::error::need_buffer) {
      EndFailed(ConnectionError("stream", e));
      return;
    }
    if (relay->output_seen() > before) {
      ReportFirstToken();
      // Only tokens reset the timeout: a hung engine may still send comments.
      link->SetTimeout(plan.inter_token_timeout);
    }
    if (stream_parser->is_done()) {
      EndStream();
      return;
    }
    if (answer->UnreadBytes() > kHighWater) {
      // The caller is slow, not the upstream, so the timeout is cleared.
      paused = true;
      link->ClearTimeout();
      Resume();
      return;
    }
    ReadStream();
  }

  void Resume() {
    if (ended || !paused || answer->UnreadBytes() > kHighWater) {
      return;
    }
    paused = false;
    link->SetTimeout(plan.inter_token_timeout);
    ReadStream();
  }

  void EndStream() {
    const core::Status finished = relay->Finish();
    if (!core::IsOk(finished)) {
      EndFailed(core::Failure(finished));
      return;
    }
    EndDone(stream_parser->keep_alive(), relay->usage(), relay->relayed());
  }

  // ---- Completion ---------------------------------------------------------

  void EndDone(bool keep_alive,
               std::optional<router::Usage> usage,
               core::Bytes size) {
    // Extra bytes after this answer would be read as part of the next one.
    const bool reusable = keep_alive && buffer.size() == 0;
    if (reusable) {
      link->ReleaseToPool();
    }
    End(router::AttemptDone{plan.request, plan.attempt, head.status, usage,
                            size, load});
  }

  void EndDeclined() {
    const auto seconds = ReadNumber(HeaderValue(head.headers, "retry-after"));
    std::optional<core::Duration> retry_after;
    if (seconds) {
      retry_after = std::chrono::seconds(*seconds);
    }
    End(router::AttemptDeclined{plan.request, plan.attempt, head.status,
                                retry_after, load});
  }

  void EndFailed(core::Error error) {
    End(router::AttemptFailed{plan.request, plan.attempt, std::move(error),
                              answer->started(),
                              relay ? relay->output_seen() : core::Tokens()});
  }

  void End(router::Event event) {
    const Report callback = std::exchange(report, nullptr);
    Cancel();
    // Posted, so that the callback may destroy this attempt.
    asio::post(context, [callback, event = std::move(event)]() mutable {
      callback(std::move(event));
    });
  }

  void Cancel() {
    if (ended) {
      return;
    }
    ended = true;
    answer->SetReadCallback(nullptr);
    link->Close();
  }

  // An answer that is not complete may be within its limits while all together
  // exhaust the memory, so the one that grows fails.
  bool HasRoomFor(size_t body_bytes) {
    return held.Set(kCopiesOfHead * SizeOf(head.headers) + body_bytes);
  }

  core::Error NoRoom() const {
    return {ErrorId::kUpstreamProtocol, plan.address,
            "unfinished answers hold too much"};
  }

  // ---- Helpers ------------------------------------------------------------

  void ReportFirstToken() {
    if (!std::exchange(first_token_reported, true)) {
      report(router::AttemptFirstToken{plan.request, plan.attempt});
    }
  }

  core::Error ConnectionError(std::string_view step, error_code e) const {
    return ToError(
        {plan.address, std::string(step) + ": " + link->DescribeError(e),
         link->expired(), body_parser || stream_parser},
        e);
  }

  asio::io_context& context;
  const AttemptPlan plan;
  HeldBytes::Share held;
  const std::shared_ptr<Answer> answer;
  Report report;
  const std::shared_ptr<UpstreamConnection> link;
  bool ended = false;
  bool paused = false;
  bool first_token_reported = false;
  int interim_responses = 0;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<HeadParser> head_parser;
  std::optional<BodyParser> body_parser;
  std::optional<StreamParser> stream_parser;
  std::optional<StreamRelay> relay;
  std::array<char, kReadBytes> chunk{};
  HttpHead head;
  std::optional<router::UpstreamLoad> load;
};

UpstreamAttempt::UpstreamAttempt(asio::io_context& context,
                                 UpstreamPool& pool,
                                 AttemptPlan plan,
                                 std::shared_ptr<Answer> answer,
                                 Report report)
    : m_impl(std::make_shared<Impl>(context,
                                    pool,
                                    std::move(plan),
                                    std::move(answer),
                                    std::move(report))) {
  m_impl->Start();
}

UpstreamAttempt::~UpstreamAttempt() {
  Cancel();
}

core::AttemptId UpstreamAttempt::id() const {
  return m_impl->plan.attempt;
}

void UpstreamAttempt::Cancel() {
  m_impl->Cancel();
}

}  // namespace coppervalve::net
