#ifndef COPPERVALVE_STANDIN_PROGRAM_H_
#define COPPERVALVE_STANDIN_PROGRAM_H_

#include <string>  // string

#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"

namespace coppervalve::standin {

/// @brief Serves HTTP on "ip:port" until SIGTERM or SIGINT. Prints one line
/// when it is ready, or one line with the error when it cannot start.
/// @return the exit code of the process
int ServeUntilTerminated(EventLoop& loop,
                         const std::string& listen,
                         HttpHandler handler);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_PROGRAM_H_
