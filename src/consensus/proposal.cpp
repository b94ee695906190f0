#include "proposal.h"

#include <algorithm>

namespace robinpin::consensus {

const char* word(fate f) {
  constexpr const char* words[] = {"chosen",  "refused",   "outbid", "unreachable",
                                   "unknown", "overtaken", "full"};
  return words[int(f)];
}

Proposal::Proposal(Voters voters, Ballot ballot, Want want, bool again)
    : voters_(std::move(voters)), ballot_(std::move(ballot)), want_(std::move(want)), again_(again) {
  out_.round = ballot_.round;
}

Step Proposal::begin() {
  if (want_.text.size() > longest_value || want_.name.size() > longest_name) return end(fate::full);
  return ask_all(want_.what == wish::read    ? phase::look
                 : want_.what == wish::names ? phase::names
                                             : phase::prepare);
}

Step Proposal::ask_all(phase what) {
  stage_ = what;
  yes_.clear();
  no_.clear();
  accepted_.clear();
  Step s;
  for (const Seat& seat : voters_.all()) {
    Ask a;
    a.what = what;
    a.store = seat.store;
    a.name = want_.name;
    a.ballot = ballot_;
    a.voters = voters_;
    if (what == phase::accept) {
      a.value = value_;
      a.seen = out_.seen;
    }
    s.send.push_back({seat, std::move(a)});
  }
  return s;
}

bool Proposal::hopeless() const {
  std::set<std::string> left;
  for (const Seat& s : voters_.all())
    if (!no_.contains(s.store)) left.insert(s.store);
  return !voters_.majority(left);
}

Step Proposal::end(fate how) {
  over_ = true;
  out_.how = how;
  out_.value = value_;
  return {{}, out_};
}

Step Proposal::lost(const std::string& store, phase what) {
  if (over_ || what != stage_ || yes_.contains(store)) return {};
  no_.insert(store);
  return look_on();
}

Step Proposal::heard(const Reply& r) {
  // An answer to an earlier stage or try says nothing of this one.
  if (over_ || r.what != stage_ || r.ballot != ballot_ || !voters_.seat(r.store)) return {};
  out_.round = std::max(out_.round, r.promised.round);
  if (r.how != verdict::yes) {
    if (r.how == verdict::stale && (!out_.newer || r.voters.version > out_.newer->version))
      out_.newer = r.voters;
    if (r.how == verdict::full) full_.insert(r.store);
    if (!yes_.contains(r.store)) no_.insert(r.store);
    return look_on();
  }
  if (!yes_.insert(r.store).second) return {};
  no_.erase(r.store);  // it was late, not silent
  out_.seen.emplace_back(r.store, r.counter);
  if (stage_ == phase::names) {
    for (const auto& n : r.names)
      if (std::find(out_.names.begin(), out_.names.end(), n) == out_.names.end()) out_.names.push_back(n);
  } else if (stage_ != phase::accept) {
    accepted_[r.store] = r.accepted;
    if (r.accepted > highest_) {
      highest_ = r.accepted;
      value_ = r.value;
    }
  }
  return look_on();
}

Step Proposal::look_on() {
  if (voters_.majority(yes_)) return decide();
  if (!hopeless()) return {};
  if (stage_ == phase::accept && ours_) return end(fate::unknown);
  std::set<std::string> willing;
  for (const Seat& s : voters_.all())
    if (!full_.contains(s.store)) willing.insert(s.store);
  if (!voters_.majority(willing)) return end(fate::full);
  return end(out_.round > ballot_.round || out_.newer ? fate::outbid : fate::unreachable);
}

Step Proposal::decide() {
  if (stage_ == phase::names) return end(fate::chosen);
  if (stage_ == phase::accept) return end(refused_ ? fate::refused : fate::chosen);
  if (stage_ == phase::look) {
    // What a majority has accepted under one ballot is chosen, and nothing later was before the call began.
    std::set<std::string> same;
    for (const auto& [store, ballot] : accepted_)
      if (ballot == highest_) same.insert(store);
    if (voters_.majority(same)) return end(fate::chosen);
    return ask_all(phase::prepare);
  }
  // The latest accepted value that a majority tells of may have been chosen: whatever is wanted, it is
  // finished first.
  if (want_.what == wish::write) {
    const bool stands =
        value_.version == want_.expected + 1 && value_.by == want_.by;  // an earlier try of this write
    if (value_.version == want_.expected) {
      value_ = {want_.expected + 1, want_.text, want_.by};
      ours_ = true;
    } else if (!stands) {
      // A try of before may have been chosen and written over since: versions between are not kept.
      if (again_ && value_.version > want_.expected + 1) return end(fate::overtaken);
      refused_ = true;
    } else {
      ours_ = true;
    }
  }
  if (value_.version == 0)
    return end(refused_ ? fate::refused : fate::chosen);  // nothing was, nothing older can be
  return ask_all(phase::accept);
}

std::string Proposal::state() const {
  const auto ballot = [](const Ballot& b) { return std::to_string(b.round) + b.proposer; };
  std::string s = std::to_string(int(stage_)) + (over_ ? "o" : "") + (ours_ ? "u" : "") +
                  (refused_ ? "r" : "") + (again_ ? "a" : "") + ballot(ballot_) + "," + ballot(highest_) +
                  "," + std::to_string(value_.version) + value_.by + "," + std::to_string(out_.round) + "v" +
                  std::to_string(voters_.version);
  for (const auto& store : yes_) s += "+" + store;
  for (const auto& store : no_) s += "-" + store;
  for (const auto& [store, b] : accepted_) s += "=" + store + ballot(b);
  for (const auto& n : out_.names) s += "n" + n;
  return s;
}

Succession::Succession(Voters known, std::vector<Seat> wanted)
    : stage_(known.changing() ? stage::names : stage::join),
      known_(std::move(known)),
      wanted_(std::move(wanted)) {
  if (known_.changing()) wanted_ = known_.next;
}

std::optional<Succession::Job> Succession::next() const {
  Job j;
  j.under = known_;
  const auto write = [&](const std::vector<Seat>& now, const std::vector<Seat>& next) {
    Voters v;
    v.now = now;
    v.next = next;
    j.want = {wish::write, std::string(voters_register), known_.version, v.text(),
              "voters-" + std::to_string(known_.version + 1) + (next.empty() ? "-" : "+") + v.text()};
    return j;
  };
  switch (stage_) {
    case stage::join:
      return write(known_.now, wanted_);
    case stage::names:
      j.want.what = wish::names;
      return j;
    case stage::settle:
      j.want.what = wish::settle;
      j.want.name = names_.back();
      return j;
    case stage::leave:
      return write(wanted_, {});
    case stage::done:
    case stage::failed:
      break;
  }
  return std::nullopt;
}

void Succession::ended(const Outcome& o) {
  const auto voters = [&] { return Voters::read(o.value.version, o.value.text); };
  if (o.how != fate::chosen) {
    // Somebody else changed the voters meanwhile: this change is not theirs.
    if (o.how == fate::refused || o.how == fate::overtaken) stage_ = stage::failed;
    return;
  }
  if (stage_ == stage::join) {
    known_ = voters().value_or(known_);
    stage_ = stage::names;
  } else if (stage_ == stage::names) {
    names_ = o.names;
    stage_ = names_.empty() ? stage::leave : stage::settle;
  } else if (stage_ == stage::settle) {
    names_.pop_back();
    if (names_.empty()) stage_ = stage::leave;
  } else if (stage_ == stage::leave) {
    known_ = voters().value_or(known_);
    stage_ = stage::done;
  }
}

std::int64_t wait_before(int tries, double part) {
  constexpr std::int64_t first = 4'000, longest = 256'000;
  std::int64_t span = first;
  for (int i = 1; i < tries && span < longest; ++i) span *= 2;
  return std::int64_t(part * double(span));
}

}  // namespace robinpin::consensus
