/** Changes between versions of a document. */

#include "protocol/DocumentHistory.h"

#include <QJsonArray>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <random>

using namespace figturn;

namespace {

QJsonObject makeEntry(const char *Name, int Value) {
  return {{"name", Name}, {"value", Value}};
}

QJsonObject makeDocument(int Version, std::initializer_list<QJsonObject> List) {
  QJsonArray Entries;
  for (const QJsonObject &Each : List)
    Entries.append(Each);
  return {{"version", Version}, {"entries", Entries}};
}

struct Fixture {
  DocumentHistory m_Source{{.m_ListField = "entries", .m_NameField = "name"}};
  DocumentHistory m_Copy{{.m_ListField = "entries", .m_NameField = "name"}};

  /** Brings the copy up to date by changes; false if that isn't possible. */
  bool update() {
    const auto Changes = m_Source.changesSince(m_Copy.version());
    const auto Document = Changes ? m_Copy.apply(*Changes) : std::nullopt;
    if (Document)
      m_Copy.set(m_Source.version(), *Document);
    return Document.has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DocumentHistoryTest, Fixture)

BOOST_AUTO_TEST_CASE(Entries_addedChangedAndRemoved_areApplied) {
  const auto First = makeDocument(
      1, {makeEntry("a", 1), makeEntry("b", 1), makeEntry("c", 1)});
  const auto Second = makeDocument(
      4, {makeEntry("a", 1), makeEntry("b", 2), makeEntry("d", 1)});
  m_Source.set(1, First);
  m_Copy.set(1, First);
  m_Source.set(4, Second);
  const auto Changes = m_Source.changesSince(1);
  BOOST_REQUIRE(Changes);
  BOOST_TEST(Changes->value("changed").toArray().size() == 2);
  BOOST_TEST(Changes->value("removed").toArray().size() == 1);
  BOOST_TEST(update());
  BOOST_TEST((m_Copy.document() == Second));
}

// A source that has missed the version which added an entry can't tell that it
// was removed again.
BOOST_AUTO_TEST_CASE(Base_thatSourceNeverHad_hasNoChanges) {
  m_Source.set(1, makeDocument(1, {makeEntry("a", 1)}));
  m_Source.set(4, makeDocument(4, {makeEntry("a", 2)}));
  m_Copy.set(3, makeDocument(3, {makeEntry("a", 1), makeEntry("b", 1)}));
  BOOST_TEST(!m_Source.changesSince(3));
  BOOST_TEST(!m_Source.changesSince(0));
}

BOOST_AUTO_TEST_CASE(Changes_ofOtherBaseOrIncomplete_areNotApplied) {
  m_Source.set(1, makeDocument(1, {makeEntry("a", 1)}));
  m_Source.set(2, makeDocument(2, {makeEntry("a", 2)}));
  m_Copy.set(2, makeDocument(2, {makeEntry("a", 2)}));
  const auto Changes = m_Source.changesSince(1);
  BOOST_REQUIRE(Changes);
  BOOST_TEST(!m_Copy.apply(*Changes));
  m_Copy.set(3, makeDocument(3, {makeEntry("a", 2)}));
  QJsonObject Incomplete = *Changes;
  Incomplete["base"] = 3;
  Incomplete["count"] = 2;
  BOOST_TEST(!m_Copy.apply(Incomplete));
  BOOST_TEST(!m_Copy.apply({}));
}

BOOST_AUTO_TEST_CASE(Entries_withoutUniqueNames_haveNoChanges) {
  const auto Twice = makeDocument(1, {makeEntry("a", 1), makeEntry("a", 2)});
  m_Source.set(1, Twice);
  BOOST_TEST(!m_Source.changesSince(1));
  BOOST_TEST((m_Source.document() == Twice));
  m_Source.set(2, makeDocument(2, {makeEntry("a", 1)}));
  BOOST_TEST(!m_Source.changesSince(1));
}

BOOST_AUTO_TEST_CASE(History_ofManyVersions_isBounded) {
  DocumentHistory Bounded(
      {.m_ListField = "entries", .m_NameField = "name", .m_MaxVersions = 3});
  for (int Version = 1; Version <= 5; ++Version)
    Bounded.set(static_cast<std::uint64_t>(Version),
                makeDocument(Version, {makeEntry("a", Version)}));
  BOOST_TEST(!Bounded.changesSince(2));
  BOOST_TEST(Bounded.changesSince(3).has_value());
}

BOOST_AUTO_TEST_CASE(RandomVersions_copiedWithGaps_areEqual) {
  std::minstd_rand Random(7);
  std::map<QString, int> Entries;
  for (int Version = 1; Version <= 400; ++Version) {
    const QString Name = QString::number(Random() % 12);
    if (Random() % 3 == 0)
      Entries.erase(Name);
    else
      Entries[Name] = static_cast<int>(Random() % 4);
    QJsonArray List;
    for (const auto &[Key, Value] : Entries)
      List.append(QJsonObject{{"name", Key}, {"value", Value}});
    const QJsonObject Document{{"version", Version}, {"entries", List}};
    m_Source.set(static_cast<std::uint64_t>(Version), Document);
    if (Random() % 4 != 0)
      continue;
    if (!update())
      m_Copy.set(m_Source.version(), m_Source.document());
    BOOST_REQUIRE((m_Copy.document() == Document));
  }
}

BOOST_AUTO_TEST_SUITE_END()
