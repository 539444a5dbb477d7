#include "node/GossipSocket.h"

#include "protocol/GossipCodec.h"
#include "protocol/SettingsCodec.h"
#include "state/Event.h"

#include <QHostAddress>
#include <QNetworkDatagram>

namespace figturn {

GossipSocket::GossipSocket(FleetView &Fleet, CrashQuarantine &Crashes,
                           QObject *Parent)
    : QObject(Parent), m_Fleet(Fleet), m_Crashes(Crashes), m_Socket(this),
      m_Timer(this) {
  connect(&m_Socket, &QUdpSocket::readyRead, this, [this] { receive(); });
  m_Timer.setSingleShot(true);
  connect(&m_Timer, &QTimer::timeout, this, [this] { beginRound(); });
}

std::error_code GossipSocket::open(const std::string &Address) {
  const auto Parsed = parseSocketAddress(Address);
  if (!Parsed ||
      !m_Socket.bind(QHostAddress(QString::fromStdString(Parsed->m_Host)),
                     Parsed->m_Port))
    return std::make_error_code(std::errc::address_not_available);
  beginRound();
  return {};
}

void GossipSocket::beginRound() {
  const TimePoint Now = Clock::now();
  send(m_Fleet.beginRound(m_Crashes, Now));
  m_Timer.start(std::chrono::ceil<milliseconds>(m_Fleet.roundInterval(Now)));
}

void GossipSocket::announce() { send(m_Fleet.announce(Clock::now())); }

void GossipSocket::send(const GossipMessage &Message) {
  const QByteArray Bytes =
      QByteArray::fromStdString(encodeGossip(Message.m_Payload));
  for (const std::string &Address : Message.m_Receivers)
    if (const auto Destination = parseSocketAddress(Address))
      // A failed send is treated as a lost datagram: the next round repeats it.
      m_Socket.writeDatagram(
          Bytes, QHostAddress(QString::fromStdString(Destination->m_Host)),
          Destination->m_Port);
}

void GossipSocket::receive() {
  while (m_Socket.hasPendingDatagrams()) {
    const QByteArray Bytes = m_Socket.receiveDatagram().data();
    const auto Payload = decodeGossip(
        {Bytes.constData(), static_cast<std::size_t>(Bytes.size())});
    if (!Payload)
      continue;
    const TimePoint Now = Clock::now();
    m_Fleet.receive(*Payload, Now);
    for (const CrashRecord &Each : Payload->m_Crashes)
      if (m_Crashes.mergeRecord(Each, Now))
        logEvent(Event::RequestQuarantined,
                 "fingerprint={:016x} crashes={} left_s={} learned_from_vm={}",
                 Each.m_Request.value(), m_Crashes.crashes(Each.m_Request, Now),
                 std::chrono::duration_cast<seconds>(Each.m_Remaining).count(),
                 Payload->m_Records.front().m_Vm);
  }
}

} // namespace figturn
