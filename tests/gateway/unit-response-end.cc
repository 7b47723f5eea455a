#include <CppUTest/TestHarness.h>

#include <algorithm>  // all_of
#include <boost/asio/steady_timer.hpp>
#include <chrono>  // milliseconds
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/http1/response_reader.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

enum class Framing { kLength, kChunks, kConnection };
enum class Ending { kOrderly, kReset };

const std::vector<Framing> kFramings = {Framing::kLength, Framing::kChunks,
                                        Framing::kConnection};
const std::vector<Ending> kEndings = {Ending::kOrderly, Ending::kReset};

// @return a signed response with a body framed in one of the three ways
std::string Framed(const std::string& request,
                   const std::string& body,
                   Framing framing) {
  std::string head = Signed(request, body);
  head.erase(head.size() - body.size());
  if (framing == Framing::kLength) {
    return head + body;
  }
  head.erase(head.find("Content-Length"));
  if (framing == Framing::kConnection) {
    return head + "\r\n" + body;
  }
  // Two chunks, so that a cut may fall between them.
  const size_t half = body.size() / 2;
  return head + "Transfer-Encoding: chunked\r\n\r\n" +
         Chunk(body.substr(0, half)) + Chunk(body.substr(half)) + "0\r\n\r\n";
}

void End(const StreamRef& stream, Ending ending) {
  if (ending == Ending::kOrderly) {
    stream->CloseWhenSent();
  } else {
    stream->Abort();
  }
}

struct Received {
  bool complete = false;
  int status = 0;
  std::string body;
};

// What a caller's HTTP library makes of the bytes that it received.
Received Read(const std::string& bytes) {
  http1::ResponseReader reader(false);
  Received received;
  if (!core::IsOk(reader.Feed(bytes)) || !reader.head_done()) {
    return received;
  }
  received.complete = reader.done();
  received.status = reader.head().status;
  received.body = reader.TakeBody();
  return received;
}

bool IsWholeSuccess(const Received& received) {
  return received.complete && received.status == 200;
}

}  // namespace

