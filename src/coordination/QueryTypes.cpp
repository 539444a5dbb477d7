#include "coordination/QueryTypes.h"

namespace figturn {

std::string_view callKindName(CallKind Kind) {
  switch (Kind) {
  case CallKind::First:
    return "first";
  case CallKind::Hedge:
    return "hedge";
  case CallKind::Retry:
    return "retry";
  case CallKind::Canary:
    return "canary";
  }
  return "first";
}

} // namespace figturn
