#ifndef COPPERVALVE_HTTP1_RESPONSE_READER_H_
#define COPPERVALVE_HTTP1_RESPONSE_READER_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <memory>       // unique_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/http1/header_list.h"

namespace coppervalve::http1 {

/// @brief Status line and headers of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
  bool keep_alive = false;
  std::optional<uint64_t> length;  ///< of the body, if declared
  bool ends_with_connection = false;
};

/// @brief Incremental parser of one response. Interim responses (1xx) are
/// skipped; a switch of protocols and a status outside 100 to 599 are errors.
/// Every part other than the body is limited to 64 KB.
class ResponseReader {
 public:
  /// @param without_body true for the response to a HEAD request
  explicit ResponseReader(bool without_body);
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  /// @brief Parses as much as possible. Unused bytes must be passed again.
  /// @return number of bytes used, or kUpstreamProtocol
  core::Result<size_t> Feed(std::string_view bytes);
  /// @brief Handles the orderly end of the connection.
  /// @return whether the response is complete
  bool FinishAtEof();

  bool head_done() const;
  bool done() const;
  const ResponseHead& head() const;
  /// @brief Moves out the part of the body received since the last call.
  std::string TakeBody();

 private:
  class Parser;
  void ResetParser();

  bool m_without_body;
  size_t m_parsed = 0;  ///< bytes of the current response
  size_t m_interim_bytes = 0;
  std::unique_ptr<Parser> m_parser;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_RESPONSE_READER_H_
