// The error type that the mesh's modules report through Boost.LEAF.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>

namespace robinpin::storage {

// A value, or an error whose payload is an `Error`.
template <typename T>
using result = boost::leaf::result<T>;

// Says which step failed, on which object, and why.
struct Error {
  enum class Step {
    unknown,
    open,
    read,
    sync,
    copy,
    corruption,  // data that was synced is missing or altered; a retry does not help
    parse,
    apply,
    bind,
  };
  Step step = Step::unknown;
  std::string peer;    // the file, folder, address or document that the step worked on
  std::string reason;  // for a reader; the operating system's or LevelDB's text where there is one
};

// The step's name as log lines and command output show it.
const char* to_string(Error::Step step);

}  // namespace robinpin::storage
