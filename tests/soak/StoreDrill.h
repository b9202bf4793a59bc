#ifndef TESTS_SOAK_STOREDRILL_H
#define TESTS_SOAK_STOREDRILL_H

#include "soak/SoakWorld.h"

#include <functional>
#include <random>

namespace lacewing {

/**
 * The store comes back from a copy, with or without a short outage, and the
 * operator and the servers write again what it has lost.
 */
class StoreDrill
{
public:
  /**
   * aLaterChange writes something new right after the store's return, so that
   * it gets a revision that was given out before.
   */
  StoreDrill(SoakWorld& aWorld,
             std::mt19937_64& aRandom,
             std::function<void()> aLaterChange);

  /**
   * Takes the copy now; the store returns to it after aAge. Returns when all
   * is written again; does nothing while another drill lasts.
   */
  TimePoint Start(Duration aAge);

private:
  void GoAway();
  void ComeBack();
  /** Runs aRewrite within the time that writers take to notice the loss. */
  void RewriteLater(std::function<void()> aRewrite);

  SoakWorld& world_;
  std::mt19937_64& random_;
  std::function<void()> laterChange_;
  Duration outage_{};
  bool active_ = false;
};

} // namespace lacewing

#endif // TESTS_SOAK_STOREDRILL_H
