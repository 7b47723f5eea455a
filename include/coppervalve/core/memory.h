#ifndef COPPERVALVE_CORE_MEMORY_H_
#define COPPERVALVE_CORE_MEMORY_H_

#include <string>  // string

namespace coppervalve::core {

/// @brief Empties a string and frees its memory. Assigning a short string to it
/// may keep the memory.
inline void Release(std::string& text) {
  std::string().swap(text);
}

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_MEMORY_H_
