#ifndef WIRE_WIREMEMBER_H
#define WIRE_WIREMEMBER_H

namespace lacewing {

/** One row of a message's field table: a key and the member behind it. */
template<class Type, class Member>
struct WireMember
{
  const char* key;
  Member Type::*member;
};

template<class Type, class Member>
WireMember(const char*, Member Type::*) -> WireMember<Type, Member>;

} // namespace lacewing

#endif // WIRE_WIREMEMBER_H
