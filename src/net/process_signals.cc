#include "coppervalve/net/process_signals.h"

namespace coppervalve::net {

sigset_t SupervisorSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

void BlockSupervisorSignals() {
  const sigset_t signals = SupervisorSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockSupervisorSignals() {
  const sigset_t signals = SupervisorSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void IgnoreWriteSignals() {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
}

}  // namespace coppervalve::net