// clang-format off
TEST_GROUP(ResponseEnd) {
  Router router;
  std::string body;
  Framing framing = Framing::kLength;
  Ending ending = Ending::kOrderly;
  size_t cut = 0;  ///< bytes that the upstream sends

  int asked = 0;    ///< requests of callers
  int reached = 0;  ///< requests that an upstream got
  int whole = 0;    ///< complete successes

  void AddUpstreams(const std::string& service) {
    const auto answer = [this](const StreamRef& stream,
                               const std::string& request) {
      ++reached;
      const std::string rest = Rest(request);
      const bool resumed = rest != body;
      const std::string text = Framed(request, rest, framing);
      stream->Send(resumed ? text : text.substr(0, cut));
      End(stream, resumed ? Ending::kOrderly : ending);
    };
    router.AddUpstream(service + "-1", service).Answer(answer);
    router.AddUpstream(service + "-2", service).Answer(answer);
  }

  // @return what is left of the body after the event that a request names
  std::string Rest(const std::string& request) const {
    const size_t at = request.find("X-After: ");
    if (at == std::string::npos) {
      return body;
    }
    const std::string last = Event(std::stoi(request.substr(at + 9)));
    return body.substr(body.find(last) + last.size());
  }

  // Lets the router reach the upstreams only through another one.
  std::unique_ptr<Gateway> StartPartitioned() {
    router.settings.load_address = FreeAddress();
    std::string nowhere = FreeAddress();
    router.settings.upstream_address = [nowhere](const std::string&) {
      return nowhere;
    };
    router.Start();
    router.settings.upstream_address = nullptr;
    return router.StartPeer("router-2");
  }

  // The number at the end of a request's path is that of the bytes after which
  // the upstream stops.
  void AddSilentUpstreams(const std::string& service, int count) {
    for (int i = 0; i < count; ++i) {
      router.AddUpstream(service + std::to_string(i), service)
          .Answer([this](const StreamRef& stream, const std::string& request) {
            ++reached;
            const size_t at = request.find("/x") + 2;
            stream->Send(Framed(request, body, framing)
                             .substr(0, std::stoul(request.substr(at))));
          });
    }
  }

  // Sends a request for each byte of the response at which it may stop.
  void StopAtEachByte(const std::string& path) {
    const size_t size = Framed("\r\nX-Id: r-1\r\n", body, framing).size();
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (cut = 0; cut <= size; ++cut) {
      callers.push_back(router.Caller());
      callers.back()->Send(Router::RequestText(path + std::to_string(cut),
                                               "X-Timeout-Ms: 400\r\n", "r-1"));
    }
    CHECK(router.Until([&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& each) {
        return each->ended || Read(each->received).complete;
      });
    }));
    asked += static_cast<int>(callers.size());
    for (size_t sent = 0; sent <= size; ++sent) {
      const Received received = Read(callers[sent]->received);
      const bool has_end = framing != Framing::kConnection;
      CHECK_EQUAL(has_end && sent == size, IsWholeSuccess(received));
      whole += IsWholeSuccess(received) && received.body == body ? 1 : 0;
    }
  }

  size_t HeadSize() const {
    return Framed("\r\nX-Id: r-1\r\n", {}, framing).size() -
           (framing == Framing::kChunks ? Chunk({}).size() * 2 + 5 : 0);
  }

  // Each request has content of its own: one that was broken off may be
  // refused when it comes again.
  Received Ask(const std::string& path) {
    ++asked;
    Received received =
        Read(router.SendRequest(path + std::to_string(asked), {}, "r-1"));
    whole += IsWholeSuccess(received) ? 1 : 0;
    return received;
  }

  void CutAtEachByte() {
    body = Event(1) + Event(2);
    for (const char* path : {"/hold/x", "/talk/x", "/chat/x"}) {
      const bool events = std::string(path) != "/hold/x";
      for (const Framing each_framing : kFramings) {
        for (const Ending each_ending : kEndings) {
          framing = each_framing;
          ending = each_ending;
          const size_t size = Framed("\r\nX-Id: r-1\r\n", body, framing).size();
          for (cut = 0; cut <= size; ++cut) {
            const Received received = Ask(path);
            if (!IsWholeSuccess(received) || received.body == body) {
              continue;
            }
            // Nothing but the orderly end of the connection ends such a body.
            const bool may_end_here = framing == Framing::kConnection &&
                                      ending == Ending::kOrderly &&
                                      cut >= HeadSize() &&
                                      (!events || received.body == Event(1));
            CHECK(may_end_here);
            CHECK(body.starts_with(received.body));
          }
        }
      }
    }
    // The cases above say something only if the upstreams got the requests, and
    // some callers a whole response.
    CHECK(reached >= asked);
    CHECK(whole > 0);
  }
};
// clang-format on

// Guards against a stream that is cut inside an event and reaches its caller
// as complete.
TEST(ResponseEnd, a_stream_that_ends_inside_an_event_does_not_look_complete) {
  body = Event(1) + Event(2) + Event(3);
  framing = Framing::kConnection;
  AddUpstreams("talk");
  router.Start();
  for (const size_t inside : {size_t{1}, size_t{6}, Event(1).size() - 1}) {
    for (const size_t events : {size_t{0}, size_t{1}, size_t{2}}) {
      cut = HeadSize() + events * Event(1).size() + inside;
      CHECK_FALSE(IsWholeSuccess(Ask("/talk/x")));
    }
  }
}

// Guards against a stream that is left cut although it may be resumed.
TEST(ResponseEnd, a_stream_that_ends_inside_an_event_is_resumed) {
  body = Event(1) + Event(2) + Event(3);
  framing = Framing::kConnection;
  AddUpstreams("chat");
  router.Start();
  cut = HeadSize() + Event(1).size() + 4;
  const Received received = Ask("/chat/x");
  CHECK(IsWholeSuccess(received));
  STRCMP_EQUAL(body.c_str(), received.body.c_str());
}

