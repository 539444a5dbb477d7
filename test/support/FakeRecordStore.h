#ifndef FIGTURN_TEST_SUPPORT_FAKERECORDSTORE_H
#define FIGTURN_TEST_SUPPORT_FAKERECORDSTORE_H

/**
 * An in-memory implementation of the platform store operations that
 * single-run attempts use: conditional writes with one revision counter for
 * all objects. It never fails; the tests inject the faults.
 */

#include "coordination/SingleRunAttempt.h"

#include <map>
#include <string>

namespace figturn {

class FakeRecordStore {
public:
  RecordReply create(const CreateRecord &Operation) {
    const auto Found = m_Objects.find(Operation.m_Path);
    if (Found != m_Objects.end())
      return {.m_Kind = RecordReply::Kind::Conflict,
              .m_Revision = Found->second.m_Revision};
    return write(Operation.m_Path, Operation.m_Record);
  }

  RecordReply update(const UpdateRecord &Operation) {
    const auto Found = m_Objects.find(Operation.m_Path);
    if (Found == m_Objects.end() ||
        Found->second.m_Revision != Operation.m_Expected)
      return {.m_Kind = RecordReply::Kind::Conflict};
    return write(Operation.m_Path, Operation.m_Record);
  }

  RecordReply read(const ReadRecord &Operation) const {
    const auto Found = m_Objects.find(Operation.m_Path);
    if (Found == m_Objects.end())
      return {.m_Kind = RecordReply::Kind::NotFound};
    return {.m_Kind = RecordReply::Kind::Done,
            .m_Revision = Found->second.m_Revision,
            .m_Record = Found->second.m_Record};
  }

private:
  struct Object {
    SingleRunRecord m_Record;
    StoreRevision m_Revision;
  };

  RecordReply write(const std::string &Path, const SingleRunRecord &Record) {
    m_Revision = StoreRevision(m_Revision.value() + 1);
    m_Objects[Path] = {.m_Record = Record, .m_Revision = m_Revision};
    return {.m_Kind = RecordReply::Kind::Done, .m_Revision = m_Revision};
  }

  std::map<std::string, Object> m_Objects;
  StoreRevision m_Revision;
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_FAKERECORDSTORE_H
