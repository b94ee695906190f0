// Validation of operators' requests against the control state: the changes that a request makes, or the error
// that it is answered with. Does no I/O.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../configuration/configuration_change.h"
#include "../configuration/configuration_store.h"

namespace robinpin::control_plane {

// The answer to an operator: an HTTP status and a JSON body.
struct RequestOutcome {
  int status = 503;
  std::string body;
  // In place of `body`, for a read: all reads of one state share its text.
  std::shared_ptr<const std::string> shared_body = nullptr;
  const std::string& text() const { return shared_body ? *shared_body : body; }
};

// A request of an operator: read or change the configuration, begin or finish the evacuation of a zone, or
// set the number of voters. Or one of the mesh itself: record an instance of an application server as
// retired, or drop such a record.
struct OperatorRequest {
  enum class what { read, adjust, begin, finish, size, retire, forget_retired };
  what is = what::read;
  std::string text;  // a configuration, a zone, how many voters, or the id of an instance
};

// A committed state with uncommitted changes on top of it.
class StateView {
 public:
  explicit StateView(const configuration::ConfigurationStore& committed) : committed_(&committed) {}
  const configuration::VersionedItem* find(std::string_view name) const {
    const auto it = changes_.find(name);
    return it == changes_.end() ? committed_->find(name) : &it->second;
  }
  void put(const configuration::VersionedItem& item) { changes_[item.name] = item; }
  // Committed items whose names begin so and that stand in this view, too.
  std::vector<const configuration::VersionedItem*> committed_with_prefix(std::string_view prefix) const;
  // In the order of their names; each once.
  std::vector<configuration::VersionedItem> changes() const;
  std::size_t standing() const;
  std::size_t bytes() const;

 private:
  const configuration::ConfigurationStore* committed_;
  std::map<std::string, configuration::VersionedItem, std::less<>> changes_;
};

constexpr std::string_view voter_count_name = "k/voters";
// Records of retired instances that stand; a further one takes the place of the oldest.
constexpr std::size_t max_retired_instances = 4'000;
constexpr std::size_t max_change_bytes = 4'000'000;  // bytes of one call's items
constexpr std::size_t max_item_bytes = 48'000;       // bytes of one: nodes are told of it in one datagram

// A request that is parsed once, and evaluated again whenever the state has changed.
class ValidatedCall {
 public:
  explicit ValidatedCall(OperatorRequest order);
  explicit ValidatedCall(configuration::ConfigurationChange change);
  // Adds all its changes to `view`; none where the returned status is not 200.
  RequestOutcome evaluate(StateView& view) const;
  bool reads() const { return is_ == OperatorRequest::what::read; }
  std::size_t bytes() const { return argument_.size() + change_.bytes(); }

 private:
  RequestOutcome retire(StateView& view) const;

  OperatorRequest::what is_;
  std::string argument_;  // of a request other than `adjust`
  configuration::ConfigurationChange change_;
};

}  // namespace robinpin::control_plane
