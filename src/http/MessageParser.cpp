#include "http/MessageParser.h"

#include "http/BodyFraming.h"
#include "http/FieldSyntax.h"
#include "http/LineBreakCheck.h"
#include "http/MessageBytes.h"
#include "http/StatusLineCheck.h"

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// A stated length is not trusted with more memory than this before its bytes
// arrive.
constexpr std::uint64_t kMaxReserved = 256U << 10U;
constexpr std::size_t kEmptyLine = 2;

} // namespace

struct MessageParser::Impl
{
  MessageSide side;
  ParserLimits limits;
  http_parser parser{};
  HttpMessage message;
  /** For answers only. */
  StatusLineCheck statusLine;
  std::string fieldName;
  std::string fieldValue;
  bool inValue = false;
  bool started = false;
  bool headDone = false;
  bool whole = false;
  bool noBody = false;
  /** Whether the next byte belongs to the head or to the trailer. */
  bool inFields = true;
  /** Whether a line of the chunks' framing has just ended. */
  bool endsLine = false;
  LineBreakCheck lineBreaks;
  /** Bytes of the head and of the trailer. */
  std::size_t headBytes = 0;
  ParseFailure failure = ParseFailure::kNone;

  Impl(MessageSide aSide, const ParserLimits& aLimits)
    : side(aSide)
    , limits(aLimits)
  {
    Start();
  }

