// Compiles the header-only Boost.JSON; no other source does.

// With the sanitizers enabled, GCC 12 inlines array::insert() differently and
// assumes that it writes to the shared table of empty arrays: "memmove ... out
// of the bounds [0, 0]", "into a region of size 0". These warnings are false
// positives: an array that uses this table has no capacity, so insert() never
// moves elements within it. They are disabled only for this source, which
// contains no code of this project, and only in sanitized builds, where the
// sanitizer checks such accesses at run time.
#if defined(__SANITIZE_ADDRESS__)
#pragma GCC diagnostic ignored "-Warray-bounds"
#pragma GCC diagnostic ignored "-Wstringop-overflow"
#endif

#include <boost/json/src.hpp>
