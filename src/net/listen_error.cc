#include "coppervalve/net/listen_error.h"

#include <boost/asio/error.hpp>

namespace coppervalve::net {

namespace {

bool IsPermanent(const boost::system::error_code& code) {
  return code == boost::asio::error::access_denied ||
         code == boost::asio::error::address_family_not_supported ||
         code == boost::asio::error::invalid_argument;
}

}  // namespace

core::Error ListenError(const std::string& address,
                        const boost::system::error_code& code) {
  return {IsPermanent(code) ? core::ErrorId::kSettingBadValue
                            : core::ErrorId::kAddressUnavailable,
          address, code.message()};
}

}  // namespace coppervalve::net