  void Start()
  {
    http_parser_init(
      &parser, side == MessageSide::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    message = HttpMessage();
    statusLine = StatusLineCheck();
    fieldName.clear();
    fieldValue.clear();
    inValue = false;
    started = headDone = whole = noBody = false;
    inFields = true;
    endsLine = false;
    lineBreaks = LineBreakCheck();
    headBytes = 0;
    failure = ParseFailure::kNone;
  }

  int Refuse(ParseFailure aFailure)
  {
    failure = aFailure;
    return -1;
  }

  /** False if the field is malformed. */
  bool EndField()
  {
    // http_parser takes blanks in names, and a name with a blank behind it for
    // the name itself: other readers would frame the message differently.
    if (side == MessageSide::kAnswer &&
        (!IsFieldName(fieldName) || !IsFieldValue(fieldValue))) {
      return false;
    }
    // A field of the trailer says nothing about the head (RFC 9110 6.5.1).
    if (!fieldName.empty() && !headDone) {
      message.head.fields.Add(std::move(fieldName), std::move(fieldValue));
    }
    fieldName.clear();
    fieldValue.clear();
    inValue = false;
    return true;
  }

  /** Ends the last field of the head or of the trailer, if there is one. */
  bool EndLastField() { return (!inValue && fieldName.empty()) || EndField(); }

  int OnTarget(const char* aBytes, std::size_t aCount)
  {
    message.head.target.append(aBytes, aCount);
    return 0;
  }

  int OnFieldName(const char* aBytes, std::size_t aCount)
  {
    if (inValue && !EndField()) {
      return Refuse(ParseFailure::kMalformed);
    }
    fieldName.append(aBytes, aCount);
    return 0;
  }

  int OnFieldValue(const char* aBytes, std::size_t aCount)
  {
    inValue = true;
    fieldValue.append(aBytes, aCount);
    return 0;
  }

  int OnHead()
  {
    if (!EndLastField()) {
      return Refuse(ParseFailure::kMalformed);
    }
    headDone = true;
    // Stops in front of the line break that ends the head, which counts too.
    inFields = false;
    ++headBytes;
    http_parser_pause(&parser, 1);
    HttpHead& head = message.head;
    head.keepAlive = http_should_keep_alive(&parser) != 0;
    if (side == MessageSide::kRequest) {
      head.method = http_method_str(static_cast<http_method>(parser.method));
      if (parser.method == HTTP_CONNECT) {
        return Refuse(ParseFailure::kMalformed);
      }
    } else {
      head.status = parser.status_code;
      if (head.status == 101) {
        return Refuse(ParseFailure::kMalformed);
      }
      // Such an answer ends with its head, whatever its fields say (RFC 9112
      // section 6.3); http_parser reads a body if they state one.
      noBody |= StatusHasNoBody(head.status);
      if (!noBody && !HasClearFraming(head.fields)) {
        return Refuse(ParseFailure::kMalformed);
      }
    }
    const bool sized = (parser.flags & F_CONTENTLENGTH) != 0;
    if (sized && !noBody && parser.content_length > limits.maxBody.value()) {
      return Refuse(ParseFailure::kBodyTooLarge);
    }
    if (sized && !noBody) {
      message.body.reserve(
        std::min<std::uint64_t>(parser.content_length, kMaxReserved));
    }
    return noBody ? 1 : 0;
  }

  int OnBody(const char* aBytes, std::size_t aCount)
  {
    if (message.body.size() + aCount > limits.maxBody.value()) {
      return Refuse(ParseFailure::kBodyTooLarge);
    }
    if (limits.budget && !Charge(ByteCount(aCount))) {
      return Refuse(ParseFailure::kNoMemory);
    }
    message.body.append(aBytes, aCount);
    return 0;
  }

  /** Stops behind a line of the framing, so that its end can be checked. */
  void EndLine()
  {
    if (side == MessageSide::kAnswer) {
      endsLine = true;
      http_parser_pause(&parser, 1);
    }
  }

  /** The chunk without content is followed by the trailer. */
  int OnChunk()
  {
    EndLine();
    if (parser.content_length == 0) {
      inFields = true;
      // The empty line that ends the message is no part of the trailer.
      headBytes -= kEmptyLine;
      http_parser_pause(&parser, 1);
    }
    return 0;
  }

  int OnChunkEnd()
  {
    // http_parser reports the end of the trailer as one, too.
    if (!inFields) {
      EndLine();
    }
    return 0;
  }

  bool Charge(ByteCount aBytes)
  {
    if (message.charge) {
      return message.charge->Grow(aBytes);
    }
    message.charge = BufferCharge::Make(limits.budget, aBytes);
    return message.charge != nullptr;
  }

  int OnWhole()
  {
    if (!EndLastField()) {
      return Refuse(ParseFailure::kMalformed);
    }
    whole = true;
    http_parser_pause(&parser, 1);
    return 0;
  }

  bool Continues() const { return !whole && failure == ParseFailure::kNone; }

  /**
   * Reads up to the end of the head, of the chunks or of the message, whichever
   * is first, in an answer also up to the end of a line of the chunks' framing;
   * returns the bytes taken. Stopping there keeps the bytes of fields
   * apart from the framing of chunks that arrives in the same read.
   */
  std::size_t ReadPart(std::string_view aBytes);
  void CheckLineBreaks(std::string_view aTaken, bool aFields);
  std::size_t Execute(const char* aBytes, std::size_t aCount);
};

namespace {

template<class Impl>
Impl& Self(http_parser* aParser)
{
  return *static_cast<Impl*>(aParser->data);
}

template<class Impl, int (Impl::*kMethod)()>
int Notify(http_parser* aParser)
{
  return (Self<Impl>(aParser).*kMethod)();
}

template<class Impl, int (Impl::*kMethod)(const char*, std::size_t)>
int Data(http_parser* aParser, const char* aBytes, std::size_t aCount)
{
  return (Self<Impl>(aParser).*kMethod)(aBytes, aCount);
}

template<class Impl>
http_parser_settings MakeCallbacks()
{
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_url = &Data<Impl, &Impl::OnTarget>;
  callbacks.on_header_field = &Data<Impl, &Impl::OnFieldName>;
  callbacks.on_header_value = &Data<Impl, &Impl::OnFieldValue>;
  callbacks.on_headers_complete = &Notify<Impl, &Impl::OnHead>;
  callbacks.on_body = &Data<Impl, &Impl::OnBody>;
  callbacks.on_chunk_header = &Notify<Impl, &Impl::OnChunk>;
  callbacks.on_chunk_complete = &Notify<Impl, &Impl::OnChunkEnd>;
  callbacks.on_message_complete = &Notify<Impl, &Impl::OnWhole>;
  return callbacks;
}

} // namespace

std::size_t MessageParser::Impl::ReadPart(std::string_view aBytes)
{
  if (side == MessageSide::kAnswer && !statusLine.Done()) {
    statusLine.Read(aBytes);
    if (statusLine.Failed()) {
      failure = ParseFailure::kMalformed;
      return 0;
    }
  }
  const bool counted = inFields;
  const std::size_t taken = Execute(aBytes.data(), aBytes.size());
  if (counted) {
    headBytes += taken;
  }
  CheckLineBreaks(aBytes.substr(0, taken), counted);
  if (headBytes > limits.maxHead.value()) {
    failure = ParseFailure::kHeadTooLarge;
  }
  return taken;
}

void MessageParser::Impl::CheckLineBreaks(std::string_view aTaken, bool aFields)
{
  if (aFields) {
    lineBreaks.ReadFields(aTaken);
  } else {
    lineBreaks.ReadBody(aTaken, std::exchange(endsLine, false));
  }
  const bool malformed = lineBreaks.Folded() ||
                         (side == MessageSide::kAnswer && lineBreaks.Broken());
  if (malformed && failure == ParseFailure::kNone) {
    failure = ParseFailure::kMalformed;
  }
}

std::size_t MessageParser::Impl::Execute(const char* aBytes, std::size_t aCount)
{
  static const http_parser_settings kCallbacks = MakeCallbacks<Impl>();
  if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED) {
    http_parser_pause(&parser, 0);
  }
  const std::size_t taken =
    http_parser_execute(&parser, &kCallbacks, aBytes, aCount);
  const auto error = HTTP_PARSER_ERRNO(&parser);
  if (error != HPE_OK && error != HPE_PAUSED &&
      failure == ParseFailure::kNone) {
    failure = error == HPE_HEADER_OVERFLOW ? ParseFailure::kHeadTooLarge
                                           : ParseFailure::kMalformed;
  }
  return taken;
}

