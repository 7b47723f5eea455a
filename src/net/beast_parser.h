#ifndef COPPERVALVE_SRC_NET_BEAST_PARSER_H_
#define COPPERVALVE_SRC_NET_BEAST_PARSER_H_

// With the sanitizers GCC 12 reports an optional in the library's parser as
// uninitialized, although every read of it is guarded. The warning is disabled
// only for the library's headers.
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#pragma GCC diagnostic pop

#endif  // COPPERVALVE_SRC_NET_BEAST_PARSER_H_
