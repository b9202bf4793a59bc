#ifndef ENTRY_CONTROLDEVENTS_H
#define ENTRY_CONTROLDEVENTS_H

#include "wire/ConfigMessage.h"
#include "wire/GrantMessage.h"
#include "wire/TargetStateMessage.h"

namespace lacewing {

/** What a ControldLink tells its owner, on the control thread. */
class ControldEvents
{
public:
  virtual ~ControldEvents() = default;

  virtual void OnConnected() = 0;
  virtual void OnDisconnected() = 0;
  virtual void OnConfig(const ConfigMessage& aPart) = 0;
  virtual void OnTargetState(const TargetStateMessage& aMessage) = 0;
  virtual void OnGrant(const GrantMessage& aMessage) = 0;
};

} // namespace lacewing

#endif // ENTRY_CONTROLDEVENTS_H
