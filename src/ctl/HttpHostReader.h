#ifndef CTL_HTTPHOSTREADER_H
#define CTL_HTTPHOSTREADER_H

#include "ctl/HostReader.h"

#include <asio/io_context.hpp>

#include <memory>

namespace lacewing {

/** Reads daemons over HTTP. */
std::unique_ptr<HostReader> MakeHttpHostReader(asio::io_context& aContext);

} // namespace lacewing

#endif // CTL_HTTPHOSTREADER_H
