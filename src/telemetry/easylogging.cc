// The one home of the logging library's code. It comes from a system include
// folder, so that its own warnings stay out of the build.
// clang-format off
#include "easylogging_setup.h"
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
// clang-format on
