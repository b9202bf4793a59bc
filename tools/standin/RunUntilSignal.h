#ifndef STANDIN_RUNUNTILSIGNAL_H
#define STANDIN_RUNUNTILSIGNAL_H

#include <asio/io_context.hpp>

namespace lacewing {

/** Runs the io_context until SIGTERM or SIGINT. */
void RunUntilSignal(asio::io_context& aContext);

} // namespace lacewing

#endif // STANDIN_RUNUNTILSIGNAL_H
