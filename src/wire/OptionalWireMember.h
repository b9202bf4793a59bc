#ifndef WIRE_OPTIONALWIREMEMBER_H
#define WIRE_OPTIONALWIREMEMBER_H

namespace lacewing {

/**
 * One row of a message's field table whose member is a list. An empty list is
 * not sent, and a message without the key has an empty list, so that hosts of
 * releases that lack the row can exchange messages with others.
 */
template<class Type, class Member>
struct OptionalWireMember
{
  const char* key;
  Member Type::*member;
};

template<class Type, class Member>
OptionalWireMember(const char*, Member Type::*)
  -> OptionalWireMember<Type, Member>;

} // namespace lacewing

#endif // WIRE_OPTIONALWIREMEMBER_H
