#ifndef HTTP_OPENCONNECTION_H
#define HTTP_OPENCONNECTION_H

#include "lacewing/ConnectionCount.h"

#include <memory>
#include <utility>

namespace lacewing {

/** Counts one connection while the object exists. */
class OpenConnection
{
public:
  explicit OpenConnection(std::shared_ptr<ConnectionCount> aCount)
    : count_(std::move(aCount))
  {
    ++*count_;
  }
  ~OpenConnection() { --*count_; }
  OpenConnection(const OpenConnection&) = delete;
  OpenConnection& operator=(const OpenConnection&) = delete;

private:
  const std::shared_ptr<ConnectionCount> count_;
};

} // namespace lacewing

#endif // HTTP_OPENCONNECTION_H
