#ifndef FIGTURN_TEST_SUPPORT_FREEPORTS_H
#define FIGTURN_TEST_SUPPORT_FREEPORTS_H

/** Ports for programs that a test starts. */

#include <cstddef>
#include <cstdint>
#include <vector>

namespace figturn::test {

/** A range of ports that this process has to itself, since no other claims it.
 */
class PortBlock {
public:
  /** Claims a range; throws if all are taken. */
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock &) = delete;
  PortBlock &operator=(const PortBlock &) = delete;

  /** The next free port; starts again once all have been returned. */
  std::uint16_t next();

private:
  std::uint16_t m_First = 0;
  std::uint16_t m_Offset = 0;
  int m_Claim = -1; ///< Socket that holds the first port.
};

/** Returns \p Count distinct ports that are free for TCP and UDP on 127.0.0.1.
 *  They are below Linux's default range of ephemeral ports, so the kernel
 *  assigns none of them to another socket while the program that needs it
 *  starts or restarts. No other test process gets them while this one runs, on
 *  any loopback address. */
std::vector<std::uint16_t> freePorts(std::size_t Count);

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_FREEPORTS_H
