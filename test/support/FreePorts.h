#ifndef FIGTURN_TEST_SUPPORT_FREEPORTS_H
#define FIGTURN_TEST_SUPPORT_FREEPORTS_H

/** Ports for programs that a test starts. */

#include <QTcpServer>

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace figturn::test {

/** Returns \p Count distinct TCP ports that are free on 127.0.0.1. They are
 *  below Linux's default range of ephemeral ports, so the kernel assigns none
 *  of them to another socket while the program that needs it starts or
 *  restarts. */
inline std::vector<std::uint16_t> freePorts(std::size_t Count) {
  constexpr std::uint16_t FirstPort = 10000;
  constexpr std::uint16_t LastPort = 32767;
  std::random_device Random;
  std::uniform_int_distribution<std::uint16_t> AnyPort(FirstPort, LastPort);
  std::vector<std::unique_ptr<QTcpServer>> Servers;
  std::vector<std::uint16_t> Ports;
  while (Ports.size() < Count) {
    auto Server = std::make_unique<QTcpServer>();
    if (!Server->listen(QHostAddress::LocalHost, AnyPort(Random)))
      continue;
    Ports.push_back(Server->serverPort());
    // Listens until all ports are chosen, so that none is chosen twice.
    Servers.push_back(std::move(Server));
  }
  return Ports;
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_FREEPORTS_H
