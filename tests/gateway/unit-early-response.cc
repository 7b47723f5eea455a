// Upstreams that answer a long upload before they have read it.
#include <CppUTest/TestHarness.h>

#include <array>  // array
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>      // milliseconds
#include <functional>  // function
#include <memory>      // shared_ptr, unique_ptr
#include <string>      // string
#include <utility>     // move
#include <vector>      // vector

#include "coppervalve/http1/response_reader.h"
#include "partition_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;
using boost::asio::ip::tcp;

namespace {

// More than the kernels of the router and an upstream take in.
constexpr size_t kUpload = 2'000'000;
constexpr size_t kReadSize = 16'384;

std::string WithoutLength(const std::string& request,
                          const std::string& body,
                          int status) {
  std::string response = Signed(request, body, status);
  const size_t at = response.find("Content-Length");
  return response.erase(at, response.find("\r\n", at) + 2 - at);
}

/// @brief An upstream that reads a request until the test says how to go on.
class SlowReader {
 public:
  using OnBytes = std::function<void(SlowReader& reader)>;

  SlowReader(boost::asio::io_context& io,
             tcp::socket socket,
             const OnBytes& on_bytes)
      : m_socket(std::move(socket)), m_timer(io), m_on_bytes(on_bytes) {
    Read();
  }

  void Read() {
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [this](const auto& code, size_t count) {
                               if (code) {
                                 return;
                               }
                               request.append(m_buffer.data(), count);
                               m_on_bytes(*this);
                             });
  }

  void Send(const std::string& bytes) {
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
  }

  void HalfClose() { m_socket.shutdown(tcp::socket::shutdown_send); }

  void Reset() {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
  }

  void ResetLater() {
    m_timer.expires_after(std::chrono::milliseconds(300));
    m_timer.async_wait([this](const auto& code) {
      if (!code) {
        Reset();
      }
    });
  }

  std::string request;

 private:
  tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  const OnBytes& m_on_bytes;
  std::array<char, kReadSize> m_buffer{};
};

}  // namespace

// clang-format off
TEST_GROUP_BASE(EarlyResponse, PartitionFixture) {
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  std::vector<std::unique_ptr<SlowReader>> readers;
  SlowReader::OnBytes on_bytes = [](SlowReader& reader) { reader.Read(); };
  std::string part = "a part";
  size_t upload = kUpload;
  int status = 200;

  void AddSlowReader(const std::string& id, const std::string& service) {
    const std::string address = FreeAddress();
    const auto port =
        static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    auto acceptor = std::make_unique<tcp::acceptor>(router.io, tcp::v4());
    acceptor->set_option(tcp::acceptor::reuse_address(true));
    // The kernel takes in little that is not read.
    acceptor->set_option(boost::asio::socket_base::receive_buffer_size(8'192));
    acceptor->bind({boost::asio::ip::address_v4::loopback(), port});
    acceptor->listen();
    Accept(*acceptor);
    acceptors.push_back(std::move(acceptor));
    router.SetUpstream(id, service + " " + address);
  }

  void Accept(tcp::acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](const auto& code,
                                            tcp::socket socket) {
      if (code) {
        return;
      }
      readers.push_back(std::make_unique<SlowReader>(
          router.io, std::move(socket), on_bytes));
      Accept(acceptor);
    });
  }

  // Half-closes after a part of the response, and resets some time later.
  void AnswerWithPart() {
    on_bytes = [this](SlowReader& reader) {
      reader.Send(WithoutLength(reader.request, part, status));
      reader.HalfClose();
      reader.ResetLater();
    };
  }

  std::string Upload(const std::string& path) {
    std::string text = Router::RequestText(path, {}, "r-1");
    const std::string none = "Content-Length: 0";
    text.replace(text.find(none), none.size(),
                 "Content-Length: " + std::to_string(upload));
    const auto caller = router.Caller();
    caller->Send(text + std::string(upload, 'u'));
    CHECK(router.Until([&] {
      return caller->ended || IsComplete(caller->received);
    }));
    return caller->received;
  }

  static bool IsComplete(const std::string& received) {
    http1::ResponseReader reader(/*without_body=*/false);
    return core::IsOk(reader.Feed(received)) && reader.done();
  }

  static bool IsCompleteSuccess(const std::string& received) {
    return IsComplete(received) && received.starts_with("HTTP/1.1 200 ");
  }
};
// clang-format on

