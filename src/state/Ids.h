#ifndef FIGTURN_STATE_IDS_H
#define FIGTURN_STATE_IDS_H

/**
 * Identifiers as distinct types, so that a target's name can't be passed where
 * a data centre's name is expected. They are cheap to copy and move, ordered,
 * hashable with std::hash and printable with fmt.
 */

#include <compare>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <string>
#include <utility>

namespace figturn {

/**
 * A value of type \p T that is not interchangeable with values of another \p
 * Tag.
 */
template <typename Tag, typename T> class StrongId {
public:
  using Value = T;

  StrongId() = default;
  explicit StrongId(T Value) : m_Value(std::move(Value)) {}

  /** The plain value, for codecs and logs. */
  const T &value() const { return m_Value; }

  auto operator<=>(const StrongId &) const = default; // NOLINT: synthesised

private:
  T m_Value{};
};

/** Name of an entry VM, unique in the fleet. */
using VmName = StrongId<struct VmNameTag, std::string>;
/** Name of a data centre, for example "nz-south-a". */
using DataCentreName = StrongId<struct DataCentreNameTag, std::string>;
/** Name of a service, which its targets provide. */
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/** Name of a target (a process that answers the calls of entry VMs). */
using TargetName = StrongId<struct TargetNameTag, std::string>;
/** A target's or entry VM's process instance; changes at each start. */
using BootId = StrongId<struct BootIdTag, std::string>;
/** The caller's idempotency key. */
using RequestKey = StrongId<struct RequestKeyTag, std::string>;
/** Number of a shard within one index version. */
using ShardId = StrongId<struct ShardIdTag, std::uint32_t>;
/** Version of a service's index; later versions have larger numbers. */
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/** Version of the accepted configuration; never decreases. */
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/** Number of an agreed member list; never decreases. */
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/** One call from an entry VM to a target, unique in the calling process. */
using CallId = StrongId<struct CallIdTag, std::uint64_t>;
/** Hash of what a request asks for, without its idempotency key; equal requests
 *  have equal fingerprints. */
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

} // namespace figturn

template <typename Tag, typename T>
struct std::hash<figturn::StrongId<Tag, T>> {
  std::size_t operator()(const figturn::StrongId<Tag, T> &Id) const {
    return std::hash<T>()(Id.value());
  }
};

template <typename Tag, typename T>
struct fmt::formatter<figturn::StrongId<Tag, T>> : fmt::formatter<T> {
  template <typename Context>
  auto format(const figturn::StrongId<Tag, T> &Id, Context &Ctx) const {
    return fmt::formatter<T>::format(Id.value(), Ctx);
  }
};

#endif // FIGTURN_STATE_IDS_H
