#ifndef CORE_RUNCONTEXT_H
#define CORE_RUNCONTEXT_H

#include <asio/io_context.hpp>

namespace lacewing {

/**
 * Runs the context until it is stopped or has no work left. An exception that a
 * handler lets through ends only that handler: it is logged, and the context
 * goes on. The operation's own timeouts end what the handler left open.
 */
void RunContext(asio::io_context& aContext);

} // namespace lacewing

#endif // CORE_RUNCONTEXT_H
