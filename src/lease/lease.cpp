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

// Plain fields with a blank between; the owner and its incarnation are left out where there is none.
std::string Record::text() const {
  std::string t = std::to_string(number) + " " + std::to_string(renewals) + " " + std::to_string(term);
  return has_owner() ? t + " " + owner + " " + incarnation : t;
}

std::optional<Record> Record::read(std::string_view text) {
  std::vector<std::string_view> fields;
  for (std::size_t at = 0; at <= text.size();) {
    const auto blank = std::min(text.find(' ', at), text.size());
    fields.push_back(text.substr(at, blank - at));
    at = blank + 1;
  }
  if (fields.size() != 3 && fields.size() != 5) return std::nullopt;
  Record r;
  const auto number = [](std::string_view w, auto& to) {
    const auto [end, wrong] = std::from_chars(w.data(), w.data() + w.size(), to);
    return wrong == std::errc() && end == w.data() + w.size();
  };
  if (!number(fields[0], r.number) || !number(fields[1], r.renewals) || !number(fields[2], r.term) ||
      r.term < 0)
    return std::nullopt;
  if (fields.size() == 5) {
    if (fields[3].empty() || fields[4].empty()) return std::nullopt;
    r.owner = fields[3];
    r.incarnation = fields[4];
  }
  return r;
}

Claim::Claim(std::string lease, std::string node, std::string incarnation, Terms terms)
    : lease_(std::move(lease)), node_(std::move(node)), incarnation_(std::move(incarnation)), terms_(terms) {}

// An owner's clock that is slow by the drift shows less than has gone by: it stops so much earlier. A taker's
// that is fast shows more: it waits so much longer. The term lies between the two, in no clock's time.
micros Claim::owner_duration() const { return micros(std::floor(double(terms_.term) * (1 - terms_.drift))); }
micros Claim::takeover_delay(const Record& r) const {
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
    c.want.by = node_ + "/" + incarnation_ + "#" + std::to_string(++attempts_);
  }
  in_flight_ = std::move(c);
  return in_flight_->want;
}

std::optional<Want> Claim::next(micros now, bool& again) {
  again = false;
  if (in_flight_) return std::nullopt;
  if (unknown_) {
    // The same write under the same name; nothing else before its outcome is known.
    in_flight_ = std::move(unknown_);
    unknown_.reset();
    again = true;
    return in_flight_->want;
  }
  if (owns_ && !wanted_) {
    until_ = 0;  // acts no more before the others can know
    Record released = known_;
    released.owner.clear();
    released.incarnation.clear();
    return send(step::release, released, now);
  }
  if (owns_ && now >= renew_at_) {
    Record renewed = known_;
    ++renewed.renewals;
    renewed.term = terms_.term;
    return send(step::renew, renewed, now);
  }
  if (owns_ || !wanted_) return std::nullopt;
  if (can_acquire(now)) return send(step::acquire, next_owner_record(), now);
  return now >= read_at_ ? send(step::read, {}, now) : std::nullopt;
}

// Released, or unchanged for a whole term by this clock since it was first observed here.
bool Claim::can_acquire(micros now) const {
  if (!seen_) return false;
  const micros delay = rank_delay_ + (known_.has_owner() ? takeover_delay(known_) : 0);
  return now - version_seen_at_ >= delay;
}

Record Claim::next_owner_record() const {
  Record record;
  record.number = known_.number + 1;
  record.term = terms_.term;
  record.owner = node_;
  record.incarnation = incarnation_;
  return record;
}

micros Claim::next_wakeup(micros now) const {
  if (in_flight_) return std::numeric_limits<micros>::max();
  if (unknown_) return now;
  if (owns_) return wanted_ ? renew_at_ : now;
  if (!wanted_) return std::numeric_limits<micros>::max();
  const micros taken =
      seen_ ? version_seen_at_ + rank_delay_ + (known_.has_owner() ? takeover_delay(known_) : 0) : now;
  return std::max(now, std::min(read_at_, taken));
}

void Claim::observe(const Value& v, micros now) {
  Record r;
  if (v.version > 0)
    if (auto parsed = Record::read(v.text)) r = std::move(*parsed);
  if (!seen_ || v.version != version_) version_seen_at_ = now;
  seen_ = true;
  version_ = v.version;
  known_ = std::move(r);
  const bool mine = known_.owner == node_ && known_.incarnation == incarnation_;
  if (owns_ && !mine) until_ = 0;  // somebody took it, or it was broken: at once
  if (!mine) owns_ = false;
}

void Claim::on_outcome(const Outcome& outcome, micros now) {
  if (!in_flight_) return;
  const Call call = std::move(*in_flight_);
  in_flight_.reset();
  read_at_ = now + terms_.term / 4;
  const bool was_read = outcome.how == fate::chosen && call.what == step::read;
  if (outcome.how == fate::refused || was_read) return observe(outcome.value, now);
  if (outcome.how == fate::unknown) {
    unknown_ = call;
    return;
  }
  if (outcome.how != fate::chosen) return on_write_failed(call, outcome.how, now);
  version_seen_at_ = now;
  on_written(call);
}

// Not done, or overtaken: the register has to be read anew. Until then an owner acts by what was
// acknowledged.
void Claim::on_write_failed(const Call& call, fate why, micros now) {
  if (call.what == step::renew) {
    ++renewals_missed;
    renew_at_ = now + terms_.term / 16;
  }
  if (why == fate::overtaken) {
    seen_ = false;
    owns_ = false;
    until_ = 0;
  } else if (call.what == step::acquire) {
    seen_ = false;
  }
}

void Claim::on_written(const Call& call) {
  version_ = call.want.expected + 1;
  seen_ = true;
  known_ = call.record;
  owns_ = call.what == step::acquire || call.what == step::renew;
  if (call.what == step::acquire) ++acquisitions;
  if (!owns_) {
    until_ = 0;
    return;
  }
  // From when the call was sent, never from when its answer came: other nodes count from when they could
  // first see the record.
  until_ = call.sent + owner_duration();
  renew_at_ = call.sent + terms_.term / 3;
}

Permission Claim::permission(micros now, micros duration) const {
  Permission m;
  m.number = known_.number;
  m.until = until_;
  // While a taking is in doubt it holds nothing; a renewal in doubt leaves what was acknowledged before.
  m.act = owns_ && duration >= 0 && now + duration < until_;
  return m;
}

std::string Claim::state() const {
  const auto call = [](const std::optional<Call>& c) {
    return c ? std::to_string(int(c->what)) + c->want.by + "@" + std::to_string(c->sent) + c->record.text()
             : std::string("-");
  };
  std::string s = std::string(wanted_ ? "w" : "") + (owns_ ? "h" : "") + (seen_ ? "s" : "");
  for (const micros t : {until_, renew_at_, read_at_, version_seen_at_, rank_delay_})
    s += "," + std::to_string(t);
  return s + "," + std::to_string(version_) + "," + std::to_string(attempts_) + known_.text() +
         call(in_flight_) + call(unknown_);
}

}  // namespace robinpin::lease
