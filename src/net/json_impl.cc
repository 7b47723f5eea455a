// The one home of the JSON library's code, which is header-only here. With the
// sanitizers GCC 12 sees an access out of bounds on a path of the library that
// is never taken; nothing but the library's code is in this source.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Warray-bounds"
#pragma GCC diagnostic ignored "-Wstringop-overflow"
#endif
#include <boost/json/src.hpp>
