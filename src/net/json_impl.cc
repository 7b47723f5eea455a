// Compiles the JSON library, which is used header-only. With the sanitizers GCC
// 12 warns of an out-of-bounds access on a path of the library that is never
// taken. The warnings are disabled only here, where there is no other code.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Warray-bounds"
#pragma GCC diagnostic ignored "-Wstringop-overflow"
#endif
#include <boost/json/src.hpp>
