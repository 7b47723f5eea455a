#ifndef COPPERVALVE_STANDINS_SERVICE_SERVICE_SERVER_H_
#define COPPERVALVE_STANDINS_SERVICE_SERVICE_SERVER_H_

#include <boost/json/array.hpp>
#include <cstdint>        // uint64_t
#include <string>         // string
#include <unordered_map>  // unordered_map

#include "coppervalve/core/units.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/record_file.h"

namespace coppervalve::standin {

/// @brief Settings of a plain service's stand-in.
struct ServiceOptions {
  std::string name = "service";
  core::Duration latency{};
  std::string record_path;
};

/// @brief Injected faults, described at ServiceServer::HandleCall().
enum class ServiceFault : uint8_t {
  kNone,
  kSlow,
  kSilent,
  kError,
  kRefuse,
  kCut,
  kDieBeforeAnswer,
};

/// @brief Stand-in of a plain service whose calls have side effects.
class ServiceServer {
 public:
  ServiceServer(EventLoop& loop, const ServiceOptions& options);

  /// @brief Serves one request.
  void Handle(const HttpRequest& request, const HttpExchange& exchange);

 private:
  bool HandleAdmin(const HttpRequest& request, HttpExchange exchange);
  void HandleCall(const HttpRequest& request, const HttpExchange& exchange);
  HttpResponse RunCall(const HttpRequest& request);
  void Answer(HttpExchange exchange, const HttpResponse& response) const;
  void HandleControl(const HttpRequest& request, HttpExchange exchange);

  EventLoop& m_loop;
  ServiceOptions m_options;
  RecordFile m_file;
  boost::json::array m_records;
  std::unordered_map<std::string, uint64_t> m_runs_by_key;
  ServiceFault m_fault = ServiceFault::kNone;
  core::Duration m_response_delay{};
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_SERVICE_SERVICE_SERVER_H_
