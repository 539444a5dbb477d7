#ifndef FIGTURN_TRANSPORT_REPLYMEMORY_H
#define FIGTURN_TRANSPORT_REPLYMEMORY_H

/**
 * Bounds the memory of replies that are being received. Each reply has a size
 * limit, but many targets, or many connections of one, can send long replies at
 * the same time. All connections to targets of a process share one object.
 */

#include <atomic>
#include <cstddef>

namespace figturn {

/** Counts the bytes of incomplete replies. Thread-safe. */
class ReplyMemory {
public:
  /** Bytes of all incomplete replies together. */
  static constexpr std::size_t DefaultLimit = 33554432;
  /** A reply up to this size in bytes is always received. */
  static constexpr std::size_t SmallReply = 65536;

  explicit ReplyMemory(std::size_t Limit = DefaultLimit) : m_Limit(Limit) {}

  /** Records that a reply that held \p Before bytes now holds \p After. Returns
   *  whether it may grow further; if not, it must be dropped. */
  bool resize(std::size_t Before, std::size_t After) {
    if (After == Before)
      return true;
    const std::size_t Total = m_Held.fetch_add(After - Before) + After - Before;
    return After <= SmallReply || Total <= m_Limit;
  }
  std::size_t held() const { return m_Held; }

private:
  std::size_t m_Limit;
  std::atomic<std::size_t> m_Held{0};
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_REPLYMEMORY_H
