#ifndef HTTP_MESSAGESIDE_H
#define HTTP_MESSAGESIDE_H

namespace lacewing {

/** Which messages a parser reads. */
enum class MessageSide
{
  kRequest,
  kAnswer,
};

} // namespace lacewing

#endif // HTTP_MESSAGESIDE_H
