#ifndef HTTP_MESSAGEPARSER_H
#define HTTP_MESSAGEPARSER_H

#include "http/HttpMessage.h"
#include "http/MessageSide.h"
#include "http/ParseFailure.h"
#include "http/ParserLimits.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace lacewing {

/**
 * Reads one HTTP/1.1 message at a time and stops at its end, so that bytes
 * behind it are never taken for a part of it. Folded header lines, and both a
 * length and chunks in one message, are refused, since hops may read them
 * differently. In an answer, a status line, field, line break or transfer
 * coding that RFC 9112 does not allow or that is unknown is refused, too.
 * Trailer fields are dropped.
 */
class MessageParser
{
public:
  MessageParser(MessageSide aSide, const ParserLimits& aLimits);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Reads up to the end of the message; returns the bytes taken. */
  std::size_t Feed(std::string_view aBytes);

  /** The sender closed in order; ends an answer that has no length. */
  void FeedEnd();

  /** Whether a byte of the message has been read. */
  bool Started() const;
  bool HeadDone() const;
  bool Whole() const;
  ParseFailure Failure() const;

  /** Valid once HeadDone(). */
  const HttpHead& Head() const;

  /** Bytes of body read so far. */
  std::size_t BodySize() const;

  /** Hands the whole message out and makes the parser ready for the next. */
  HttpMessage Take();

  /** Drops what was read; the next byte begins a message. */
  void Reset();

  /** The next answer has no body, whatever its head says (HEAD requests). */
  void ExpectNoBody();

  void SetLimits(const ParserLimits& aLimits);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HTTP_MESSAGEPARSER_H
