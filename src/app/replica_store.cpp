#include "replica_store.h"

#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <system_error>
#include <utility>

#include "../control_plane/persistence.h"
#include "../storage/leveldb_store.h"

namespace robinpin::app {

namespace {

storage::result<ReplicaStore> open_valid_store(const std::string& folder) {
  BOOST_LEAF_AUTO(store, storage::open_leveldb_store(folder));
  BOOST_LEAF_AUTO(entries, store->read_all());
  if (auto contents = control_plane::parse_store(entries); !contents) return contents.error();
  return ReplicaStore{std::move(store), {}};
}

storage::result<ReplicaStore> quarantine(const std::string& folder, const storage::Error& error) {
  const std::string quarantine_folder = folder + ".aside";
  std::error_code failure;
  std::filesystem::remove_all(quarantine_folder, failure);
  std::filesystem::rename(folder, quarantine_folder, failure);
  if (failure) return boost::leaf::new_error(error);
  BOOST_LEAF_AUTO(store, storage::open_leveldb_store(folder));
  std::string reason = storage::to_string(error.step) + std::string(" ") + error.peer + ": " + error.reason;
  return ReplicaStore{std::move(store), std::move(reason)};
}

}  // namespace

storage::result<ReplicaStore> open_replica_store(const std::string& folder) {
  return boost::leaf::try_handle_some([&] { return open_valid_store(folder); },
                                      [&](const storage::Error& error) -> storage::result<ReplicaStore> {
                                        if (error.step != storage::Error::Step::corruption)
                                          return boost::leaf::new_error(error);
                                        return quarantine(folder, error);
                                      });
}

}  // namespace robinpin::app
