#include "support/TempFile.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace lacewing {

TempFile::TempFile(const std::string& aContent)
  : path_("/tmp/lacewing-test-XXXXXX")
{
  const int descriptor = mkstemp(path_.data());
  if (descriptor < 0) {
    throw std::runtime_error("cannot create a file in /tmp");
  }
  close(descriptor);
  std::ofstream(path_) << aContent;
}

TempFile::~TempFile()
{
  unlink(path_.c_str());
}

} // namespace lacewing
