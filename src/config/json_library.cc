// The only place that compiles Boost.JSON's own sources; every other source
// includes its headers and links to this library.
#if defined(__GNUC__) && !defined(__clang__)
// With the sanitizers on, g++ 12 inlines array::insert and warns about a
// memmove at a null pointer, which the library guards with a size check.
#pragma GCC diagnostic ignored "-Warray-bounds"
#pragma GCC diagnostic ignored "-Wstringop-overflow"
#endif
#include <boost/json/src.hpp>
