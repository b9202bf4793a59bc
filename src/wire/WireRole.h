#ifndef WIRE_WIREROLE_H
#define WIRE_WIREROLE_H

namespace lacewing {

/** What kind of process a peer is: "entryd" or "controld". */
enum class WireRole
{
  kEntry,
  kControl,
};

} // namespace lacewing

#endif // WIRE_WIREROLE_H