// Guards against a stream of which no event came, and that reaches its caller
// as an empty one.
TEST(ResponseEnd, a_stream_without_an_event_does_not_look_complete) {
  body = Event(1);
  framing = Framing::kConnection;
  AddUpstreams("talk");
  router.Start();
  cut = HeadSize();
  CHECK_FALSE(IsWholeSuccess(Ask("/talk/x")));
}

// Guards against events that are looked for in a body that is no event stream.
TEST(ResponseEnd, a_body_of_another_type_on_a_stream_route_is_forwarded) {
  router.AddUpstream("one", "chat")
      .Answer([](const StreamRef& stream, const std::string& request) {
        std::string text = Signed(request, "{\"done\": true}");
        text.insert(text.find("X-Signed"),
                    "Content-Type: application/json\r\n");
        stream->Send(text);
      });
  router.Start();
  const Received received = Ask("/chat/x");
  CHECK(IsWholeSuccess(received));
  STRCMP_EQUAL("{\"done\": true}", received.body.c_str());
}

// Guards against an upstream that crashes between two events, or in a plain
// body, and whose connection then ends as if the response were complete.
TEST(ResponseEnd, a_response_whose_upstream_crashed_does_not_look_complete) {
  body = Event(1) + Event(2);
  framing = Framing::kConnection;
  for (const char* service : {"hold", "talk"}) {
    ScriptedUpstream& upstream = router.AddUpstream(service, service);
    upstream.Answer(
        [this, &upstream](const StreamRef& stream, const std::string& request) {
          stream->Send(Framed(request, Event(1), framing));
          upstream.StopListening();
          stream->CloseWhenSent();
        });
  }
  router.Start();
  CHECK_FALSE(IsWholeSuccess(Ask("/hold/x")));
  CHECK_FALSE(IsWholeSuccess(Ask("/talk/x")));
}

// Guards against the same where another start listens at the address by then.
TEST(ResponseEnd,
     a_response_whose_upstream_was_replaced_does_not_look_complete) {
  body = Event(1) + Event(2);
  framing = Framing::kConnection;
  ScriptedUpstream& upstream = router.AddUpstream("one", "hold");
  upstream.Answer([&](const StreamRef& stream, const std::string& request) {
    stream->Send(Framed(request, Event(1), framing));
    router.SetUpstream("two", "hold " + upstream.address());
    const auto timer = std::make_shared<boost::asio::steady_timer>(router.io);
    timer->expires_after(std::chrono::milliseconds(300));
    timer->async_wait(
        [stream, timer](const auto& /*code*/) { stream->CloseWhenSent(); });
  });
  router.Start();
  CHECK_FALSE(IsWholeSuccess(Ask("/hold/x")));
}

// Guards against any short response that looks whole, wherever it is cut.
TEST(ResponseEnd, a_response_cut_at_any_byte_is_whole_or_visibly_broken) {
  AddUpstreams("hold");
  AddUpstreams("talk");
  AddUpstreams("chat");
  router.Start();
  CutAtEachByte();
}

// Guards against the same with a response that another router relays.
TEST(ResponseEnd, a_relayed_response_cut_at_any_byte_is_whole_or_broken) {
  AddUpstreams("hold");
  AddUpstreams("talk");
  AddUpstreams("chat");
  const auto peer = StartPartitioned();
  CutAtEachByte();
}

// Guards against a response whose upstream falls silent and that looks whole.
TEST(ResponseEnd, a_response_that_stops_at_any_byte_does_not_look_complete) {
  const std::vector<std::string> services = {"hold", "talk", "chat"};
  constexpr int kUpstreams = 20;
  for (const std::string& service : services) {
    AddSilentUpstreams(service, kUpstreams);
  }
  router.Start();
  body = Event(1) + Event(2);
  for (const std::string& service : services) {
    for (const Framing each : kFramings) {
      framing = each;
      StopAtEachByte("/" + service + "/x");
    }
  }
  CHECK_EQUAL(asked, reached);
  CHECK_EQUAL(6, whole);
}
