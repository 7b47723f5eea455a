#ifndef COPPERVALVE_TESTS_NET_RAW_SOCKET_H_
#define COPPERVALVE_TESTS_NET_RAW_SOCKET_H_

#include <cstdint>      // uint16_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::net::testing {

/// @brief A blocking connection on 127.0.0.1 that sends and reads raw bytes.
/// Reads fail after a long timeout.
class RawSocket {
 public:
  /// @brief Connects; a failure shows as closed().
  explicit RawSocket(uint16_t port);
  /// @brief Takes over an accepted connection.
  static RawSocket Adopt(int descriptor);
  RawSocket(RawSocket&& other) noexcept;
  RawSocket& operator=(RawSocket&&) = delete;
  ~RawSocket();

  void Send(std::string_view bytes) const;
  /// @return everything until the other side closes
  std::string ReadToEnd();
  /// @return one message with its body, as framed by length or chunks; less
  /// when the other side closed before its end
  std::string ReadMessage();
  /// @return the bytes up to and including `mark`
  std::string ReadUntil(std::string_view mark);
  /// @return whether the other side has closed, waiting for it
  bool WaitForClose();
  void Close();
  /// @brief Closes with a reset.
  void Reset();
  bool closed() const { return m_descriptor < 0; }

 private:
  RawSocket() = default;
  bool ReadMore();
  std::string Take(size_t size);

  int m_descriptor = -1;
  std::string m_buffer;
};

}  // namespace coppervalve::net::testing

#endif  // COPPERVALVE_TESTS_NET_RAW_SOCKET_H_
