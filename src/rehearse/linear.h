// Whether a history of calls on registers can be explained: is there an order of them, each somewhere between
// its call and its answer, in which every answer is true? Wing and Gong's search, register by register (Horn
// and Kroening), with what was seen before not searched again (Lowe). Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::rehearse {

struct Deed {  // a call as its caller saw it
  enum class kind { read, write };
  enum class end {
    done,     // a read's answer, or the write stands
    refused,  // another version stands, which was told
    unknown,  // a write that may have been done, may be done later, or never
    not_done
  };
  int caller = 0, at = -1;  // at: the node that was asked
  std::string where;        // the register
  kind what = kind::read;
  end how = end::not_done;
  std::uint64_t expected = 0;  // write: on which version
  std::string text;            // write: what; read or refused: what stood
  std::uint64_t version = 0;   // read or refused: which stood; 0: nothing written
  micros called = 0, answered = -1;
};

struct Explained {
  bool good = true;
  std::string where;            // the register that can't be explained
  std::vector<Deed> prefix;     // the shortest beginning of its history that can't
  std::uint64_t looked_at = 0;  // states of the search
  bool given_up = false;        // too many of them: neither good nor broken was shown
};

Explained explain_history(const std::vector<Deed>& deeds, std::uint64_t most_states = 20'000'000);
std::string told(const Deed& deed);

}  // namespace robinpin::rehearse
