#ifndef COPPERVALVE_SRC_NET_BEAST_UTIL_H_
#define COPPERVALVE_SRC_NET_BEAST_UTIL_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>  // string

#include "coppervalve/net/http_types.h"

namespace coppervalve::net {

/// @brief The header fields of a message, with names in lower case.
HeaderList HeadersOf(const boost::beast::http::fields& fields);

/// @brief Status and headers of a response.
HttpHead HeadOf(const boost::beast::http::response_header<>& response);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_BEAST_UTIL_H_