// Guards against a part of an answer that looks complete to its caller.
TEST(EarlyResponse, a_success_without_a_length_does_not_look_complete) {
  AddSlowReader("one", "hold");
  AnswerWithPart();
  router.Start();
  const std::string answer = Upload("/hold/x");
  CHECK_TEXT(answer.starts_with("HTTP/1.1 502 "), answer.c_str());
}

// Guards against the same with a part that ends between two events.
TEST(EarlyResponse, a_stream_without_a_length_does_not_look_complete) {
  AddSlowReader("one", "talk");
  part = Event(1);
  AnswerWithPart();
  router.Start();
  CHECK_FALSE(IsCompleteSuccess(Upload("/talk/x")));
}

// Guards against the same through a relay, which takes in more of the upload.
TEST(EarlyResponse, a_relayed_success_does_not_look_complete) {
  AddSlowReader("one", "hold");
  AnswerWithPart();
  Start();
  Partition();
  for (const size_t size : {size_t{40'000}, size_t{400'000}, kUpload}) {
    upload = size;
    const std::string answer = Upload("/hold/x" + std::to_string(size));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 502 "), answer.c_str());
  }
}

// Guards against an end that is taken for orderly though a reset came with it.
TEST(EarlyResponse, a_reset_right_after_the_end_does_not_look_complete) {
  AddSlowReader("one", "hold");
  on_bytes = [](SlowReader& reader) {
    reader.Send(WithoutLength(reader.request, "a part", 200));
    reader.HalfClose();
    reader.Reset();
  };
  upload = 2'000;
  router.Start();
  CHECK_FALSE(IsCompleteSuccess(Upload("/hold/x")));
}

// Guards against an idempotent request that fails although it may be repeated.
TEST(EarlyResponse, an_idempotent_request_is_sent_to_another_upstream) {
  AddSlowReader("one", "lookup");
  AddSlowReader("two", "lookup");
  bool first = true;
  on_bytes = [&](SlowReader& reader) {
    if (std::exchange(first, false)) {
      reader.Send(WithoutLength(reader.request, "a part", 200));
      reader.HalfClose();
      reader.ResetLater();
      return;
    }
    reader.Send(Signed(reader.request, "whole"));
  };
  router.Start();
  const std::string answer = Upload("/lookup/x");
  CHECK(IsCompleteSuccess(answer));
  CHECK(answer.ends_with("whole"));
}

// Guards against a reason for a refusal that is lost to its caller.
TEST(EarlyResponse, a_failure_without_a_length_is_forwarded) {
  AddSlowReader("one", "hold");
  status = 413;
  AnswerWithPart();
  router.Start();
  const std::string answer = Upload("/hold/x");
  CHECK_TEXT(answer.starts_with("HTTP/1.1 413 "), answer.c_str());
  CHECK(answer.ends_with(part));
}

// Guards against an answer to an upload that was read and that is refused.
TEST(EarlyResponse, a_success_after_the_whole_upload_is_complete) {
  AddSlowReader("one", "hold");
  on_bytes = [](SlowReader& reader) {
    if (reader.request.size() < kUpload + reader.request.find("\r\n\r\n") + 4) {
      reader.Read();
      return;
    }
    reader.Send(WithoutLength(reader.request, "whole", 200));
    reader.HalfClose();
  };
  for (const bool relayed : {false, true}) {
    if (!relayed) {
      Start();
    } else {
      Partition();
    }
    const std::string answer = Upload(relayed ? "/hold/x" : "/hold/y");
    CHECK_TEXT(IsCompleteSuccess(answer), answer.c_str());
    CHECK(answer.ends_with("whole"));
  }
}

// Guards against an answer with a length that is lost with the connection.
TEST(EarlyResponse, a_success_with_a_length_is_complete) {
  AddSlowReader("one", "hold");
  on_bytes = [](SlowReader& reader) {
    reader.Send(Signed(reader.request, "whole"));
    reader.HalfClose();
    reader.ResetLater();
  };
  Start();
  CHECK(IsCompleteSuccess(Upload("/hold/x")));
  Partition();
  CHECK(IsCompleteSuccess(Upload("/hold/y")));
}
