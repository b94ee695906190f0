// What a voter must not forget, on disk: SQLite on a thread of its own, so that no txn waits for a disk.
// Writes that wait together are committed together; an answer may leave only when its write lasts. A write
// that fails is final.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "../consensus/voter.h"

namespace robinpin::store {

inline constexpr int schema = 1;
inline constexpr std::size_t most_waiting = 4096;  // writes

// Why a store can't be used, in words for the operator.
struct refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Store {
 public:
  struct Figures {
    std::uint64_t commits = 0, writes = 0, longest_us = 0;  // of one commit
  };
  // Makes the store, with an identity of its own, where there is none. Throws refused where it is torn, of
  // another program, newer, another fleet's or voter's, or in use by another process.
  Store(const std::string& path, const std::string& fleet, const std::string& voter);
  ~Store();  // what waits is written first
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const consensus::Memory& memory() const { return memory_; }  // as it was found
  bool again() const { return again_; }                        // it was in use before

  // `then` is called on the store's thread, in the order of the calls: true once the change, and all before
  // it, lasts. Without a change it waits for those before. After a failure each gets false.
  void put(std::optional<consensus::Change> change, std::function<void(bool lasts)> then);
  bool full() const;
  std::string failure() const;  // empty: none
  Figures figures() const;

 private:
  struct Work;
  static void run(Work& work);
  consensus::Memory memory_;
  bool again_ = false;
  std::unique_ptr<Work> work_;
};

}  // namespace robinpin::store
