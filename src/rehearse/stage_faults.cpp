// What goes wrong, and when it is over.
#include "stage_parts.h"

namespace robinpin::rehearse {

std::vector<Stage::BoxHost*> Stage::struck(const Mishap& m) {
  std::vector<BoxHost*> fit;
  for (auto& b : boxes_) {
    if (!m.boxes.empty()) {
      if (std::find(m.boxes.begin(), m.boxes.end(), b->name) != m.boxes.end()) fit.push_back(b.get());
      continue;
    }
    if (!m.tier.empty() && plan_.tiers[b->tier].name != m.tier) continue;
    if (m.tier.empty() && b->tier != 0 && m.what != trouble::dear && m.hall.empty()) continue;
    if (!m.hall.empty() && plan_.halls[std::size_t(b->hall)].name != m.hall) continue;
    fit.push_back(b.get());
  }
  if (!m.boxes.empty() || m.share >= 1 || m.what == trouble::dear) return fit;
  // Drawn by the fault's place in the plan: the same boxes on every run of a seed.
  model::Chance chance(setup_.seed, "struck", std::uint64_t(&m - plan_.mishaps.data()));
  const auto wanted = std::size_t(std::max(1.0, std::round(m.share * double(fit.size()))));
  while (fit.size() > wanted) fit.erase(fit.begin() + std::ptrdiff_t(chance.one_of(fit.size())));
  return fit;
}

int Stage::scheme(const std::string& name) const {
  for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
    if (plan_.mix.schemes[i].name == name) return int(i);
  return -1;
}

void Stage::befall(const Mishap& m) {
  const auto boxes = struck(m);
  const std::string label = fmt::format(
      "{} ({})", word(m.what), boxes.size() == 1 ? boxes[0]->name : fmt::format("{} boxes", boxes.size()));
  const auto over = [&](std::function<void()> then, const std::string& what) {
    wrong_.insert(what);
    agenda_.in(m.span, [this, then = std::move(then), what] {
      then();
      wrong_.erase(wrong_.find(what));
      say(what + " is over");
    });
  };
  const auto each = [&](auto change, auto back) {
    for (auto* b : boxes) change(*b);
    over(
        [boxes, back] {
          for (auto* b : boxes) back(*b);
        },
        label);
    say(label);
  };
  switch (m.what) {
    case trouble::slow:
      return each([&](BoxHost& b) { b.box->slow(m.size); }, [](BoxHost& b) { b.box->slow(1); });
    case trouble::taken:
      return each([&](BoxHost& b) { b.box->take_away(m.size); }, [](BoxHost& b) { b.box->take_away(0); });
    case trouble::hanging:
      return each([](BoxHost& b) { b.box->hang(true); }, [](BoxHost& b) { b.box->hang(false); });
    case trouble::failing:
      return each([&](BoxHost& b) { b.box->fail(m.size); }, [](BoxHost& b) { b.box->fail(0); });
    case trouble::refusing:
      return each([](BoxHost& b) { b.box->refuse(true); }, [](BoxHost& b) { b.box->refuse(false); });
    case trouble::reset:
      return each([&](BoxHost& b) { b.reset = m.size; }, [](BoxHost& b) { b.reset = 0; });
    case trouble::spoilt:
      return each([&](BoxHost& b) { b.spoilt = m.size; }, [](BoxHost& b) { b.spoilt = 0; });
    case trouble::dear: {
      const int s = scheme(m.scheme);
      return each([&](BoxHost& b) { b.box->dear(s, m.share, m.size); }, [s](BoxHost& b) { b.box->cheap(s); });
    }
    case trouble::dead:
      return each([this](BoxHost& b) { die(b, false); }, [this](BoxHost& b) { revive(b); });
    case trouble::silent:
      return each([this](BoxHost& b) { die(b, true); }, [this](BoxHost& b) { revive(b); });
    case trouble::list_behind:
      for (auto& list : lists_) list->behind(micros(m.size * 1e6));
      say(fmt::format("the list falls {:.1f} s behind", m.size));
      return over(
          [this] {
            for (auto& list : lists_) list->behind(0);
          },
          "list-behind");
    case trouble::list_broken:
      for (auto& list : lists_) list->broken(true);
      say("the list is broken");
      return over(
          [this] {
            for (auto& list : lists_) list->broken(false);
          },
          "list-broken");
    case trouble::hall_cut: {
      const int hall = int(std::find(out_.grounds.halls.begin(), out_.grounds.halls.end(), m.hall) -
                           out_.grounds.halls.begin());
      say("hall-cut " + m.hall);
      cut_off_.insert(hall);
      for (auto& b : boxes_)
        for (int h = 0; h < int(plan_.halls.size()); ++h)
          if (cut(b->hall, h)) fall_silent(*b, h);
      return over(
          [this, hall] {
            cut_off_.erase(hall);
            for (auto& b : boxes_)
              for (int h = 0; h < int(plan_.halls.size()); ++h)
                if (h != b->hall && !cut(b->hall, h) && (h == hall || b->hall == hall) && !b->silent &&
                    b->box->up())
                  speak_again(*b, h);
          },
          "hall-cut " + m.hall);
    }
    case trouble::nodes_restart:
      return roll(m);
    case trouble::deploy:
      return deploy(m, boxes);
    case trouble::jump:
      say(fmt::format("traffic x {:.2f}", m.size));
      return over([] {}, "jump");
  }
}

// Boxes in turn: each drains, ends, and comes back cold.
void Stage::deploy(const Mishap& m, std::vector<BoxHost*> boxes) {
  const int batches = (int(boxes.size()) + m.together - 1) / m.together;
  const micros each = m.span / std::max(1, batches);
  say(fmt::format("deploy of {} boxes, {} at a time", boxes.size(), m.together));
  wrong_.insert("deploy");
  agenda_.in(m.span, [this] { wrong_.erase(wrong_.find("deploy")); });
  for (std::size_t i = 0; i < boxes.size(); ++i) {
    BoxHost* b = boxes[i];
    const micros begins = micros(i / std::size_t(m.together)) * each;
    agenda_.in(begins, [this, b] {
      b->entry.is = model::state::draining;
      lists_[b->tier]->changed(b->entry);
    });
    // It takes what comes until all have been told; then no more, and ends what it has.
    const micros drained =
        begins + std::max<micros>(each / 2, plan_.list.notice + plan_.permissions.drain_grace);
    agenda_.in(drained, [this, b] { b->box->drain(true); });
    agenda_.in(drained + m.down, [this, b] {
      if (b->box->up()) die(*b, false);
    });
    agenda_.in(drained + 2 * m.down, [this, b] { revive(*b); });
  }
}

}  // namespace robinpin::rehearse
