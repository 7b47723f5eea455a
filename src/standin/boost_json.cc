// The header-only Boost.JSON itself, compiled in this source alone.

// With the sanitizers on, GCC 12 inlines array::insert() differently and takes
// the shared table of empty arrays for its target: "memmove ... out of the
// bounds [0, 0]", "into a region of size 0". An array with that table has no
// capacity, so insert() never moves within it. Only this source, which holds
// none of our code, and only the sanitized build leave the warnings out; the
// sanitizer itself watches there.
#if defined(__SANITIZE_ADDRESS__)
#pragma GCC diagnostic ignored "-Warray-bounds"
#pragma GCC diagnostic ignored "-Wstringop-overflow"
#endif

#include <boost/json/src.hpp>
