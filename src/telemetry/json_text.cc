#include "coppervalve/telemetry/json_text.h"

#include <array>   // array
#include <cstdio>  // snprintf

namespace coppervalve::telemetry {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
      continue;
    }
    if (static_cast<unsigned char>(c) >= kFirstPrintable) {
      out += c;
      continue;
    }
    // An unescaped newline would let text from a caller forge a log line.
    std::array<char, 8> escaped{};
    std::snprintf(escaped.data(), escaped.size(), "\\u%04x",
                  static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += escaped.data();
  }
  out += '"';
}

}  // namespace coppervalve::telemetry
