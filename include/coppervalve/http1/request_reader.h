#ifndef COPPERVALVE_HTTP1_REQUEST_READER_H_
#define COPPERVALVE_HTTP1_REQUEST_READER_H_

#include <cstddef>      // size_t
#include <memory>       // unique_ptr
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/http1/header_list.h"

namespace coppervalve::http1 {

/// @brief Size limits of a request.
struct RequestBounds {
  core::Bytes header{16'384};  ///< also of a chunk's header and of trailers
  core::Bytes body{4'194'304};
};

/// @brief Request line and headers of a request.
struct RequestHead {
  std::string method;
  std::string target;
  HeaderList headers;
  bool keep_alive = true;
  bool expects_continue = false;
};

/// @brief Incremental parser of one request. Rejects every request that two
/// parsers could interpret differently.
class RequestReader {
 public:
  explicit RequestReader(const RequestBounds& bounds);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  /// @brief Parses as much as possible. Unused bytes must be passed again,
  /// followed by more.
  /// @return number of bytes used; kBadRequest, kHeaderTooLarge or
  /// kBodyTooLarge on failure
  core::Result<size_t> Feed(std::string_view bytes);

  bool begun() const;
  bool head_done() const;
  bool done() const;
  const RequestHead& head() const;
  /// @return bytes of memory that the head and the body take
  size_t held_bytes() const;
  /// @brief Moves the head out of the reader. @pre done()
  RequestHead TakeHead();
  /// @brief Moves the body out of the reader. @pre done()
  std::string TakeBody();

 private:
  class Parser;
  std::unique_ptr<Parser> m_parser;
  size_t m_max_unfinished;  ///< bytes of a chunk's header or of trailers
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_REQUEST_READER_H_
