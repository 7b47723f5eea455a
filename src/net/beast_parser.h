#ifndef COPPERVALVE_SRC_NET_BEAST_PARSER_H_
#define COPPERVALVE_SRC_NET_BEAST_PARSER_H_

// With the sanitizers GCC 12 takes an optional inside of the library's parser
// for uninitialized, although every read of it is guarded. Only the library's
// own lines are exempt.
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#pragma GCC diagnostic pop

#endif  // COPPERVALVE_SRC_NET_BEAST_PARSER_H_
