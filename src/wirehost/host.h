// The wire of the bench: decodes a batch into calls on the instances it hosts and encodes what they return.
// It decides nothing.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../read/json.h"
#include "robinpin/choice.h"

namespace robinpin::wirehost {

using read::malformed;

class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // The reply to one line; throws malformed, naming the batch, if the line is not as the wire has it.
  std::string reply(std::string line);

 private:
  struct Instance;
  class Batch;
  std::unordered_map<int, std::unique_ptr<Instance>> instances_;
  std::array<std::vector<Line>, 16> lists_;
};

}  // namespace robinpin::wirehost
