#include "upstream_fault.h"

#include <boost/beast/http/error.hpp>
#include <utility>  // move

namespace coppervalve::net {

namespace {

namespace http = boost::beast::http;
using core::ErrorId;

ErrorId KindOf(const Breakage& breakage, boost::system::error_code error) {
  if (breakage.expired) {
    return ErrorId::kUpstreamSilent;
  }
  if (error == http::error::partial_message) {
    return ErrorId::kAnswerCut;
  }
  const auto& http_errors =
      http::make_error_code(http::error::end_of_stream).category();
  const bool closed = error == http::error::end_of_stream;
  if (!closed && error.category() == http_errors) {
    return ErrorId::kUpstreamProtocol;
  }
  return breakage.begun ? ErrorId::kAnswerCut : ErrorId::kUpstreamFailed;
}

}  // namespace

core::Error FaultOf(Breakage breakage, boost::system::error_code error) {
  const ErrorId kind = KindOf(breakage, error);
  return {kind, std::move(breakage.address), std::move(breakage.detail)};
}

HttpHead RelayedHead(const HttpHead& head) {
  HttpHead relayed;
  relayed.status = head.status;
  for (const auto& [name, value] : head.headers) {
    if (!IsHopByHop(name) && !name.starts_with("x-engine-")) {
      relayed.headers.emplace_back(name, value);
    }
  }
  return relayed;
}

}  // namespace coppervalve::net