MessageParser::MessageParser(MessageSide aSide, const ParserLimits& aLimits)
  : impl_(std::make_unique<Impl>(aSide, aLimits))
{
}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::Feed(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (impl_->Continues() && taken < aBytes.size()) {
    impl_->started = true;
    taken += impl_->ReadPart(aBytes.substr(taken));
  }
  return taken;
}

void MessageParser::FeedEnd()
{
  if (impl_->whole || !impl_->started) {
    return;
  }
  impl_->Execute(nullptr, 0);
  if (!impl_->whole && impl_->failure == ParseFailure::kNone) {
    impl_->failure = ParseFailure::kMalformed;
  }
}

bool MessageParser::Started() const
{
  return impl_->started;
}

bool MessageParser::HeadDone() const
{
  return impl_->headDone;
}

bool MessageParser::Whole() const
{
  return impl_->whole && impl_->failure == ParseFailure::kNone;
}

ParseFailure MessageParser::Failure() const
{
  return impl_->failure;
}

const HttpHead& MessageParser::Head() const
{
  return impl_->message.head;
}

std::size_t MessageParser::BodySize() const
{
  return impl_->message.body.size();
}

HttpMessage MessageParser::Take()
{
  HttpMessage message = std::move(impl_->message);
  impl_->Start();
  return message;
}

void MessageParser::Reset()
{
  impl_->Start();
}

void MessageParser::ExpectNoBody()
{
  impl_->noBody = true;
}

void MessageParser::SetLimits(const ParserLimits& aLimits)
{
  impl_->limits = aLimits;
}

} // namespace lacewing
