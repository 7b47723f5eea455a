#ifndef COPPERVALVE_TESTS_NET_TEST_SHELL_H_
#define COPPERVALVE_TESTS_NET_TEST_SHELL_H_

#include <condition_variable>  // condition_variable
#include <functional>          // function
#include <memory>              // unique_ptr
#include <mutex>               // mutex
#include <string>              // string
#include <vector>              // vector

#include "coppervalve/net/shell.h"
#include "raw_socket.h"

namespace coppervalve::net::testing {

/// @brief A shell on free ports of 127.0.0.1 whose decisions come from a test.
class TestShell {
 public:
  using Actions = std::vector<router::Action>;
  using Decide = std::function<Actions(const router::Event&)>;

  explicit TestShell(Decide decide, ShellSettings settings = Settings());

  /// @brief Long timeouts; a test that waits for one sets it.
  static ShellSettings Settings();

  RawSocket Caller() const { return RawSocket(m_shell->caller_port()); }
  RawSocket Operator() const { return RawSocket(m_shell->operator_port()); }
  Shell& shell() { return *m_shell; }

  /// @brief Waits for an event of this type.
  /// @return the newest; empty after a long timeout
  template <typename Event>
  std::optional<Event> WaitFor() {
    std::optional<Event> found;
    Wait([this, &found] {
      for (const router::Event& event : m_events) {
        if (const auto* match = std::get_if<Event>(&event)) {
          found = *match;
        }
      }
      return found.has_value();
    });
    return found;
  }
  /// @brief Waits for this number of events of this type: an answer may reach
  /// its caller before the core is notified.
  template <typename Event>
  bool WaitForCount(size_t count) {
    size_t found = 0;
    Wait([this, count, &found] {
      found = 0;
      for (const router::Event& event : m_events) {
        found += std::holds_alternative<Event>(event) ? 1 : 0;
      }
      return found >= count;
    });
    return found == count;
  }
  /// @return the number of events of this type so far
  template <typename Event>
  size_t Count() {
    const std::scoped_lock lock(m_mutex);
    size_t count = 0;
    for (const router::Event& event : m_events) {
      count += std::holds_alternative<Event>(event) ? 1 : 0;
    }
    return count;
  }

 private:
  void Wait(const std::function<bool()>& reached);

  std::mutex m_mutex;
  std::condition_variable m_came;
  std::vector<router::Event> m_events;  // without ticks
  std::unique_ptr<Shell> m_shell;
};

/// @brief Dispatches every request to one upstream and refuses failed ones.
TestShell::Decide SendTo(std::string address, bool model_work = true);

/// @brief The dispatch that SendTo makes.
router::Dispatch DispatchOf(core::RequestId request,
                            const std::string& address,
                            bool model_work = true);

/// @brief A caller's model request as bytes.
std::string ModelPost(const std::string& prompt,
                      bool stream = false,
                      const std::string& headers = "");

/// @brief A request with this body as bytes.
std::string Post(const std::string& target,
                 const std::string& body,
                 const std::string& headers = "");

}  // namespace coppervalve::net::testing

#endif  // COPPERVALVE_TESTS_NET_TEST_SHELL_H_
