#include "error.h"

namespace robinpin::storage {

const char* to_string(Error::Step step) {
  switch (step) {
    case Error::Step::unknown:
      return "unknown";
    case Error::Step::open:
      return "open";
    case Error::Step::read:
      return "read";
    case Error::Step::sync:
      return "sync";
    case Error::Step::copy:
      return "copy";
    case Error::Step::corruption:
      return "corruption";
    case Error::Step::parse:
      return "parse";
    case Error::Step::apply:
      return "apply";
    case Error::Step::bind:
      return "bind";
  }
  return "unknown";
}

}  // namespace robinpin::storage
