#include "apps/coppervalve/router_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace coppervalve::cli {

namespace {

using core::ErrorId;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpSuccessEnd = 300;

}  // namespace

core::Result<HttpReply> CallRouter(const Session& session,
                                   HttpMethod method,
                                   const std::string& address,
                                   const std::string& target) {
  HttpCall call;
  call.method = method;
  call.address = address;
  call.target = target;
  call.bearer_token = session.options().operator_token;
  call.timeout = session.options().call_timeout;
  core::Result<HttpReply> reply = Send(call);
  if (!core::IsOk(reply)) {
    return reply;
  }
  const unsigned status = core::Value(reply).status;
  if (status < kHttpOk || status >= kHttpSuccessEnd) {
    return core::Error{ErrorId::kPeerProtocol, address,
                       "HTTP status " + std::to_string(status)};
  }
  return reply;
}

core::Result<boost::json::object> GetObject(const Session& session,
                                            const std::string& address,
                                            const std::string& target) {
  const core::Result<HttpReply> reply =
      CallRouter(session, HttpMethod::kGet, address, target);
  if (!core::IsOk(reply)) {
    return core::Failure(reply);
  }
  boost::json::error_code failed;
  const boost::json::value document =
      boost::json::parse(core::Value(reply).body, failed);
  if (failed || !document.is_object()) {
    return core::Error{ErrorId::kPeerProtocol, address, "not a JSON object"};
  }
  return document.get_object();
}

std::string MemberText(const boost::json::object& document, const char* name) {
  const boost::json::value* member = document.if_contains(name);
  if (member == nullptr) {
    return "-";
  }
  return member->is_string() ? std::string(member->get_string().c_str())
                             : boost::json::serialize(*member);
}

}  // namespace coppervalve::cli
