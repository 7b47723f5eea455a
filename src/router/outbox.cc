#include "coppervalve/router/detail/outbox.h"

namespace coppervalve::router::detail {

void Outbox::Info(std::string event, LogFields fields) {
  Add(LogLine{LogLine::Level::kInfo, std::move(event), std::move(fields)});
}

void Outbox::Warn(std::string event, LogFields fields) {
  Add(LogLine{LogLine::Level::kWarning, std::move(event), std::move(fields)});
}

void Outbox::Alarm(const core::Error& error) {
  Add(LogLine{LogLine::Level::kError,
              "alarm",
              {{"error", core::ErrorCode(error.id)},
               {"name", std::string(core::Describe(error.id).name)},
               {"subject", error.subject},
               {"detail", error.detail}}});
}

}  // namespace coppervalve::router::detail
