#ifndef LACEWING_STRONGSTRING_H
#define LACEWING_STRONGSTRING_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lacewing {

/** A textual id that does not mix with other ids. */
template<class Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongString& aLeft, const StrongString& aRight)
  {
    return aLeft.value_ == aRight.value_;
  }
  friend bool operator!=(const StrongString& aLeft, const StrongString& aRight)
  {
    return aLeft.value_ != aRight.value_;
  }
  friend bool operator<(const StrongString& aLeft, const StrongString& aRight)
  {
    return aLeft.value_ < aRight.value_;
  }
  friend std::ostream& operator<<(std::ostream& aStream,
                                  const StrongString& aString)
  {
    return aStream << aString.value_;
  }

private:
  std::string value_;
};

} // namespace lacewing

namespace std {
template<class Tag>
struct hash<lacewing::StrongString<Tag>>
{
  size_t operator()(const lacewing::StrongString<Tag>& aString) const
  {
    return hash<string>()(aString.value());
  }
};
} // namespace std

#endif // LACEWING_STRONGSTRING_H
