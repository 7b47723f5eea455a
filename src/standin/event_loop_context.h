#ifndef COPPERVALVE_STANDIN_EVENT_LOOP_CONTEXT_H_
#define COPPERVALVE_STANDIN_EVENT_LOOP_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "coppervalve/standin/event_loop.h"

namespace coppervalve::standin {

struct EventLoop::Context {
  boost::asio::io_context io{1};
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_EVENT_LOOP_CONTEXT_H_
