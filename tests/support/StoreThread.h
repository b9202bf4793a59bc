#ifndef TESTS_SUPPORT_STORETHREAD_H
#define TESTS_SUPPORT_STORETHREAD_H

#include "support/StoreStandin.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>

namespace lacewing {

/** The stand-in of the store on a thread of its own. */
class StoreThread
{
public:
  StoreThread()
    : guard_(asio::make_work_guard(context_))
    , store_(context_, { "127.0.0.1", 0 })
    , thread_([this] { context_.run(); })
  {
  }

  ~StoreThread()
  {
    context_.stop();
    thread_.join();
  }

  template<class Change>
  void Do(Change aChange)
  {
    std::promise<void> done;
    asio::post(context_, [&] {
      aChange(store_);
      done.set_value();
    });
    done.get_future().wait();
  }

  Endpoint Address() const { return store_.Address(); }

private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  StoreStandin store_;
  std::thread thread_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_STORETHREAD_H
