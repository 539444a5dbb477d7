#include "protocol/Compression.h"

#include <QByteArray>
#include <QtEndian>

namespace figturn {

namespace {

/** The fastest level, as VMs have little processor time. */
constexpr int Level = 1;

/** Size of the number that qCompress() puts first: the length of the text. */
constexpr std::size_t LengthBytes = sizeof(quint32);

QByteArray view(std::string_view Bytes) {
  return QByteArray::fromRawData(Bytes.data(),
                                 static_cast<qsizetype>(Bytes.size()));
}

} // namespace

std::string compress(std::string_view Text) {
  return qCompress(view(Text), Level).toStdString();
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes) {
  // qUncompress() allocates the length that it finds.
  if (Bytes.size() <= LengthBytes ||
      qFromBigEndian<quint32>(Bytes.data()) > MaxBytes)
    return std::nullopt;
  const QByteArray Text = qUncompress(view(Bytes));
  if (Text.isNull())
    return std::nullopt;
  return Text.toStdString();
}

} // namespace figturn
