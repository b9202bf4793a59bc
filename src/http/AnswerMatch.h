#ifndef HTTP_ANSWERMATCH_H
#define HTTP_ANSWERMATCH_H

namespace lacewing {

/** How an answer's head relates to the request that waits for an answer. */
enum class AnswerMatch
{
  /** It belongs to another request. */
  kForeign,
  /** It belongs to the request. */
  kCertain,
  /**
   * Only its place on the connection assigns it; written once more, it would
   * look like the answer to the next request.
   */
  kByPosition,
};

} // namespace lacewing

#endif // HTTP_ANSWERMATCH_H
