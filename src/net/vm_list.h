#ifndef COPPERVALVE_SRC_NET_VM_LIST_H_
#define COPPERVALVE_SRC_NET_VM_LIST_H_

#include <optional>  // optional
#include <string>    // string

#include "coppervalve/platform.pb.h"

namespace coppervalve::net {

/// @brief Reads the platform's list of VMs. Entries that can't be read are left
/// out, fields that are not known are ignored.
/// @return empty if the text is no list, or none of its entries can be read
/// @complexity linear in the text
std::optional<v1::VmList> ReadVmList(const std::string& text);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_VM_LIST_H_
