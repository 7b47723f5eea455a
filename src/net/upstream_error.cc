#include "upstream_error.h"

#include <boost/beast/http/error.hpp>
#include <utility>  // move

namespace coppervalve::net {

namespace {

namespace http = boost::beast::http;
using core::ErrorId;

ErrorId ErrorIdOf(const ConnectionFailure& failure,
                  boost::system::error_code error) {
  if (failure.expired) {
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
  return failure.head_received ? ErrorId::kAnswerCut : ErrorId::kUpstreamFailed;
}

}  // namespace

core::Error ToError(ConnectionFailure failure,
                    boost::system::error_code error) {
  const ErrorId kind = ErrorIdOf(failure, error);
  return {kind, std::move(failure.address), std::move(failure.detail)};
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
