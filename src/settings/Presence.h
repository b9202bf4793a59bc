#ifndef SETTINGS_PRESENCE_H
#define SETTINGS_PRESENCE_H

namespace lacewing {

/** Whether a settings file has to contain a key. */
enum class Presence
{
  kRequired,
  kOptional,
};

} // namespace lacewing

#endif // SETTINGS_PRESENCE_H
