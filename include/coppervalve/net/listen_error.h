#ifndef COPPERVALVE_NET_LISTEN_ERROR_H_
#define COPPERVALVE_NET_LISTEN_ERROR_H_

#include <boost/system/error_code.hpp>
#include <string>  // string

#include "coppervalve/core/error.h"

namespace coppervalve::net {

/// @param address that could not be listened on
/// @return kSettingBadValue if it never will be; kAddressUnavailable if that
/// may change, for example when another process ends
core::Error ListenError(const std::string& address,
                        const boost::system::error_code& code);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_LISTEN_ERROR_H_
