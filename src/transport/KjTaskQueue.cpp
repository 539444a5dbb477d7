#include "transport/KjTaskQueue.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace figturn {

KjTaskQueue::KjTaskQueue()
    : m_WakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

KjTaskQueue::~KjTaskQueue() { ::close(m_WakeDescriptor); }

void KjTaskQueue::post(std::function<void()> Task) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return;
  m_Tasks.push_back(std::move(Task));
  if (m_Tasks.size() > 1)
    return; // The loop is already woken for the first task.
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      ::write(m_WakeDescriptor, &One, sizeof One);
}

void KjTaskQueue::close() {
  const std::lock_guard Lock(m_Mutex);
  m_Closed = true;
  m_Tasks.clear();
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      ::write(m_WakeDescriptor, &One, sizeof One);
}

std::vector<std::function<void()>> KjTaskQueue::takeTasks() {
  const std::lock_guard Lock(m_Mutex);
  return std::exchange(m_Tasks, {});
}

kj::Promise<void> KjTaskQueue::run(kj::UnixEventPort &Port) {
  auto Observer = kj::heap<kj::UnixEventPort::FdObserver>(
      Port, m_WakeDescriptor, kj::UnixEventPort::FdObserver::OBSERVE_READ);
  auto &Ref = *Observer;
  return runPostedTasks(Ref).attach(kj::mv(Observer));
}

kj::Promise<void>
KjTaskQueue::runPostedTasks(kj::UnixEventPort::FdObserver &Observer) {
  return Observer.whenBecomesReadable().then([this, &Observer]() {
    std::uint64_t Count = 0;
    [[maybe_unused]] const auto Read =
        ::read(m_WakeDescriptor, &Count, sizeof Count);
    for (auto &Task : takeTasks())
      Task();
    {
      const std::lock_guard Lock(m_Mutex);
      if (m_Closed)
        return kj::Promise<void>(kj::READY_NOW);
    }
    return runPostedTasks(Observer);
  });
}

} // namespace figturn
