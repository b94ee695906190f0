// How a coroutine that nobody waits for ends.
#pragma once

#include <exception>

#include "../log/log.h"

namespace robinpin::node {

// A completion token for asio::co_spawn: an exception ends this coroutine alone, as with asio::detached, but
// not without a word.
inline constexpr auto log_failure = [](std::exception_ptr failure) {
  if (!failure) return;
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& e) {
    log::error(log::part::node, "a connection ended by an exception: {}", e.what());
  } catch (...) {
    log::error(log::part::node, "a connection ended by an unknown exception");
  }
};

}  // namespace robinpin::node
