#include "node/GossipSocket.h"

#include "protocol/GossipCodec.h"
#include "protocol/SettingsCodec.h"

#include <QHostAddress>
#include <QNetworkDatagram>

namespace figturn {

namespace {

/** Between rounds; five rounds pass before a VM is taken for lost. */
constexpr milliseconds RoundInterval{400};

} // namespace

GossipSocket::GossipSocket(FleetView &Fleet, std::function<void()> OnChange,
                           QObject *Parent)
    : QObject(Parent), m_Fleet(Fleet), m_OnChange(std::move(OnChange)),
      m_Socket(this), m_Timer(this) {
  connect(&m_Socket, &QUdpSocket::readyRead, this, [this] { receive(); });
  connect(&m_Timer, &QTimer::timeout, this, [this] {
    send(m_Fleet.beginRound(Clock::now()));
    m_OnChange();
  });
}

std::error_code GossipSocket::open(const std::string &Address) {
  const auto Where = parseSocketAddress(Address);
  if (!Where || !m_Socket.bind(
                    QHostAddress(QString::fromStdString(Where->m_Host)),
                    Where->m_Port))
    return std::make_error_code(std::errc::address_not_available);
  m_Timer.start(RoundInterval);
  send(m_Fleet.beginRound(Clock::now()));
  return {};
}

void GossipSocket::announce() { send(m_Fleet.announce(Clock::now())); }

void GossipSocket::send(const GossipMessage &Message) {
  const QByteArray Bytes =
      QByteArray::fromStdString(encodeGossip(Message.m_Records));
  for (const std::string &Address : Message.m_To)
    if (const auto To = parseSocketAddress(Address))
      // A datagram that can't be sent is one lost; the next round repeats it.
      m_Socket.writeDatagram(
          Bytes, QHostAddress(QString::fromStdString(To->m_Host)), To->m_Port);
}

void GossipSocket::receive() {
  while (m_Socket.hasPendingDatagrams()) {
    const QByteArray Bytes = m_Socket.receiveDatagram().data();
    if (const auto Records = decodeGossip(
            {Bytes.constData(), static_cast<std::size_t>(Bytes.size())}))
      m_Fleet.receive(*Records, Clock::now());
  }
  m_OnChange();
}

} // namespace figturn
