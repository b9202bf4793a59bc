#include "http/ReadBuffer.h"

namespace lacewing {

ReadBuffer& ThreadReadBuffer()
{
  thread_local ReadBuffer buffer;
  return buffer;
}

} // namespace lacewing
