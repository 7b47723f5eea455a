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

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PROCESS_SIGNALS_H_
