#include "state/Errc.h"

#include <algorithm>
#include <array>
#include <string>

namespace figturn {

namespace {

constexpr std::array<std::string_view, 35> ErrcNames = {
    "ok",
    "bad-request",
    "unknown-service",
    "body-too-large",
    "header-timeout",
    "missing-key",
    "key-reused",
    "overloaded",
    "deadline-exceeded",
    "no-target",
    "not-ready",
    "draining",
    "quarantined",
    "platform-unavailable",
    "attempt-in-progress",
    "attempt-lost",
    "cancelled",
    "connect-failed",
    "connection-closed",
    "connection-silent",
    "truncated-reply",
    "bad-reply",
    "version-not-held",
    "target-shed",
    "target-failed",
    "target-left",
    "record-not-found",
    "object-not-found",
    "version-conflict",
    "outcome-unknown",
    "peer-unavailable",
    "invalid-configuration",
    "invalid-settings",
    "slot-not-owned",
    "unknown-route",
};

static_assert(ErrcNames.size() ==
              static_cast<std::size_t>(Errc::UnknownRoute) + 1);

class FigturnCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "figturn"; }
  std::string message(int Value) const override {
    return std::string(errcName(static_cast<Errc>(Value)));
  }
};

} // namespace

const std::error_category &errcCategory() {
  static const FigturnCategory Category;
  return Category;
}

std::string_view errcName(Errc Code) {
  return ErrcNames.at(static_cast<std::size_t>(Code));
}

Errc parseErrc(std::string_view Name) {
  const auto *Found = std::find(ErrcNames.begin(), ErrcNames.end(), Name);
  return Found == ErrcNames.end()
             ? Errc::BadReply
             : static_cast<Errc>(Found - ErrcNames.begin());
}

std::error_code make_error_code(Errc Code) { // NOLINT: name required by std
  return {static_cast<int>(Code), errcCategory()};
}

} // namespace figturn
