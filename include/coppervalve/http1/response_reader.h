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

/// @brief A response without its body.
struct ResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
  bool keep_alive = false;
  std::optional<uint64_t> length;  ///< of the body, when it was declared
  bool ends_with_connection = false;
};

/// @brief Reads one response from a stream of bytes. Interim responses (1xx)
/// are passed over.
class ResponseReader {
 public:
  /// @param without_body of a HEAD request
  explicit ResponseReader(bool without_body);
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  /// @brief Reads what it can; bytes that are left must be handed in again.
  /// @return how many bytes were used, or kUpstreamProtocol
  core::Result<size_t> Feed(std::string_view bytes);
  /// @brief The connection ended in order.
  /// @return whether that is a proper end of this response
  bool FinishAtEof();

  bool head_done() const;
  bool done() const;
  const ResponseHead& head() const;
  /// @brief Moves out the part of the body that was read since the last call.
  std::string TakeBody();

 private:
  class Parser;
  void ResetParser();

  bool m_without_body;
  std::unique_ptr<Parser> m_parser;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_RESPONSE_READER_H_
