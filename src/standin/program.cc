#include "coppervalve/standin/program.h"

#include <cstdlib>   // EXIT_FAILURE, EXIT_SUCCESS
#include <iostream>  // cerr, cout
#include <utility>   // move

#include "coppervalve/standin/address.h"

namespace coppervalve::standin {

namespace {

int Fail(const core::Error& error) {
  std::cerr << core::ToString(error) << std::endl;
  return EXIT_FAILURE;
}

}  // namespace

int ServeUntilTerminated(EventLoop& loop,
                         const std::string& listen,
                         HttpHandler handler) {
  const auto address = ParseAddress(listen);
  if (!core::IsOk(address)) {
    return Fail(core::Failure(address));
  }
  HttpServer server(loop, std::move(handler));
  const core::Status listening = server.Listen(core::Value(address));
  if (!core::IsOk(listening)) {
    return Fail(core::Failure(listening));
  }
  std::cout << "listening on " << listen << std::endl;
  loop.RunUntilTerminated();
  return EXIT_SUCCESS;
}

}  // namespace coppervalve::standin
