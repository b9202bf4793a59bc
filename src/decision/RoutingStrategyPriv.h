#ifndef DECISION_ROUTINGSTRATEGYPRIV_H
#define DECISION_ROUTINGSTRATEGYPRIV_H

#include "decision/RoutingStrategy.h"

namespace lacewing {

std::unique_ptr<RoutingStrategy> MakeRoundRobinStrategy();
std::unique_ptr<RoutingStrategy> MakeRandomStrategy();
std::unique_ptr<RoutingStrategy> MakeLeastInFlightStrategy();
std::unique_ptr<RoutingStrategy> MakeTwoChoicesReportedStrategy();
std::unique_ptr<RoutingStrategy> MakeTwoChoicesAgedStrategy();
std::unique_ptr<RoutingStrategy> MakeProbePoolStrategy();
std::unique_ptr<RoutingStrategy> MakeZoneSlotsStrategy();

} // namespace lacewing

#endif // DECISION_ROUTINGSTRATEGYPRIV_H
