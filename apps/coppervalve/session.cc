#include "apps/coppervalve/session.h"

#include <array>     // array
#include <charconv>  // to_chars
#include <fstream>   // ifstream
#include <iostream>  // cin
#include <iterator>  // istreambuf_iterator
#include <random>    // random_device
#include <utility>   // move

namespace coppervalve::cli {

namespace {

using core::ErrorId;

uint64_t RandomNumber() {
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  const uint64_t high = device();
  return (high << kHalfBits) | device();
}

std::string ReadAll(std::istream& stream) {
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

Session::Session(Options options)
    : m_options(std::move(options)), m_printer(m_options.json) {}

core::Result<LogView> Session::ReadLog(
    LogView::Start start,
    const LogView::Observer& observer) const {
  if (m_options.log.empty()) {
    return core::Error{ErrorId::kSettingMissing, "--log",
                       "give it or set COPPERVALVE_LOG"};
  }
  LogView view(LogClient(m_options.log, m_options.call_timeout));
  const core::Status opened = view.Open(start, observer);
  if (!core::IsOk(opened)) {
    return core::Failure(opened);
  }
  return view;
}

core::Result<v1::Entry> Session::NewEntry(const LogView& view,
                                          v1::Record record) const {
  if (m_options.operator_name.empty()) {
    return core::Error{ErrorId::kSettingMissing, "--operator",
                       "specify your name or set COPPERVALVE_OPERATOR"};
  }
  v1::Entry entry;
  entry.set_writer("operator:" + m_options.operator_name);
  entry.set_incarnation(RandomNumber());
  entry.set_sequence(1);
  entry.set_seen_offset(view.fold().next_offset().value());
  *entry.add_records() = std::move(record);
  return entry;
}

core::Status Session::AppendAndRead(LogView& view,
                                    const v1::Entry& entry,
                                    const LogView::Observer& observer) const {
  const core::Result<core::LogOffset> appended = view.client().Append(entry);
  // Also read after a failed append: possibly only its reply was lost.
  core::Status read = view.CatchUp(std::chrono::milliseconds(0), observer);
  if (!core::IsOk(appended)) {
    return core::Failure(appended);
  }
  return read;
}

core::Result<std::vector<std::string>> Session::OperatorEndpoints() const {
  if (!m_options.routers.empty()) {
    return m_options.routers;
  }
  const core::Result<LogView> view = ReadLog(LogView::Start::kNewest);
  if (!core::IsOk(view)) {
    return core::Failure(view);
  }
  std::vector<std::string> addresses;
  for (const ledger::Member* member : core::Value(view).fold().LiveMembers()) {
    addresses.push_back(member->joined.operator_address());
  }
  if (addresses.empty()) {
    return core::Error{ErrorId::kUnknownRouter, "routers",
                       "none is live in the log"};
  }
  return addresses;
}

std::string NewId() {
  return ToHex(RandomNumber());
}

std::string ToHex(uint64_t number) {
  constexpr size_t kDigits = 16;
  constexpr int kBase = 16;
  std::array<char, kDigits> digits{};
  const auto written =
      std::to_chars(digits.data(), digits.data() + kDigits, number, kBase);
  const auto size = static_cast<size_t>(written.ptr - digits.data());
  return std::string(kDigits - size, '0').append(digits.data(), size);
}

core::Result<std::string> ReadFile(const std::string& path) {
  if (path == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return core::Error{ErrorId::kOperatorUsage, path, "cannot be read"};
  }
  return ReadAll(file);
}

}  // namespace coppervalve::cli
