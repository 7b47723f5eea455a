#include "platform/store.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>    // make_shared
#include <optional>  // optional
#include <string>    // string

using namespace coppervalve;
using boost::asio::ip::tcp;

namespace {

constexpr core::Duration kPatience{5'000'000};

// Answers one request with a fixed body.
class StoreServer {
 public:
  StoreServer(boost::asio::io_context& io,
              const std::string& body,
              const std::string& status = "200 OK")
      : m_acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        m_answer("HTTP/1.1 " + status + "\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body) {
    m_acceptor.async_accept([this](const auto& code, tcp::socket socket) {
      if (code) {
        return;
      }
      const auto connection = std::make_shared<tcp::socket>(std::move(socket));
      boost::asio::async_write(*connection, boost::asio::buffer(m_answer),
                               [connection](const auto&, size_t) {});
    });
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  tcp::acceptor m_acceptor;
  const std::string m_answer;
};

core::Result<gateway::NewestPage> ReadPage(const std::string& body) {
  boost::asio::io_context io;
  const StoreServer server(io, body);
  const gateway::KeyedStore store =
      platform::ConnectStore(io, server.address());
  std::optional<core::Result<gateway::NewestPage>> result;
  store.newest("topic", {}, kPatience, [&](const auto& page) {
    result = page;
    io.stop();
  });
  io.run();
  return *result;
}

core::Result<gateway::WriteReceipt> Append(const std::string& body,
                                           const std::string& status) {
  boost::asio::io_context io;
  const StoreServer server(io, body, status);
  const gateway::KeyedStore store =
      platform::ConnectStore(io, server.address());
  std::optional<core::Result<gateway::WriteReceipt>> result;
  store.append("topic", {"key", "value", 0}, {"writer", 1, 1}, kPatience,
               [&](const auto& receipt) {
                 result = receipt;
                 io.stop();
               });
  io.run();
  return *result;
}

core::Result<gateway::RecordBatch> ReadBatch(const std::string& records) {
  boost::asio::io_context io;
  const std::string offsets(16, '\0');
  const StoreServer server(io, offsets + records);
  const gateway::KeyedStore store =
      platform::ConnectStore(io, server.address());
  std::optional<core::Result<gateway::RecordBatch>> result;
  store.read("topic", 5, {}, [&](const auto& batch) {
    result = batch;
    io.stop();
  });
  io.run();
  return *result;
}

// Of fewer than 256 bytes.
std::string Record(const std::string& content) {
  return std::string(3, '\0') + static_cast<char>(content.size()) + content;
}

std::string Page(const std::string& end,
                 const std::string& offset,
                 const std::string& value) {
  return R"({"entries":[{"key":"k","value":")" + value + R"(","offset":)" +
         offset + R"(}],"hasMore":false,"endOffset":)" + end + "}";
}

}  // namespace

// clang-format off
TEST_GROUP(Store){};
// clang-format on

TEST(Store, reads_a_page_of_newest_records) {
  const auto page = ReadPage(Page("7", "3", "YWI="));
  CHECK(core::IsOk(page));
  UNSIGNED_LONGS_EQUAL(7, core::Value(page).end);
  STRCMP_EQUAL("ab", core::Value(page).records.front().value.c_str());
}

// Guards against an exception that ends the process.
TEST(Store, offsets_that_are_no_whole_numbers_are_malformed) {
  for (const char* offset : {"-1", "1.5", "1e300"}) {
    CHECK_FALSE(core::IsOk(ReadPage(Page(offset, "3", "YWI="))));
    CHECK_FALSE(core::IsOk(ReadPage(Page("7", offset, "YWI="))));
    CHECK_FALSE(core::IsOk(
        Append(R"({"endOffset":)" + std::string(offset) + "}", "200 OK")));
  }
}

// Guards against removing more bytes from a value than it has.
TEST(Store, values_of_padding_alone_are_empty) {
  const auto page = ReadPage(Page("7", "3", "===="));
  CHECK(core::IsOk(page));
  CHECK(core::Value(page).records.front().value.empty());
}

// Guards against a reader that never passes one record of another writer.
TEST(Store, records_without_a_key_are_left_out) {
  const auto read =
      ReadBatch(Record("\1ax") + Record("") + Record("\7b") + Record("\1cy"));
  CHECK(core::IsOk(read));
  const gateway::RecordBatch& batch = core::Value(read);
  UNSIGNED_LONGS_EQUAL(2, batch.records.size());
  STRCMP_EQUAL("c", batch.records[1].key.c_str());
  UNSIGNED_LONGS_EQUAL(8, batch.records[1].offset);
  UNSIGNED_LONGS_EQUAL(9, batch.next);
}

// Guards against a list that can't be read because of one key.
TEST(Store, a_key_that_is_no_text_is_part_of_a_page) {
  const auto page = ReadPage(
      "{\"entries\":[{\"key\":\"\xff\",\"value\":\"YWI=\",\"offset\":3}],"
      "\"hasMore\":false,\"endOffset\":7}");
  CHECK(core::IsOk(page));
  UNSIGNED_LONGS_EQUAL(1, core::Value(page).records.size());
}

// Guards against a record that is repeated for ever though it is never taken.
TEST(Store, a_refused_record_has_an_error_of_its_own) {
  for (const char* status : {"400 Bad Request", "413 Too Large"}) {
    CHECK(core::Failure(Append("{}", status)).id ==
          core::ErrorId::kLogRecordRefused);
  }
  CHECK(core::Failure(Append("{}", "503 Unavailable")).id ==
        core::ErrorId::kLogUnavailable);
}
