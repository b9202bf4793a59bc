#ifndef LACEWING_STRONGNUMBER_H
#define LACEWING_STRONGNUMBER_H

#include <cstdint>
#include <functional>
#include <ostream>

namespace lacewing {

/** An integer quantity that does not mix with other quantities. */
template<class Tag, class Rep = std::uint64_t>
class StrongNumber
{
public:
  using RepType = Rep;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep aValue)
    : value_(aValue)
  {
  }

  constexpr Rep value() const { return value_; }

  constexpr StrongNumber& operator+=(StrongNumber aOther)
  {
    value_ += aOther.value_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber aOther)
  {
    value_ -= aOther.value_;
    return *this;
  }
  constexpr StrongNumber& operator++()
  {
    ++value_;
    return *this;
  }
  constexpr StrongNumber& operator--()
  {
    --value_;
    return *this;
  }

  friend constexpr StrongNumber operator+(StrongNumber aLeft,
                                          StrongNumber aRight)
  {
    return aLeft += aRight;
  }
  friend constexpr StrongNumber operator-(StrongNumber aLeft,
                                          StrongNumber aRight)
  {
    return aLeft -= aRight;
  }
  friend constexpr bool operator==(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ == aRight.value_;
  }
  friend constexpr bool operator!=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ != aRight.value_;
  }
  friend constexpr bool operator<(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ < aRight.value_;
  }
  friend constexpr bool operator<=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ <= aRight.value_;
  }
  friend constexpr bool operator>(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ > aRight.value_;
  }
  friend constexpr bool operator>=(StrongNumber aLeft, StrongNumber aRight)
  {
    return aLeft.value_ >= aRight.value_;
  }
  friend std::ostream& operator<<(std::ostream& aStream, StrongNumber aNumber)
  {
    return aStream << aNumber.value_;
  }

private:
  Rep value_ = 0;
};

} // namespace lacewing

namespace std {
template<class Tag, class Rep>
struct hash<lacewing::StrongNumber<Tag, Rep>>
{
  size_t operator()(lacewing::StrongNumber<Tag, Rep> aNumber) const
  {
    return hash<Rep>()(aNumber.value());
  }
};
} // namespace std

#endif // LACEWING_STRONGNUMBER_H
