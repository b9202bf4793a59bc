#ifndef STORE_HTTPOBJECTSTOREOPTIONS_H
#define STORE_HTTPOBJECTSTOREOPTIONS_H

#include "lacewing/Endpoint.h"

#include <chrono>

namespace lacewing {

/** Settings of an HttpObjectStore. */
struct HttpObjectStoreOptions
{
  Endpoint endpoint;
  /** Time for a call; a watch may take its wait in addition. */
  std::chrono::milliseconds timeout{ 2000 };
};

} // namespace lacewing

#endif // STORE_HTTPOBJECTSTOREOPTIONS_H
