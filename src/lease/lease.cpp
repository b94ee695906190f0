#include "lease.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <vector>

namespace robinpin::lease {

using consensus::fate;
using consensus::Outcome;
using consensus::Value;
using consensus::Want;
using consensus::wish;

std::string register_of(std::string_view lease) { return "lease/" + std::string(lease); }

// Plain words with a blank between; the holder and its incarnation are left out where there is none.
std::string Record::text() const {
  std::string t = std::to_string(number) + " " + std::to_string(renewals) + " " + std::to_string(term);
  return held() ? t + " " + holder + " " + incarnation : t;
}

std::optional<Record> Record::read(std::string_view text) {
  std::vector<std::string_view> words;
  for (std::size_t at = 0; at <= text.size();) {
    const auto blank = std::min(text.find(' ', at), text.size());
    words.push_back(text.substr(at, blank - at));
    at = blank + 1;
  }
  if (words.size() != 3 && words.size() != 5) return std::nullopt;
  Record r;
  const auto number = [](std::string_view w, auto& to) {
    const auto [end, wrong] = std::from_chars(w.data(), w.data() + w.size(), to);
    return wrong == std::errc() && end == w.data() + w.size();
  };
  if (!number(words[0], r.number) || !number(words[1], r.renewals) || !number(words[2], r.term) || r.term < 0)
    return std::nullopt;
  if (words.size() == 5) {
    if (words[3].empty() || words[4].empty()) return std::nullopt;
    r.holder = words[3];
    r.incarnation = words[4];
  }
  return r;
}

Claim::Claim(std::string lease, std::string node, std::string incarnation, Terms terms)
    : lease_(std::move(lease)), node_(std::move(node)), incarnation_(std::move(incarnation)), terms_(terms) {}

// A holder's clock that is slow by the drift shows less than has gone by: it stops so much earlier. A taker's
// that is fast shows more: it waits so much longer. The term lies between the two, in no clock's time.
micros Claim::acts() const { return micros(std::floor(double(terms_.term) * (1 - terms_.drift))); }
micros Claim::waits(const Record& r) const {
  return micros(std::ceil(double(std::max(r.term, micros(0))) * (1 + terms_.drift)));
}

std::optional<Want> Claim::send(step what, Record record, micros now) {
  Call c{what, {}, std::move(record), now};
  c.want.name = register_of(lease_);
  if (what == step::read) {
    c.want.what = wish::read;
  } else {
    c.want.what = wish::write;
    c.want.expected = version_;
    c.want.text = c.record.text();
    c.want.by = node_ + "/" + incarnation_ + "#" + std::to_string(++marks_);
  }
  out_ = std::move(c);
  return out_->want;
}

std::optional<Want> Claim::next(micros now, bool& again) {
  again = false;
  if (out_) return std::nullopt;
  if (doubt_) {
    // The same write, by the same mark, and nothing else before it is told apart.
    out_ = std::move(doubt_);
    doubt_.reset();
    again = true;
    return out_->want;
  }
  if (holding_ && !wanted_) {
    until_ = 0;  // acts no more before the others can know
    Record r = known_;
    r.holder.clear();
    r.incarnation.clear();
    return send(step::give_back, r, now);
  }
  if (holding_ && now >= renew_at_) {
    Record r = known_;
    ++r.renewals;
    r.term = terms_.term;
    return send(step::renew, r, now);
  }
  if (holding_ || !wanted_) return std::nullopt;
  if (!seen_) return now >= read_at_ ? send(step::read, {}, now) : std::nullopt;
  // An unchanged count, watched for a whole term by this clock since it was first seen here; or given back.
  const bool free = !known_.held() || now - seen_since_ >= waits(known_) + late_;
  if (free && (known_.held() || now - seen_since_ >= late_)) {
    Record r;
    r.number = known_.number + 1;
    r.term = terms_.term;
    r.holder = node_;
    r.incarnation = incarnation_;
    return send(step::take, r, now);
  }
  return now >= read_at_ ? send(step::read, {}, now) : std::nullopt;
}

micros Claim::wake(micros now) const {
  if (out_) return std::numeric_limits<micros>::max();
  if (doubt_) return now;
  if (holding_) return wanted_ ? renew_at_ : now;
  if (!wanted_) return std::numeric_limits<micros>::max();
  const micros taken = seen_ ? seen_since_ + late_ + (known_.held() ? waits(known_) : 0) : now;
  return std::max(now, std::min(read_at_, taken));
}

void Claim::saw(const Value& v, micros now) {
  Record r;
  if (v.version > 0)
    if (auto told = Record::read(v.text)) r = std::move(*told);
  if (!seen_ || v.version != version_) seen_since_ = now;
  seen_ = true;
  version_ = v.version;
  known_ = std::move(r);
  const bool mine = known_.holder == node_ && known_.incarnation == incarnation_;
  if (holding_ && !mine) until_ = 0;  // somebody took it, or it was broken: at once
  if (!mine) holding_ = false;
}

void Claim::ended(const Outcome& o, micros now) {
  if (!out_) return;
  const Call c = std::move(*out_);
  out_.reset();
  read_at_ = now + terms_.term / 4;
  if (o.how == fate::refused || (o.how == fate::chosen && c.what == step::read)) return saw(o.value, now);
  if (o.how == fate::unknown) {
    doubt_ = c;
    return;
  }
  if (o.how != fate::chosen) {
    // Not done, or overtaken: what stands has to be read anew. Until then a holder acts by what was
    // acknowledged.
    if (c.what == step::renew) ++renewals_missed;
    if (o.how == fate::overtaken)
      seen_ = holding_ = false, until_ = 0;
    else if (c.what != step::read && c.want.what == wish::write && c.what != step::renew)
      seen_ = seen_ && c.what == step::give_back;
    if (c.what == step::renew) renew_at_ = now + terms_.term / 16;
    return;
  }
  version_ = c.want.expected + 1;
  seen_ = true;
  seen_since_ = now;
  known_ = c.record;
  holding_ = c.what == step::take || c.what == step::renew;
  if (c.what == step::take) ++takings;
  if (holding_) {
    // By the moment it was sent, never by the one when the answer came: a taker counts from when it could
    // first see it.
    until_ = c.sent + acts();
    renew_at_ = c.sent + terms_.term / 3;
  } else {
    until_ = 0;
  }
}

May Claim::may(micros now, micros span) const {
  May m;
  m.number = known_.number;
  m.until = until_;
  // While a taking is in doubt it holds nothing; a renewal in doubt leaves what was acknowledged before.
  m.act = holding_ && span >= 0 && now + span < until_;
  return m;
}

std::string Claim::state() const {
  const auto call = [](const std::optional<Call>& c) {
    return c ? std::to_string(int(c->what)) + c->want.by + "@" + std::to_string(c->sent) + c->record.text()
             : std::string("-");
  };
  std::string s = std::string(wanted_ ? "w" : "") + (holding_ ? "h" : "") + (seen_ ? "s" : "");
  for (const micros t : {until_, renew_at_, read_at_, seen_since_, late_}) s += "," + std::to_string(t);
  return s + "," + std::to_string(version_) + "," + std::to_string(marks_) + known_.text() + call(out_) +
         call(doubt_);
}

}  // namespace robinpin::lease
