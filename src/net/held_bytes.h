#ifndef COPPERVALVE_SRC_NET_HELD_BYTES_H_
#define COPPERVALVE_SRC_NET_HELD_BYTES_H_

#include <atomic>   // atomic
#include <cstddef>  // size_t
#include <memory>   // shared_ptr
#include <utility>  // move

namespace coppervalve::net {

/// @brief What several holders keep in memory together. Thread-safe.
class HeldBytes {
 public:
  explicit HeldBytes(size_t limit) : m_limit(limit) {}

  /// @brief What one of them keeps; nothing after it is destroyed.
  class Share {
   public:
    explicit Share(std::shared_ptr<HeldBytes> all) : m_all(std::move(all)) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { Set(0); }

    /// @return whether there is room for it. There always is for a small share,
    /// and for one beside small ones only.
    bool Set(size_t bytes);

   private:
    const std::shared_ptr<HeldBytes> m_all;
    size_t m_bytes = 0;
  };

 private:
  const size_t m_limit;
  std::atomic<size_t> m_bytes{0};
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_HELD_BYTES_H_
