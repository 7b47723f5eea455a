#ifndef COPPERVALVE_NET_CONNECTION_REGISTRY_H_
#define COPPERVALVE_NET_CONNECTION_REGISTRY_H_

#include <cstddef>        // size_t
#include <functional>     // function
#include <memory>         // shared_ptr, enable_shared_from_this
#include <unordered_map>  // unordered_map

#include "coppervalve/core/connection_ledger.h"

namespace coppervalve::net {

/// @brief The connections that share limits, those of clients and idle ones to
/// upstreams, and what they hold. Ends some of them when all together exceed a
/// limit. Used on one thread.
class ConnectionRegistry
    : public std::enable_shared_from_this<ConnectionRegistry> {
 public:
  using Id = core::ConnectionLedger::Id;
  using Excess = core::ConnectionLedger::Excess;
  using EndConnection = std::function<void(core::ConnectionLimit limit)>;
  using HasInput = std::function<bool()>;

  /// @param on_ended called for each connection that is ended
  ConnectionRegistry(const core::ConnectionLimits& limits,
                     std::function<void(const Excess&)> on_ended);

  /// @brief A registered connection; leaves the registry when it is destroyed.
  class Entry {
   public:
    Entry(std::shared_ptr<ConnectionRegistry> registry, Id id);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// @brief Records what the connection is doing and holds. May end other
    /// connections, or this one.
    void Update(core::ConnectionStage stage, size_t bytes);
    /// @brief Whether the bytes allow for the request that has just been
    /// received.
    bool Admits() const;
    /// @brief Whether there are connections for the request that has just been
    /// received. May end connections whose responses are not read.
    bool FindConnections();

   private:
    const std::shared_ptr<ConnectionRegistry> m_registry;
    const Id m_id;
  };

  /// @param end closes the connection, or refuses its request
  /// @param has_input whether bytes of the peer wait to be read
  std::shared_ptr<Entry> Add(EndConnection end, HasInput has_input);

  /// @brief Whether connections should hold less than usual.
  bool IsTight() const { return m_ledger.IsTight(); }
  size_t connections() const { return m_ledger.connections(); }
  size_t bytes() const { return m_ledger.bytes(); }

 private:
  struct Connection {
    EndConnection end;
    HasInput has_input;
  };

  void Remove(Id id);
  void EndExcess();
  bool EndUnread();

  core::ConnectionLedger m_ledger;
  std::unordered_map<Id, Connection> m_connections;
  const std::function<void(const Excess&)> m_on_ended;
  bool m_ending = false;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CONNECTION_REGISTRY_H_
