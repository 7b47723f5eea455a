#ifndef COPPERVALVE_NET_PROCESS_SIGNALS_H_
#define COPPERVALVE_NET_PROCESS_SIGNALS_H_

#include <signal.h>  // sigset_t

namespace coppervalve::net {

/// @return the signals that a supervisor sends to a running process: SIGHUP,
/// SIGINT and SIGTERM
sigset_t SupervisorSignals();

/// @brief Holds back the supervisor's signals for this thread and those that it
/// starts. What arrives is delivered after UnblockSupervisorSignals().
void BlockSupervisorSignals();

void UnblockSupervisorSignals();

/// @brief Lets writes that are not possible fail instead of ending the process:
/// to a connection or pipe that was closed (SIGPIPE), and to a file at the
/// limit of its size (SIGXFSZ), for example a log.
void IgnoreWriteSignals();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PROCESS_SIGNALS_H_
