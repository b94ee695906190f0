// The limits in force at this node, and the file that they come from: replaced whole or not at all.
#pragma once

#include <memory>
#include <string>

#include "../config/file.h"
#include "../limits/limits.h"
#include "../read/house.h"
#include "../records/records.h"
#include "counters.h"

namespace robinpin::node {

class Routes {
 public:
  Routes(const read::House& house, Counters& counters, records::Facts& facts)
      : house_(house), counters_(counters), facts_(facts) {}
  Routes(const Routes&) = delete;
  Routes& operator=(const Routes&) = delete;

  // Puts a file without faults in force, and refuses any other with all its faults in the log. Txns that have
  // been taken end under what they were taken under.
  bool renew(const config::Reading& reading);
  limits::Taken take(const limits::Asked& txn, micros now) const;
  std::string told() const;  // what is in force, as JSON: GET /config
  int version() const { return version_; }

 private:
  const read::House& house_;
  Counters& counters_;
  records::Facts& facts_;
  std::shared_ptr<const limits::Table> table_;  // none: no file, no limits of ours
  std::string path_, hash_, refused_, refused_hash_;
  int version_ = 0;                                // files put in force since the start
  std::int64_t accepted_ms_ = 0, refused_ms_ = 0;  // Unix time
};

}  // namespace robinpin::node
