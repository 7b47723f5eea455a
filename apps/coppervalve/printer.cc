#include "apps/coppervalve/printer.h"

#include <algorithm>  // max
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>  // cerr, cout
#include <utility>   // move

namespace coppervalve::cli {

namespace {

constexpr size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  m_rows.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  m_rows.push_back(std::move(row));
}

std::string TextTable::ToString() const {
  std::vector<size_t> widths;
  for (const auto& row : m_rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

void Printer::Print(const boost::json::object& document,
                    const std::string& text) const {
  if (m_json) {
    std::cout << boost::json::serialize(document) << '\n';
    return;
  }
  std::cout << text;
  if (!text.empty() && text.back() != '\n') {
    std::cout << '\n';
  }
}

ExitCode Printer::Fail(const core::Error& error) const {
  return Fail(error, {}, {});
}

ExitCode Printer::Fail(const core::Error& error,
                       boost::json::object document,
                       const std::string& text) const {
  if (m_json) {
    document["error"] = ToJson(error);
    std::cout << boost::json::serialize(document) << '\n';
  } else {
    std::cout << text << std::flush;
    std::cerr << core::ToString(error) << '\n';
  }
  return ExitCodeOf(error.id);
}

boost::json::object ToJson(const core::Error& error) {
  return {{"code", core::ErrorCode(error.id)},
          {"name", boost::json::string_view(core::Describe(error.id).name)},
          {"subject", error.subject},
          {"detail", error.detail}};
}

boost::json::array ToJson(const std::vector<config::Change>& changes) {
  boost::json::array list;
  for (const config::Change& change : changes) {
    list.push_back(boost::json::object{{"path", change.path},
                                       {"before", change.before},
                                       {"after", change.after}});
  }
  return list;
}

std::string ToText(const std::vector<config::Change>& changes) {
  std::string text;
  for (const config::Change& change : changes) {
    text += change.path + "\n";
    if (!change.before.empty()) {
      text += "  - " + change.before + "\n";
    }
    if (!change.after.empty()) {
      text += "  + " + change.after + "\n";
    }
  }
  return text;
}

}  // namespace coppervalve::cli
