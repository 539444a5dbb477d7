#include "transport/HttpCodec.h"

// Beast asserts that the last chunk has at least five bytes, but a body
// received byte by byte can end in the four bytes "0\r\n\r", which the parser
// handles correctly.
#define BOOST_DISABLE_ASSERTS

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace figturn {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/** Maximum bytes of a reply's head, and of any line of a reply. */
constexpr std::size_t ReplyHeadLimit = 65536;

/** Bytes charged for each part of a message, as a stand-in for the time that it
 *  takes: a body of many small chunks costs more than a body of one. */
constexpr std::size_t PartBytes = 8;

/** The statuses that HTTP defines (RFC 9110, section 15). The parser accepts
 *  any three digits. */
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

bool isHttpStatus(unsigned Status) {
  return Status >= MinStatus && Status <= MaxStatus;
}

beast::string_view toBeastView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string toStdString(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

HttpHeaders copyHeaders(const http::fields &Fields) {
  HttpHeaders Headers;
  for (const auto &Field : Fields)
    Headers.emplace_back(toStdString(Field.name_string()),
                         toStdString(Field.value()));
  return Headers;
}

RequestDefect defectOfParseError(beast::error_code Error) {
  static const std::map<http::error, RequestDefect> Defects{
      {http::error::header_limit, RequestDefect::HeaderTooLarge},
      {http::error::body_limit, RequestDefect::BodyTooLarge},
      {http::error::bad_method, RequestDefect::BadRequestLine},
      {http::error::bad_target, RequestDefect::BadRequestLine},
      {http::error::bad_version, RequestDefect::BadRequestLine},
      {http::error::bad_content_length, RequestDefect::BadBodyLength},
      {http::error::bad_transfer_encoding, RequestDefect::BadBodyLength},
      {http::error::bad_chunk, RequestDefect::BadChunk},
      {http::error::bad_chunk_extension, RequestDefect::BadChunk}};
  for (const auto &[Each, Defect] : Defects)
    if (Error == Each)
      return Defect;
  return RequestDefect::BadHeader;
}

/** Whether the body of a request can be delimited and decoded by its transfer
 *  codings (RFC 9112, sections 6.1 and 6.3). The parser takes a request for
 *  which it can't for one without a body. */
RequestDefect defectOfTransferCodings(const http::fields &Fields) {
  const auto [Begin, End] = Fields.equal_range(http::field::transfer_encoding);
  if (Begin == End)
    return RequestDefect::None;
  std::size_t Count = 0;
  bool IsChunkedLast = false;
  for (auto Field = Begin; Field != End; ++Field)
    for (const auto Coding : http::token_list(Field->value())) {
      ++Count;
      IsChunkedLast = beast::iequals(Coding, "chunked");
    }
  if (!IsChunkedLast)
    return RequestDefect::BadBodyLength;
  return Count == 1 ? RequestDefect::None : RequestDefect::UnknownCoding;
}

/** Rewrites a target in absolute form, whose authority goes before the Host
 *  header (RFC 9112, section 3.2.2), to the origin form. */
void useOriginForm(http::request<http::string_body> &Message) {
  constexpr std::string_view Scheme = "http://";
  const std::string Target = toStdString(Message.target());
  if (!beast::iequals(toBeastView(Target.substr(0, Scheme.size())),
                      toBeastView(Scheme)))
    return;
  const std::size_t End =
      std::min(Target.find_first_of("/?", Scheme.size()), Target.size());
  const std::string Path = Target.substr(End);
  Message.set(http::field::host,
              Target.substr(Scheme.size(), End - Scheme.size()));
  Message.target(Path.starts_with('/') ? Path : "/" + Path);
}

/** Replaces line breaks in a header field, to prevent header injection. */
std::string replaceLineBreaks(std::string Value) {
  std::replace(Value.begin(), Value.end(), '\r', ' ');
  std::replace(Value.begin(), Value.end(), '\n', ' ');
  return Value;
}

template <bool IsRequest>
std::string serialize(http::message<IsRequest, http::string_body> &Message) {
  http::serializer<IsRequest, http::string_body> Serializer(Message);
  std::string Bytes;
  beast::error_code Error;
  while (!Serializer.is_done() && !Error) {
    Serializer.next(Error, [&](beast::error_code &, const auto &Buffers) {
      for (auto Part : beast::buffers_range_ref(Buffers))
        Bytes.append(static_cast<const char *>(Part.data()), Part.size());
      Serializer.consume(boost::asio::buffer_size(Buffers));
    });
  }
  return Bytes;
}

/** Feeds \p StreamParser until it needs more bytes than are available, and adds
 *  the number of parts to \p PartCount. The
 *  parser isn't set to eager mode, because in that mode it loses the body limit
 *  error found in the header once it continues with the body. */
template <typename Parser>
std::size_t feedParser(Parser &StreamParser, std::string_view Bytes,
                       std::size_t &PartCount, beast::error_code &Error) {
  std::size_t TotalConsumed = 0;
  while (TotalConsumed < Bytes.size() && !StreamParser.is_done()) {
    const boost::asio::const_buffer Rest(Bytes.data() + TotalConsumed,
                                         Bytes.size() - TotalConsumed);
    const std::size_t Consumed = StreamParser.put(Rest, Error);
    TotalConsumed += Consumed;
    ++PartCount;
    if (Error || Consumed == 0)
      break;
  }
  if (Error == http::error::need_more)
    Error = {};
  return TotalConsumed;
}

} // namespace

std::string_view requestDefectName(RequestDefect Defect) {
  switch (Defect) {
  case RequestDefect::BadRequestLine:
    return "bad-request-line";
  case RequestDefect::BadHeader:
    return "bad-header";
  case RequestDefect::BadBodyLength:
    return "bad-body-length";
  case RequestDefect::UnknownCoding:
    return "unknown-transfer-coding";
  case RequestDefect::BadChunk:
    return "bad-chunk";
  case RequestDefect::HeaderTooLarge:
    return "header-too-large";
  case RequestDefect::BodyPartTooLarge:
    return "body-part-too-large";
  case RequestDefect::BodyTooLarge:
    return "body-too-large";
  case RequestDefect::None:
    break;
  }
  return "none";
}

unsigned requestDefectStatus(RequestDefect Defect) {
  switch (Defect) {
  case RequestDefect::None:
    return 0;
  case RequestDefect::UnknownCoding:
    return 501;
  case RequestDefect::HeaderTooLarge:
  case RequestDefect::BodyPartTooLarge:
    return 431;
  case RequestDefect::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

struct HttpRequestReader::Parser {
  http::request_parser<http::string_body> m_Parser;
};

HttpRequestReader::HttpRequestReader(std::size_t HeaderLimit,
                                     std::size_t BodyLimit)
    : m_HeaderLimit(HeaderLimit), m_BodyLimit(BodyLimit) {}

HttpRequestReader::~HttpRequestReader() = default;

std::size_t HttpRequestReader::feed(std::string_view Bytes) {
  std::size_t Skipped = 0;
  if (!m_Parser) {
    // Some clients send an extra line break after a body, which the
    // Content-Length doesn't include.
    while (Skipped < Bytes.size() &&
           (Bytes[Skipped] == '\r' || Bytes[Skipped] == '\n'))
      ++Skipped;
    if (Skipped == Bytes.size())
      return Skipped;
    m_Parser = std::make_unique<Parser>();
    m_PartCount = 0;
    m_Parser->m_Parser.header_limit(static_cast<std::uint32_t>(m_HeaderLimit));
    m_Parser->m_Parser.body_limit(m_BodyLimit);
  }
  beast::error_code Error;
  const auto Rest = Bytes.substr(Skipped);
  const std::size_t Consumed =
      feedParser(m_Parser->m_Parser, Rest, m_PartCount, Error);
  if (Error)
    m_Defect = defectOfParseError(Error);
  else if (!m_Parser->m_Parser.is_done() &&
           Rest.size() - Consumed >= m_HeaderLimit)
    // What the parser leaves is part of a header, of a chunk's first line or of
    // trailers, none of which it limits after the header.
    m_Defect = m_Parser->m_Parser.is_header_done()
                   ? RequestDefect::BodyPartTooLarge
                   : RequestDefect::HeaderTooLarge;
  else if (m_Parser->m_Parser.is_header_done())
    m_Defect = defectOfTransferCodings(m_Parser->m_Parser.get());
  return Skipped + Consumed;
}

bool HttpRequestReader::isComplete() const {
  return m_Parser && m_Parser->m_Parser.is_done();
}

bool HttpRequestReader::wantsContinue() const {
  if (!m_Parser || !m_Parser->m_Parser.is_header_done() ||
      m_Parser->m_Parser.is_done())
    return false;
  const auto &Message = m_Parser->m_Parser.get();
  return beast::iequals(Message[http::field::expect], "100-continue");
}

std::size_t HttpRequestReader::heldBytes() const {
  if (!m_Parser)
    return 0;
  // The fields are stored when the header is complete.
  const auto &Message = m_Parser->m_Parser.get();
  const auto FieldCount =
      static_cast<std::size_t>(std::distance(Message.begin(), Message.end()));
  return Message.body().capacity() + FieldCount * HeaderFieldBytes +
         m_PartCount * PartBytes;
}

std::string HttpRequestReader::target() const {
  if (!m_Parser || !m_Parser->m_Parser.is_header_done())
    return {};
  return toStdString(m_Parser->m_Parser.get().target());
}

void HttpRequestReader::discard() { m_Parser.reset(); }

bool HttpRequestReader::isKeepAlive() const {
  return m_Parser && m_Parser->m_Parser.get().keep_alive();
}

HttpRequest HttpRequestReader::takeMessage() {
  auto Message = m_Parser->m_Parser.release();
  m_Parser.reset();
  useOriginForm(Message);
  const std::string Target = toStdString(Message.target());
  const std::size_t QueryMark = Target.find('?');
  return {.m_Method = toStdString(Message.method_string()),
          .m_Target = Target,
          .m_Path = Target.substr(0, QueryMark),
          .m_Query = QueryMark == std::string::npos
                         ? ""
                         : Target.substr(QueryMark + 1),
          .m_Headers = copyHeaders(Message),
          .m_Body = std::move(Message.body())};
}

struct HttpReplyReader::Parser {
  http::response_parser<http::string_body> m_Parser;
};

HttpReplyReader::HttpReplyReader(std::size_t BodyLimit)
    : m_BodyLimit(BodyLimit) {}

HttpReplyReader::~HttpReplyReader() = default;

std::size_t HttpReplyReader::feed(std::string_view Bytes) {
  if (!m_Parser) {
    m_Parser = std::make_unique<Parser>();
    m_Parser->m_Parser.header_limit(ReplyHeadLimit);
    m_Parser->m_Parser.body_limit(m_BodyLimit);
    m_Parser->m_Parser.skip(m_NoBody);
  }
  beast::error_code Error;
  std::size_t PartCount = 0;
  const std::size_t Consumed =
      feedParser(m_Parser->m_Parser, Bytes, PartCount, Error);
  // The parser consumes whole lines and bodies only. What it leaves is part of
  // a line, which may have no end.
  const bool IsLineTooLong = !m_Parser->m_Parser.is_done() &&
                             Bytes.size() - Consumed >= ReplyHeadLimit;
  const bool IsStatusInvalid =
      m_Parser->m_Parser.is_header_done() &&
      !isHttpStatus(m_Parser->m_Parser.get().result_int());
  m_Failed = m_Failed || Error || IsLineTooLong || IsStatusInvalid;
  return Consumed;
}

void HttpReplyReader::feedEof() {
  if (!m_Parser)
    return;
  beast::error_code Error;
  m_Parser->m_Parser.put_eof(Error);
  m_Failed = m_Failed || Error;
}

bool HttpReplyReader::isComplete() const {
  return m_Parser && !m_Failed && m_Parser->m_Parser.is_done();
}

std::size_t HttpReplyReader::bodySize() const {
  return m_Parser ? m_Parser->m_Parser.get().body().size() : 0;
}

HttpReply HttpReplyReader::takeMessage() {
  auto Message = m_Parser->m_Parser.release();
  m_Parser.reset();
  m_NoBody = m_NoBody && Message.result_int() < 200;
  return {.m_Status = Message.result_int(),
          .m_Headers = copyHeaders(Message),
          .m_Body = std::move(Message.body()),
          .m_KeepAlive = Message.keep_alive()};
}

std::string serializeResponse(const HttpResponse &Response,
                              ResponseFraming Framing) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.m_Status);
  for (const auto &[Name, Value] : Response.m_Headers)
    Message.insert(toBeastView(replaceLineBreaks(Name)),
                   toBeastView(replaceLineBreaks(Value)));
  if (Framing.m_Close)
    Message.keep_alive(false);
  const bool HasBody = Response.m_Status >= 200 && Response.m_Status != 204 &&
                       Response.m_Status != 304;
  if (HasBody) {
    if (!Response.m_ContentType.empty())
      Message.set(http::field::content_type,
                  replaceLineBreaks(Response.m_ContentType));
    Message.content_length(Response.m_Body.size());
  }
  std::string Bytes = serialize(Message);
  // Long bodies are not copied into the message first.
  if (HasBody && !Framing.m_OmitBody)
    Bytes += Response.m_Body;
  return Bytes;
}

std::string serializeRequest(std::string_view Method, std::string_view Target,
                             std::string_view Host, std::string_view Body) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(toBeastView(Method));
  Message.target(toBeastView(Target));
  Message.set(http::field::host, toBeastView(Host));
  if (!Body.empty() || Method != "GET") {
    Message.set(http::field::content_type, "application/json");
    Message.content_length(Body.size());
    Message.body().assign(Body);
  }
  return serialize(Message);
}

} // namespace figturn
