#ifndef FIGTURN_TEST_SUPPORT_QTAPPLICATION_H
#define FIGTURN_TEST_SUPPORT_QTAPPLICATION_H

/** Creates the QCoreApplication that Qt event loops need. */

#include <QCoreApplication>

namespace figturn::test {

/** Creates the application object if there is none yet. */
inline void ensureQtApplication() {
  if (QCoreApplication::instance())
    return;
  static int Count = 1;
  static char Name[] = "figturn-tests";
  static char *Arguments[] = {Name, nullptr};
  static QCoreApplication Application(Count, Arguments);
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_QTAPPLICATION_H
