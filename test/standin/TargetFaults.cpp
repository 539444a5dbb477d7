#include "standin/TargetFaults.h"

#include <algorithm>

namespace figturn::standin {

namespace {

void applyCount(const QJsonObject &Control, const char *Key,
                FaultCounter &Fault) {
  if (Control.contains(Key))
    Fault.set(static_cast<std::uint32_t>(Control[Key].toInteger()));
}

void applyText(const QJsonObject &Control, const char *Key, std::string &Text) {
  if (Control.contains(Key))
    Text = Control[Key].toString().toStdString();
}

} // namespace

void TargetFaults::apply(const QJsonObject &Control) {
  if (Control.contains("delayMs"))
    m_Delay = milliseconds(Control["delayMs"].toInteger());
  if (Control.contains("delayEvery"))
    m_DelayEvery = static_cast<std::uint32_t>(
        std::max<qint64>(1, Control["delayEvery"].toInteger()));
  applyCount(Control, "truncateNext", m_Truncate);
  applyCount(Control, "swapNext", m_Swap);
  applyCount(Control, "closeBeforeReplyNext", m_CloseBeforeReply);
  applyCount(Control, "closeAfterRunNext", m_CloseAfterRun);
  applyCount(Control, "shedNext", m_Shed);
  if (Control.contains("drain"))
    m_IsDraining = Control["drain"].toBool();
  applyText(Control, "crashOnText", m_CrashOnText);
  applyText(Control, "crashOnRecord", m_CrashOnRecord);
  applyText(Control, "lieHealth", m_ReportedHealthState);
}

} // namespace figturn::standin
