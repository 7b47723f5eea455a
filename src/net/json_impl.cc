// The one home of the JSON library's code, which is header-only here.
#include <boost/json/src.hpp>
