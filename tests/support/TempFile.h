#ifndef TESTS_SUPPORT_TEMPFILE_H
#define TESTS_SUPPORT_TEMPFILE_H

#include <string>

namespace lacewing {

/** A file with the given content, removed when this is destroyed. */
class TempFile
{
public:
  explicit TempFile(const std::string& aContent);
  ~TempFile();
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_TEMPFILE_H
