#include "gateway_fixture.h"

#include <netinet/tcp.h>  // TCP_MAXSEG
#include <sys/socket.h>   // setsockopt

#include <sys/socket.h>
#include <unistd.h>

#include <array>                      // array
#include <boost/asio/ip/address.hpp>  // make_address
#include <boost/asio/ip/udp.hpp>
#include <chrono>   // milliseconds, seconds
#include <cstdio>   // snprintf
#include <cstdlib>  // abort
#include <sstream>  // istringstream
#include <utility>  // move

#include "coppervalve/http1/response_reader.h"
#include "coppervalve/net/endpoint.h"

namespace coppervalve::gateway::testing {

namespace {

using boost::asio::ip::tcp;

tcp::endpoint EndpointOf(const std::string& address) {
  const auto endpoint = net::ReadEndpoint(address);
  return {boost::asio::ip::make_address(endpoint->ip), endpoint->port};
}

std::string HeaderOf(const std::string& text, const std::string& name) {
  const size_t at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const size_t start = at + name.size() + 4;
  return text.substr(start, text.find("\r\n", start) - start);
}

entry::Route RouteOf(const char* service, entry::RouteKind kind) {
  entry::Route route;
  route.name = core::RuleId(service);
  route.host = "desk.example";
  route.prefix = std::string("/") + service + "/";
  route.kind = kind;
  route.max_attempts = 2;
  route.timeout = std::chrono::seconds(10);
  route.target_latency = std::chrono::seconds(2);
  route.services = {{core::ServiceId(service), 1}};
  return route;
}

// Reads "VERSION PREPAID"; the rest of the test's configuration is fixed.
core::Result<entry::Configuration> ReadConfiguration(
    const std::string& document) {
  std::istringstream words(document);
  uint64_t version = 0;
  int64_t prepaid = 0;
  words >> version >> prepaid;
  entry::Configuration configuration;
  configuration.version = core::ConfigVersion(version);
  configuration.routes = {RouteOf("lookup", entry::RouteKind::kIdempotent),
                          RouteOf("hold", entry::RouteKind::kAtMostOnce),
                          RouteOf("talk", entry::RouteKind::kStream),
                          RouteOf("chat", entry::RouteKind::kStream)};
  configuration.routes.back().resumable = true;
  entry::Service engines;
  engines.name = core::ServiceId("chat");
  engines.engine = entry::EngineFacts{10};
  configuration.services = {engines};
  entry::Account account;
  account.name = core::AccountId("gate");
  account.keys = {"key"};
  account.prepaid = core::Tokens(prepaid);
  configuration.accounts = {account};
  return configuration;
}

core::Result<entry::RequestFacts> ReadRequest(const http1::RequestHead& head) {
  const auto value = [&head](const char* name) {
    const std::string* found = head.headers.Find(name);
    return found == nullptr ? std::string() : *found;
  };
  entry::RequestFacts facts;
  facts.id = value("X-Id");
  facts.host = value("Host");
  facts.target = head.target;
  facts.key = value("X-Key");
  const std::string timeout = value("X-Timeout-Ms");
  if (!timeout.empty()) {
    facts.caller_timeout = std::chrono::milliseconds(std::stoi(timeout));
  }
  facts.resume_after = value("X-After");
  facts.resumes = value("X-Resumes");
  std::istringstream parts(value("X-Parts"));
  for (std::string part; parts >> part;) {
    facts.shared_parts.push_back(part);
  }
  const std::string tokens = value("X-Tokens");
  if (!tokens.empty()) {
    facts.prompt = core::Tokens(std::stoll(tokens));
    facts.max_output = core::Tokens(100);
  }
  return facts;
}

http1::HeaderList UpstreamHeaders(const http1::RequestHead& head,
                                  const UpstreamRequestContext& facts) {
  http1::HeaderList headers;
  for (const http1::Header& header : head.headers) {
    if (!http1::IsHopByHop(head.headers, header.name) &&
        header.name != "X-After") {
      headers.Add(header.name, header.value);
    }
  }
  if (!facts.resume_after.empty()) {
    headers.Add("X-After", facts.resume_after);
  }
  return headers;
}

UpstreamResponseInfo ReadAnswer(const http1::ResponseHead& head) {
  UpstreamResponseInfo facts;
  const std::string* id = head.headers.Find("X-Id");
  facts.request_id = id == nullptr ? std::string() : *id;
  facts.not_run = head.headers.Find("X-Not-Run") != nullptr;
  facts.genuine = head.headers.Find("X-Signed") != nullptr;
  if (const std::string* limit = head.headers.Find("X-Limit")) {
    facts.limit = std::stod(*limit);
  }
  return facts;
}

PlatformAdapter TestAdapter() {
  PlatformAdapter adapter;
  adapter.read_configuration = ReadConfiguration;
  adapter.read_request = ReadRequest;
  adapter.upstream_headers = UpstreamHeaders;
  adapter.read_answer = ReadAnswer;
  adapter.read_upstream =
      [](const std::string& key,
         const std::string& document) -> core::Result<entry::UpstreamEntry> {
    std::istringstream words(document);
    std::string service;
    entry::UpstreamEntry entry;
    entry.id = core::UpstreamId(key);
    words >> service >> entry.address;
    if (service == kInvalidService) {
      return core::Error{core::ErrorId::kConfigSyntax, key, document};
    }
    int64_t start_number = 0;
    if (words >> start_number && start_number != 0) {
      entry.start_number = start_number;
    }
    std::string failure_domain;
    std::string version;
    words >> failure_domain >> version;
    entry.version = core::UpstreamVersion(version);
    entry.failure_domain = core::FailureDomainId(failure_domain);
    entry.service = core::ServiceId(service);
    entry.slots = 8;
    return entry;
  };
  adapter.refusal = [](const core::Error& error,
                       std::optional<core::Duration> retry_after) {
    LocalResponse answer;
    answer.status = core::Describe(error.id).http_status;
    answer.reason = "Refused";
    if (retry_after) {
      answer.headers.Add("Retry-After",
                         std::to_string(retry_after->count()) + " us");
    }
    answer.body = core::ToString(error);
    return answer;
  };
  adapter.addresses = [](const http1::RequestHead&,
                         const std::vector<std::string>& addresses,
                         core::Duration) {
    LocalResponse answer;
    for (const std::string& address : addresses) {
      answer.body += address + "\n";
    }
    return answer;
  };
  adapter.readiness = [](const http1::RequestHead&, bool ready) {
    LocalResponse answer;
    answer.status = ready ? 200 : 503;
    return answer;
  };
  return adapter;
}

}  // namespace

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string FreeAddress() {
  constexpr size_t kReserved = 256;  // more than a test uses
  static std::array<int, kReserved> reserved{};
  static size_t next = 0;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  tcp::endpoint local = EndpointOf("127.0.0.1:0");
  auto size = static_cast<socklen_t>(local.size());
  if (::bind(socket, local.data(), size) != 0 ||
      ::getsockname(socket, local.data(), &size) != 0) {
    std::abort();
  }
  if (reserved[next] != 0) {
    ::close(reserved[next]);
  }
  reserved[next] = socket;
  next = (next + 1) % kReserved;
  return "127.0.0.1:" + std::to_string(local.port());
}

void SendDatagram(boost::asio::io_context& io,
                  const std::string& address,
                  const std::string& bytes) {
  using boost::asio::ip::udp;
  const tcp::endpoint to = EndpointOf(address);
  udp::socket socket(io, udp::v4());
  socket.send_to(boost::asio::buffer(bytes),
                 udp::endpoint(to.address(), to.port()));
}

ScriptedUpstream::ScriptedUpstream(boost::asio::io_context& io)
    : m_address(FreeAddress()), m_acceptor(io, EndpointOf(m_address)) {
  Accept();
}

void ScriptedUpstream::StopListening() {
  m_acceptor.close();
}

void ScriptedUpstream::Accept() {
  m_acceptor.async_accept(
      [this](const boost::system::error_code& code, tcp::socket socket) {
        if (code) {
          return;
        }
        ++connections;
        auto stream = std::make_shared<Stream>(std::move(socket));
        m_streams.push_back(stream);
        std::weak_ptr<Stream> weak = stream;
        stream->Start({[this, weak](std::string_view bytes) {
                         requests.emplace_back(bytes);
                         const auto open = weak.lock();
                         if (open && m_on_request) {
                           m_on_request(open, requests.back());
                         }
                       },
                       [this](StreamEnd) { ++closed; },
                       {}});
        Accept();
      });
}

TestCaller::TestCaller(boost::asio::io_context& io,
                       const std::string& address,
                       int window) {
  tcp::socket socket(io);
  socket.open(tcp::v4());
  if (window != 0) {
    socket.set_option(boost::asio::socket_base::receive_buffer_size(window));
    // Segments as on Ethernet: with those of the loopback interface the
    // router's kernel takes megabytes.
    const int segment = 1'460;
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment,
               sizeof(segment));
  }
  socket.connect(EndpointOf(address));
  m_stream = std::make_shared<Stream>(std::move(socket));
  m_stream->Start({[this](std::string_view bytes) { received.append(bytes); },
                   [this](StreamEnd) { ended = true; },
                   {}});
}

