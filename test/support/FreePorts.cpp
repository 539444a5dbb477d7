#include "support/FreePorts.h"

#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace figturn::test {

namespace {

constexpr std::uint16_t FirstPort = 10000;
constexpr std::uint16_t LastPort = 32767;
/** Ports that one process has to itself; more than its programs use at once. */
constexpr std::uint16_t BlockSize = 256;
constexpr std::uint16_t BlockCount = (LastPort + 1 - FirstPort) / BlockSize;

/** Returns a socket of \p Type bound to 127.0.0.1, or -1 if \p Port is taken.
 */
int bindSocket(int Type, std::uint16_t Port) {
  const int Descriptor = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

bool isFree(std::uint16_t Port) {
  for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int Descriptor = bindSocket(Type, Port);
    if (Descriptor < 0)
      return false;
    ::close(Descriptor);
  }
  return true;
}

} // namespace

PortBlock::PortBlock() {
  std::random_device Random;
  const std::uint32_t Start = Random();
  for (std::uint32_t I = 0; I < BlockCount; ++I) {
    m_First = static_cast<std::uint16_t>(FirstPort +
                                         (Start + I) % BlockCount * BlockSize);
    m_Claim = bindSocket(SOCK_STREAM, m_First);
    if (m_Claim >= 0)
      return;
  }
  throw std::runtime_error("all blocks of test ports are taken");
}

PortBlock::~PortBlock() { ::close(m_Claim); }

std::uint16_t PortBlock::next() {
  for (std::uint16_t I = 1; I < BlockSize; ++I) {
    m_Offset = static_cast<std::uint16_t>(m_Offset % (BlockSize - 1) + 1);
    const auto Port = static_cast<std::uint16_t>(m_First + m_Offset);
    if (isFree(Port))
      return Port;
  }
  throw std::runtime_error("no port of this process's block is free");
}

std::vector<std::uint16_t> freePorts(std::size_t Count) {
  static PortBlock Block;
  std::vector<std::uint16_t> Ports;
  while (Ports.size() < Count)
    Ports.push_back(Block.next());
  return Ports;
}

} // namespace figturn::test
