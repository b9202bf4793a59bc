#ifndef FLEET_PULLEDCHANGES_H
#define FLEET_PULLEDCHANGES_H

namespace lacewing {

/** What a peer's response to a pull has changed in this host's replica. */
struct PulledChanges
{
  /** Objects of any kind. */
  bool objects = false;
  /** The configuration, which hosts must use within seconds. */
  bool configuration = false;
  /** The position of a kind, perhaps without changes to objects. */
  bool positions = false;
};

} // namespace lacewing

#endif // FLEET_PULLEDCHANGES_H
