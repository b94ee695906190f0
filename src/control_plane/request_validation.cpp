#include "request_validation.h"

#include <algorithm>
#include <charconv>

#include "../gossip/messages.h"

namespace robinpin::control_plane {

namespace {
const RequestOutcome success{200, "{}"};
const RequestOutcome too_many_bytes{413, R"({"fault":"one call brings at most 4,000,000 bytes of items"})"};
const RequestOutcome too_long{413, R"({"fault":"one call names at most 24,000,000 bytes of items"})"};
std::size_t size_of(const configuration::VersionedItem& i) { return i.name.size() + i.text.size(); }
static_assert(max_item_bytes + gossip::full_datagram < gossip::longest_datagram);
}  // namespace

std::vector<configuration::VersionedItem> StateView::changes() const {
  std::vector<configuration::VersionedItem> items;
  for (const auto& [name, item] : changes_) items.push_back(item);
  return items;
}

std::vector<const configuration::VersionedItem*> StateView::committed_with_prefix(
    std::string_view prefix) const {
  std::vector<const configuration::VersionedItem*> found;
  const auto& items = committed_->items();
  for (auto it = items.lower_bound(prefix); it != items.end() && it->first.starts_with(prefix); ++it)
    if (const auto* item = find(it->first); !item->dropped) found.push_back(&it->second);
  return found;
}

std::size_t StateView::standing() const {
  std::size_t n = committed_->standing();
  for (const auto& [name, item] : changes_) {
    const configuration::VersionedItem* current = committed_->find(name);
    n += std::size_t(!item.dropped);
    n -= std::size_t(current && !current->dropped);
  }
  return n;
}

std::size_t StateView::bytes() const {
  std::size_t n = committed_->bytes();
  for (const auto& [name, item] : changes_) {
    const configuration::VersionedItem* current = committed_->find(name);
    n += size_of(item);
    n -= current ? size_of(*current) : 0;
  }
  return n;
}

ValidatedCall::ValidatedCall(OperatorRequest order) : is_(order.is) {
  if (is_ == OperatorRequest::what::adjust)
    change_ = configuration::read_call(order.text);
  else
    argument_ = std::move(order.text);
}

ValidatedCall::ValidatedCall(configuration::ConfigurationChange change)
    : is_(OperatorRequest::what::adjust), change_(std::move(change)) {}

namespace {

// Sets or drops an item whose version counts its changes. No change where it stands so already.
RequestOutcome drop_or_set(StateView& view, std::string name, bool drop, std::string text) {
  const configuration::VersionedItem* current = view.find(name);
  if (current ? current->dropped == drop && current->text == text : drop) return success;
  view.put({std::move(name), current ? current->version + 1 : 1, drop, std::move(text), 0});
  return success;
}

std::string retirement_name(const std::string& instance) {
  return std::string(configuration::retirement_prefix) + instance;
}

}  // namespace

RequestOutcome ValidatedCall::retire(StateView& view) const {
  const auto standing = view.committed_with_prefix(configuration::retirement_prefix);
  if (standing.size() >= max_retired_instances) {
    const auto oldest = std::min_element(standing.begin(), standing.end(),
                                         [](const auto* a, const auto* b) { return a->at < b->at; });
    drop_or_set(view, (*oldest)->name, true, "");
  }
  return drop_or_set(view, retirement_name(argument_), false, "{}");
}

RequestOutcome ValidatedCall::evaluate(StateView& view) const {
  switch (is_) {
    case OperatorRequest::what::read:
      return success;
    case OperatorRequest::what::begin:
      return drop_or_set(view, std::string(configuration::evacuation_prefix) + argument_, false, "{}");
    case OperatorRequest::what::finish:
      return drop_or_set(view, std::string(configuration::evacuation_prefix) + argument_, true, "");
    case OperatorRequest::what::retire:
      return retire(view);
    case OperatorRequest::what::forget_retired:
      return drop_or_set(view, retirement_name(argument_), true, "");
    case OperatorRequest::what::size: {
      std::size_t n = 0;
      const auto [end, wrong] = std::from_chars(argument_.data(), argument_.data() + argument_.size(), n);
      if (wrong != std::errc() || end != argument_.data() + argument_.size() || n < 1 || n > 7)
        return {400, R"({"fault":"from 1 to 7 voters"})"};
      return drop_or_set(view, std::string(voter_count_name), false, std::to_string(n));
    }
    case OperatorRequest::what::adjust:
      break;
  }
  if (!change_.faults.empty()) return {400, configuration::faults_as_json(change_.faults)};
  if (change_.is_too_long) return too_long;
  StateView after = view;
  std::vector<configuration::ValidationError> clashes, faults;
  std::vector<bool> changes;
  std::size_t bytes = 0;
  for (const configuration::VersionedItem& i : change_.items) {
    const configuration::VersionedItem* current = after.find(i.name);
    changes.push_back(!current || current->version < i.version);
    if (current && current->version == i.version && !configuration::same_wording(*current, i))
      clashes.push_back({i.name.substr(i.name.find('/') + 1),
                         "version " + configuration::version_text(i.version) + " stands in another wording"});
    if (!changes.back()) continue;
    if (size_of(i) > max_item_bytes) return {413, R"({"fault":"no item may have over 48,000 bytes"})"};
    after.put(i), bytes += size_of(i);
  }
  // Of what changes nothing its services may have gone since: it was taken then, or overtaken.
  for (const configuration::ServiceReference& n : change_.needs) {
    if (!changes[n.item]) continue;
    const configuration::VersionedItem* current = after.find(n.service);
    if (!current || current->dropped)
      faults.push_back(
          {n.pointer, "target: nobody knows the service " + n.service.substr(n.service.find('/') + 1)});
  }
  if (!faults.empty()) return {400, configuration::faults_as_json(faults)};
  if (!clashes.empty()) return {409, configuration::faults_as_json(clashes)};
  if (bytes > max_change_bytes) return too_many_bytes;
  if (bytes > 0 &&
      (after.standing() > configuration::ConfigurationStore::most_items ||
       after.bytes() > configuration::ConfigurationStore::most_bytes) &&
      (after.standing() > view.standing() || after.bytes() > view.bytes()))
    return {507, R"({"fault":"no room: at most 20,000 items and 24,000,000 bytes stand"})"};
  view = std::move(after);
  return success;
}

}  // namespace robinpin::control_plane
