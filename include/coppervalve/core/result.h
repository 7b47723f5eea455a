#ifndef COPPERVALVE_CORE_RESULT_H_
#define COPPERVALVE_CORE_RESULT_H_

#include <utility>  // move
#include <variant>  // get_if, monostate, variant

#include "coppervalve/core/error.h"

namespace coppervalve::core {

/// @brief A value, or the error that explains why there is none.
template <typename T>
using Result = std::variant<T, Error>;

/// @brief The result of an operation that returns nothing but may fail.
using Status = Result<std::monostate>;

/// @brief Returns a successful Status.
inline Status Ok() {
  return std::monostate{};
}

/// @return whether the result holds a value
template <typename T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// @brief The value of a result. @pre IsOk(result)
template <typename T>
const T& Value(const Result<T>& result) {
  return *std::get_if<0>(&result);
}

/// @brief Moves the value out of a result. @pre IsOk(result)
template <typename T>
T TakeValue(Result<T>&& result) {
  return std::move(*std::get_if<0>(&result));
}

/// @brief The error of a result. @pre !IsOk(result)
template <typename T>
const Error& Failure(const Result<T>& result) {
  return *std::get_if<1>(&result);
}

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_RESULT_H_