TestCaller::~TestCaller() {
  m_stream->Abort();
}

void TestCaller::Send(const std::string& text) {
  m_stream->Send(text);
}

void TestCaller::Disconnect() {
  m_stream->Abort();
}

void TestCaller::PauseReading() {
  m_stream->PauseReading();
}

void TestCaller::ResumeReading() {
  m_stream->ResumeReading();
}

void TestCaller::CloseAfterSend() {
  m_stream->CloseWhenSent();
}

std::string Signed(const std::string& request,
                   const std::string& body,
                   int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Signed: 1\r\nX-Id: " + HeaderOf(request, "X-Id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string SignedWithLimit(const std::string& request, double per_second) {
  std::string answer = Signed(request, "done");
  answer.insert(answer.find("X-Signed"),
                "X-Limit: " + std::to_string(per_second) + "\r\n");
  return answer;
}

std::string SignedStreamHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: " +
         HeaderOf(request, "X-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

void Router::SetUpstream(const std::string& id, const std::string& document) {
  store.Put("upstreams", id, document);
}

Router::Router() : store(io) {
  settings.router = core::RouterId("router-1");
  settings.failure_domain = core::FailureDomainId("fd-a");
  settings.caller_address = FreeAddress();
  settings.layout = {"config",  "config",  "evacuate/", "upstreams",
                     "routers", "streams", "starts"};
}

Router::~Router() = default;

namespace {

entry::Policy ClaimAtOnce() {
  entry::Policy policy;
  policy.settle = {};
  return policy;
}

}  // namespace

void Router::Start(int64_t prepaid) {
  store.Put("config", "config", "1 " + std::to_string(prepaid));
  gateway = std::make_unique<Gateway>(io, settings, TestAdapter(),
                                      store.Calls(settings.router.value()),
                                      ClaimAtOnce());
  gateway->Start();
  // Waits until the first claim is in the store and was read back.
  Until([this] { return store.RecordsOf("routers") != 0; });
  io.run_for(std::chrono::milliseconds(20));
}

std::unique_ptr<Gateway> Router::StartPeer(const std::string& name) {
  GatewaySettings other = settings;
  other.router = core::RouterId(name);
  other.caller_address = FreeAddress();
  peer_address = other.caller_address;
  other.load_address = FreeAddress();
  auto peer = std::make_unique<Gateway>(io, other, TestAdapter(),
                                        store.Calls(name), ClaimAtOnce());
  peer->Start();
  Until([&] { return !store.Newest("routers", name).empty(); });
  // Gives both routers time to read each other's claims.
  io.run_for(std::chrono::milliseconds(2'500));
  return peer;
}

ScriptedUpstream& Router::AddUpstream(const std::string& id,
                                      const std::string& service,
                                      const std::string& more) {
  m_upstreams.push_back(std::make_unique<ScriptedUpstream>(io));
  store.Put("upstreams", id,
            service + " " + m_upstreams.back()->address() + " " + more);
  return *m_upstreams.back();
}

std::unique_ptr<TestCaller> Router::Caller() {
  return std::make_unique<TestCaller>(io, settings.caller_address);
}

bool Router::Until(const std::function<bool()>& condition) {
  constexpr int kMostRounds = 3'000;
  for (int round = 0; round < kMostRounds && !condition(); ++round) {
    io.run_one_for(std::chrono::milliseconds(5));
  }
  return condition();
}

std::string Router::RequestText(const std::string& path,
                                const std::string& extra_headers,
                                const std::string& id) {
  return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Id: " + id +
         "\r\nX-Key: key\r\n" + extra_headers + "Content-Length: 0\r\n\r\n";
}

std::string Router::SendRequest(const std::string& path,
                                const std::string& extra_headers,
                                const std::string& id) {
  const auto caller = Caller();
  caller->Send(RequestText(path, extra_headers, id));
  Until([&] {
    http1::ResponseReader reader(false);
    const auto used = reader.Feed(caller->received);
    return caller->ended || (core::IsOk(used) && reader.done());
  });
  return caller->received;
}

}  // namespace coppervalve::gateway::testing
