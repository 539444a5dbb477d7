#include "cli/ConfigPublication.h"

#include "cli/BlockingHttp.h"
#include "state/Errc.h"

#include <utility>

namespace figturn {

namespace {

class Publication {
public:
  Publication(ObjectStore &Store, const QJsonObject &Merged,
              const ConfigPublisherOptions &Options)
      : m_Store(Store), m_Next{.m_Merged = Merged,
                               .m_ChangeId = Options.m_ChangeId},
        m_Publisher(Options) {}

  PublicationResult run() {
    PublishStep Step = m_Publisher.start();
    while (Step.m_Kind != PublishStep::Kind::Done)
      Step = execute(Step);
    return {.m_Step = Step, .m_Body = m_Body};
  }

private:
  PublishStep execute(const PublishStep &Step) {
    if (Step.m_Kind == PublishStep::Kind::Read)
      return read();
    if (Step.m_Kind == PublishStep::Kind::Write)
      return write(Step.m_Base);
    sleepInEventLoop(Step.m_Until - Clock::now());
    return m_Publisher.onTick(Clock::now());
  }

  PublishStep read() {
    const ObjectResult Result =
        getBlocking(m_Store, std::string(ConfigObjectPath));
    if (Result.m_Error == Errc::ObjectNotFound) {
      m_Next.m_PreviousChanges.clear();
      return m_Publisher.onRead({}, Clock::now());
    }
    if (Result.m_Error)
      return m_Publisher.onReadFailed(Clock::now());
    // A value that isn't a valid configuration object may be replaced, too.
    const ConfigObject Found =
        decodeConfigObject(Result.m_Body)
            .value_or(ConfigObject{.m_HasPreviousChanges = false});
    m_Next.m_PreviousChanges = previousChangesAfter(Found);
    if (Found.m_ChangeId == m_Next.m_ChangeId)
      m_Body = Result.m_Body;
    return m_Publisher.onRead(
        {.m_Version = ConfigVersion(Result.m_Version),
         .m_ChangeId = Found.m_ChangeId,
         .m_PreviousChanges = Found.m_PreviousChanges,
         .m_HasPreviousChanges = Found.m_HasPreviousChanges},
        Clock::now());
  }

  PublishStep write(ConfigVersion Base) {
    m_Body = encodeConfigObject(m_Next);
    const ObjectResult Result = putBlocking(
        m_Store, std::string(ConfigObjectPath), m_Body,
        Base == ConfigVersion() ? WriteCondition::ifAbsent()
                                : WriteCondition::ifVersion(Base.value()));
    return m_Publisher.onWritten(Result.m_Error,
                                 ConfigVersion(Result.m_Version), Clock::now());
  }

  ObjectStore &m_Store;
  ConfigObject m_Next;
  ConfigPublisher m_Publisher;
  std::string m_Body;
};

} // namespace

PublicationResult publishConfig(ObjectStore &Store, const QJsonObject &Merged,
                                const ConfigPublisherOptions &Options) {
  return Publication(Store, Merged, Options).run();
}

} // namespace figturn
