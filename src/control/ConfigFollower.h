#ifndef CONTROL_CONFIGFOLLOWER_H
#define CONTROL_CONFIGFOLLOWER_H

#include "control/ConfigFollowerCounts.h"
#include "control/ConfigState.h"
#include "control/ControlTerms.h"
#include "store/ObjectStore.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace lacewing {

/**
 * Brings the configuration from the store into a ConfigState: reads the head,
 * fetches the blobs that differ and offers them. While watching it waits for
 * changes by long poll, otherwise it reads the head at long intervals. Lower
 * versions and invalid objects leave the configuration in force unchanged.
 */
class ConfigFollower
{
public:
  ConfigFollower(asio::io_context& aContext,
                 ObjectStore& aStore,
                 ConfigState& aConfigs,
                 const ControlTerms& aTerms,
                 std::uint64_t aSeed);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /** Starts or stops watching; the first call starts to read the head. */
  void SetWatching(bool aWatching);
  bool Watching() const;

  const ConfigFollowerCounts& Counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // CONTROL_CONFIGFOLLOWER_H
