// Compiles the logging library's implementation. It is included from a system
// include directory, so that its warnings are not reported.
// clang-format off
#include "easylogging_setup.h"
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
// clang-format on
