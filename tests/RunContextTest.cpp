#include "core/RunContext.h"

#include <asio/post.hpp>

#include <doctest/doctest.h>

#include <new>
#include <stdexcept>

using namespace lacewing;

// Guards against one unexpected error that ends the whole process.
TEST_CASE("an exception of a handler ends only that handler")
{
  asio::io_context context;
  int ran = 0;
  asio::post(context, [] { throw std::runtime_error("unexpected"); });
  asio::post(context, [&ran] { ++ran; });
  asio::post(context, [] { throw std::bad_alloc(); });
  asio::post(context, [&ran] { ++ran; });
  RunContext(context);
  CHECK(ran == 2);
}

// Guards against a loop that goes on after it was told to stop.
TEST_CASE("a stopped context ends the loop")
{
  asio::io_context context;
  int ran = 0;
  asio::post(context, [&context] {
    context.stop();
    throw std::runtime_error("while stopping");
  });
  asio::post(context, [&ran] { ++ran; });
  RunContext(context);
  CHECK(ran == 0);
}
