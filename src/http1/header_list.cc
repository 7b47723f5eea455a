#include "coppervalve/http1/header_list.h"

#include <algorithm>  // equal
#include <array>      // array

namespace coppervalve::http1 {

namespace {

constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
     "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
     "content-length", "expect"});

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    if (EqualsIgnoreCase(Trim(list.substr(0, comma)), name)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

void HeaderList::Add(std::string_view name, std::string_view value) {
  m_headers.push_back({std::string(name), std::string(value)});
  m_text_bytes += name.size() + value.size();
}

size_t HeaderList::held_bytes() const {
  return m_headers.capacity() * sizeof(Header) + m_text_bytes;
}

const std::string* HeaderList::Find(std::string_view name) const {
  for (const Header& header : m_headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

size_t HeaderList::Count(std::string_view name) const {
  size_t count = 0;
  for (const Header& header : m_headers) {
    count += EqualsIgnoreCase(header.name, name) ? 1 : 0;
  }
  return count;
}

bool IsHopByHop(const HeaderList& headers, std::string_view name) {
  for (const std::string_view fixed : kHopByHop) {
    if (EqualsIgnoreCase(fixed, name)) {
      return true;
    }
  }
  for (const Header& header : headers) {
    if (!EqualsIgnoreCase(header.name, "connection")) {
      continue;
    }
    if (ListContains(header.value, name)) {
      return true;
    }
  }
  return false;
}

}  // namespace coppervalve::http1
