#ifndef COPPERVALVE_ENTRY_REQUEST_PRINT_H_
#define COPPERVALVE_ENTRY_REQUEST_PRINT_H_

#include <compare>      // operator<=>
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief What makes two requests the same one, whatever their ids, deadlines
/// and the events after which they resume.
struct RequestContent {
  std::string_view method;
  std::string_view target;
  core::AccountId account;  ///< empty on a public route
  std::string_view body;
};

/// @brief A name of a request by its content. Nobody can make a request whose
/// print is that of another account's request.
struct RequestPrint {
  /// Cheap to compute: requests whose sketches differ are not the same.
  uint64_t sketch = 0;
  std::string digest;  ///< 16 bytes of a strong hash

  friend auto operator<=>(const RequestPrint&, const RequestPrint&) = default;
  /// @return 24 bytes, as other routers read them
  std::string ToBytes() const;
  /// @return an empty digest when the size is another
  static RequestPrint FromBytes(std::string_view bytes);
  /// @return hex of the digest's first bytes, for log lines
  std::string Short() const;
};

/// @complexity linear in the target
uint64_t SketchOf(const RequestContent& content);
/// @complexity linear in the body
RequestPrint PrintOf(const RequestContent& content);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_REQUEST_PRINT_H_
