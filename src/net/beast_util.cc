#include "beast_util.h"

#include <algorithm>  // transform

namespace coppervalve::net {

namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

HeaderList HeadersOf(const boost::beast::http::fields& fields) {
  HeaderList headers;
  for (const auto& field : fields) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), Lower);
    headers.emplace_back(std::move(name), std::string(field.value()));
  }
  return headers;
}

HttpHead HeadOf(const boost::beast::http::response_header<>& response) {
  return {response.result_int(), HeadersOf(response)};
}

}  // namespace coppervalve::net
