/** Compressed documents, also those that are not what they seem. */

#include "protocol/Compression.h"

#include <boost/test/unit_test.hpp>

using namespace figturn;

BOOST_AUTO_TEST_SUITE(CompressionTest)

BOOST_AUTO_TEST_CASE(Text_compressed_isRestored) {
  const std::string Text(100000, 'x');
  const std::string Bytes = compress(Text);
  BOOST_TEST(Bytes.size() < 2000U);
  BOOST_TEST((decompress(Bytes, Text.size()) == Text));
}

BOOST_AUTO_TEST_CASE(Text_longerThanAllowed_isRefused) {
  const std::string Bytes = compress(std::string(100000, 'x'));
  BOOST_TEST(!decompress(Bytes, 99999));
}

BOOST_AUTO_TEST_CASE(Bytes_thatWereNotCompressed_areRefused) {
  const std::string Truncated = compress("some text").substr(0, 10);
  for (const std::string &Bytes :
       {std::string(), std::string("{}"), std::string("{\"a\": 1}"),
        std::string("\0\0\0\1garbage", 11), Truncated})
    BOOST_TEST(!decompress(Bytes, 1000));
}

BOOST_AUTO_TEST_SUITE_END()
