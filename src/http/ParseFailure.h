#ifndef HTTP_PARSEFAILURE_H
#define HTTP_PARSEFAILURE_H

namespace lacewing {

/** Why a message cannot be read. */
enum class ParseFailure
{
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  /** The bodies of all messages together exceed ParserLimits::budget. */
  kNoMemory,
};

} // namespace lacewing

#endif // HTTP_PARSEFAILURE_H
