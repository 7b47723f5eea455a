#ifndef COPPERVALVE_CORE_CONNECTION_LEDGER_H_
#define COPPERVALVE_CORE_CONNECTION_LEDGER_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint8_t, uint64_t
#include <list>           // list
#include <optional>       // optional
#include <set>            // set
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <utility>        // pair

namespace coppervalve::core {

/// @brief What the connections of all clients may hold together.
struct ConnectionLimits {
  size_t connections = 8'192;
  size_t bytes = size_t{64} << 20U;
  /// What a connection counts for while its request is in progress: more than
  /// one if the request uses connections of its own.
  size_t connections_of_busy = 1;
};

/// @return the limits for a process of this size
/// @param memory bytes of its VM; 0 = unknown
/// @param sockets that it may open; 0 = unknown
ConnectionLimits LimitsForProcess(size_t memory, size_t sockets);

/// @brief What a connection is doing.
enum class ConnectionStage : uint8_t {
  kIdle,       ///< waits for a request
  kReceiving,  ///< has received a part of a request
  kBusy,       ///< a complete request is in progress
  kUnread,     ///< as kBusy, and the client does not read its response
  kClosing,    ///< its last response was sent
};

/// @return "idle", "receiving", "busy", "unread" or "closing"
std::string_view ToString(ConnectionStage stage);

/// @brief Why a connection has to be ended.
enum class ConnectionLimit : uint8_t { kConnections, kBytes };

/// @return "connections" or "bytes"
std::string_view ToString(ConnectionLimit limit);

/// @brief Keeps account of what clients' connections hold, and decides which of
/// them to end when all together exceed a limit.
///
/// A connection that is busy is never ended: its request may have run. Large
/// holders may use three quarters of the bytes only, so that a small request is
/// accepted while they are at their limit.
class ConnectionLedger {
 public:
  using Id = uint64_t;
  /// @brief A connection to end, and the limit that is exceeded.
  struct Excess {
    Id id = 0;
    ConnectionLimit limit = ConnectionLimit::kConnections;
    ConnectionStage stage = ConnectionStage::kIdle;
    size_t bytes = 0;  ///< that it holds
  };

  explicit ConnectionLedger(const ConnectionLimits& limits)
      : m_limits(limits) {}

  /// @brief Adds an idle connection.
  Id Open();
  void Close(Id id);
  /// @brief Records the stage of a connection and what it holds now.
  void Update(Id id, ConnectionStage stage, size_t bytes);

  /// @return the connection to end next; none while the limits are kept, or if
  /// only busy connections exceed them
  std::optional<Excess> FindExcess() const;
  /// @brief Whether the bytes allow for the request of a connection that has
  /// just become busy.
  bool Admits(Id id) const;
  /// @brief Whether there are connections for all requests in progress. They
  /// may use seven eighths only, so that others can still be told that there is
  /// no room.
  bool HasConnectionsForBusy() const;
  /// @return the connection to end to make room for a request: of those whose
  /// response is not read, the one without progress for the longest
  std::optional<Excess> FindUnread() const;
  /// @brief Whether more than half of the bytes are in use.
  bool IsTight() const { return m_bytes > m_limits.bytes / 2; }

  size_t connections() const { return m_entries.size(); }
  size_t bytes() const { return m_bytes; }

 private:
  using Order = std::list<Id>;
  struct Entry {
    ConnectionStage stage = ConnectionStage::kIdle;
    size_t bytes = 0;
    Order::iterator position;  ///< unless kBusy
  };

  static bool IsInProgress(ConnectionStage stage);
  Order& OrderOf(ConnectionStage stage);
  void Detach(Id id, const Entry& entry);
  void Attach(Id id, Entry& entry);
  size_t LimitFor(size_t bytes) const;
  bool IsSoleHolder(const Entry& entry) const;
  std::optional<Excess> Describe(Id id, ConnectionLimit limit) const;

  size_t UsedConnections() const;

  const ConnectionLimits m_limits;
  std::unordered_map<Id, Entry> m_entries;
  Order m_closing;   ///< least recently updated first
  Order m_unread;    ///< least recently updated first
  Order m_inactive;  ///< idle or receiving, least recently updated first
  /// Those without a request in progress that hold something, by what they
  /// hold.
  std::set<std::pair<size_t, Id>> m_holders;
  size_t m_bytes = 0;
  size_t m_busy = 0;  ///< connections with a request in progress
  Id m_next = 1;
};

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_CONNECTION_LEDGER_H_
