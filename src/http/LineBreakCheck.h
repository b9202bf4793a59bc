#ifndef HTTP_LINEBREAKCHECK_H
#define HTTP_LINEBREAKCHECK_H

#include <string_view>

namespace lacewing {

/**
 * Looks for broken line breaks and folded lines in one message. Without its
 * strict mode http_parser takes any byte behind a carriage return for a line
 * feed, and any two bytes behind a chunk for its line break. Single line feeds
 * end a line of the head, as RFC 9112 section 2.2 allows.
 */
class LineBreakCheck
{
public:
  /** Reads the next bytes, which belong to the head or to the trailer. */
  void ReadFields(std::string_view aBytes);

  /**
   * Reads the next bytes, which belong to the body or to the framing of its
   * chunks. With aEndsLine, the last of them end a line of the framing.
   */
  void ReadBody(std::string_view aBytes, bool aEndsLine);

  /** Whether a line break was broken. */
  bool Broken() const { return broken_; }

  /** Whether a line of the head or trailer begins with a blank. */
  bool Folded() const { return folded_; }

private:
  char last_ = '\0';
  bool inFields_ = false;
  bool broken_ = false;
  bool folded_ = false;
};

} // namespace lacewing

#endif // HTTP_LINEBREAKCHECK_H
