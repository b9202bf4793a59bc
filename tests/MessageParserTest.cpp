#include "http/MessageParser.h"
#include "support/MalformedAnswers.h"
#include "support/ProperAnswers.h"

#include <doctest/doctest.h>

#include <string>

using namespace lacewing;

namespace {

constexpr std::size_t kMaxHead = 8192;
const std::string kChunkedHead = "POST / HTTP/1.1\r\nHost: test\r\n"
                                 "Transfer-Encoding: chunked\r\n";

/** The head with a field that fills it up to aSize bytes. */
std::string HeadOfSize(std::size_t aSize)
{
  const std::string start = kChunkedHead + "X: ";
  return start + std::string(aSize - start.size() - 4, 'h') + "\r\n\r\n";
}

std::string Chunks(std::size_t aBytes, std::size_t aEach)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes; i += aEach) {
    text += std::to_string(aEach) + "\r\n" + std::string(aEach, 'b') + "\r\n";
  }
  return text + "0\r\n";
}

/** Feeds aBytes in reads of at most aRead bytes. */
void FeedAll(MessageParser& aParser,
             const std::string& aBytes,
             std::size_t aRead)
{
  for (std::size_t i = 0; i < aBytes.size(); i += aRead) {
    aParser.Feed(std::string_view(aBytes).substr(i, aRead));
  }
}

/** What the parser says of one message, however it is cut into reads. */
ParseFailure FailureOf(const std::string& aBytes)
{
  MessageParser whole(MessageSide::kRequest, { ByteCount(kMaxHead) });
  FeedAll(whole, aBytes, aBytes.size());
  for (const std::size_t read : { 1, 3, 1000, 16384 }) {
    CAPTURE(read);
    MessageParser parser(MessageSide::kRequest, { ByteCount(kMaxHead) });
    FeedAll(parser, aBytes, read);
    CHECK(parser.Failure() == whole.Failure());
    CHECK(parser.Whole() == whole.Whole());
  }
  CHECK(whole.Whole() == (whole.Failure() == ParseFailure::kNone));
  return whole.Failure();
}

/** Whether aBytes are a whole answer, read in pieces of at most aRead bytes. */
bool IsAnswer(const std::string& aBytes, std::size_t aRead)
{
  MessageParser parser(MessageSide::kAnswer, { ByteCount(kMaxHead) });
  std::size_t at = 0;
  while (at < aBytes.size() && parser.Failure() == ParseFailure::kNone) {
    at += parser.Feed(std::string_view(aBytes).substr(at, aRead));
    if (parser.Whole() && parser.Head().status / 100 == 1) {
      parser.Reset();
    } else if (parser.Whole()) {
      break;
    }
  }
  parser.FeedEnd();
  return parser.Whole();
}

} // namespace

// Guards against a body in small chunks that is refused because the chunks'
// framing counts as head when it arrives in the same read (431, review/4).
TEST_CASE("message parser: the framing of chunks is no part of the head")
{
  const std::string bytes = HeadOfSize(137) + Chunks(16000, 4) + "\r\n";
  CHECK(FailureOf(bytes) == ParseFailure::kNone);
  MessageParser parser(MessageSide::kRequest, { ByteCount(kMaxHead) });
  FeedAll(parser, bytes, 16384);
  REQUIRE(parser.Whole());
  CHECK(parser.Take().body == std::string(16000, 'b'));
}

// Guards against a limit that moves by the way in which a head is cut into
// reads, or by what follows it.
TEST_CASE("message parser: a head is refused from its first byte too many on")
{
  const std::string body = Chunks(400, 4) + "\r\n";
  CHECK(FailureOf(HeadOfSize(kMaxHead) + body) == ParseFailure::kNone);
  CHECK(FailureOf(HeadOfSize(kMaxHead + 1) + body) ==
        ParseFailure::kHeadTooLarge);
  MessageParser unfinished(MessageSide::kRequest, { ByteCount(kMaxHead) });
  unfinished.Feed(HeadOfSize(kMaxHead + 100).substr(0, kMaxHead + 1));
  CHECK(unfinished.Failure() == ParseFailure::kHeadTooLarge);
}

// Guards against a trailer as a way around the limit of the head.
TEST_CASE("message parser: a trailer counts against the limit of the head")
{
  const std::string body = Chunks(400, 4);
  const auto withTrailer = [&](std::size_t aTrailer) {
    return HeadOfSize(200) + body + "T: " + std::string(aTrailer - 5, 't') +
           "\r\n\r\n";
  };
  CHECK(FailureOf(withTrailer(kMaxHead - 200)) == ParseFailure::kNone);
  CHECK(FailureOf(withTrailer(kMaxHead - 200 + 1)) ==
        ParseFailure::kHeadTooLarge);
}

// Guards against bytes of the next message that are taken for a part of one
// whose head and chunks end in the same read.
TEST_CASE("message parser: reading stops at the end of a chunked message")
{
  const std::string first = HeadOfSize(137) + Chunks(40, 4) + "T: t\r\n\r\n";
  MessageParser parser(MessageSide::kRequest, { ByteCount(kMaxHead) });
  CHECK(parser.Feed(first + first) == first.size());
  REQUIRE(parser.Whole());
  (void)parser.Take();
  CHECK(parser.Feed(first) == first.size());
  CHECK(parser.Whole());
}

// Guards against a field that stands only in the trailer, and counts as if it
// stood in the head.
TEST_CASE("message parser: a trailer does not join the head")
{
  for (const MessageSide side :
       { MessageSide::kRequest, MessageSide::kAnswer }) {
    MessageParser parser(side, { ByteCount(kMaxHead) });
    const bool request = side == MessageSide::kRequest;
    FeedAll(parser,
            std::string(request ? "POST / HTTP/1.1" : "HTTP/1.1 200 OK") +
              "\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks(8, 4) +
              "T: t\r\nU: u\r\n\r\n",
            3);
    REQUIRE(parser.Whole());
    const HttpMessage message = parser.Take();
    CHECK(message.head.fields.size() == 1);
    CHECK(message.body.size() == 8);
  }
}

// Guards against a verdict on an answer that depends on how it is cut into
// reads, such as a line break or a status that arrives in two.
TEST_CASE("message parser: an answer is read alike however it is cut")
{
  for (const std::size_t read : { 1, 2, 3, 7, 16384 }) {
    CAPTURE(read);
    for (const NamedAnswer& answer : ProperAnswers()) {
      CAPTURE(answer.name);
      CHECK(IsAnswer(answer.bytes, read));
    }
    for (const NamedAnswer& answer : MalformedAnswers()) {
      CAPTURE(answer.name);
      CHECK_FALSE(IsAnswer(answer.bytes, read));
    }
  }
}

// Guards against a folded line that passes as one value when the fold arrives
// at the beginning of a read.
TEST_CASE("message parser: a folded line is refused however it is cut")
{
  const std::string head = "POST / HTTP/1.1\r\nHost: test\r\n";
  const std::string end = "Content-Length: 1\r\n\r\nb";
  for (const char* line :
       { "X: a\r\n b\r\n", "X: a\n\tb\r\n", "X:\r\n b\r\n" }) {
    CAPTURE(line);
    CHECK(FailureOf(head + line + end) == ParseFailure::kMalformed);
  }
  CHECK(FailureOf(head + "X: a b\r\n" + end) == ParseFailure::kNone);
}
