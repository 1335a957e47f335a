#ifndef PAPAYARACK_CONTROL_INTERNAL_SNAPSHOTFETCHER_H_
#define PAPAYARACK_CONTROL_INTERNAL_SNAPSHOTFETCHER_H_

#include <functional>
#include <string>

#include "consensus/raftmessages.h"
#include "storage/filesystem.h"
#include "transport/peerclient.h"

namespace papayarack::control {

/// A snapshot fetched from another member.
struct FetchedSnapshot {
  consensus::SnapshotMeta meta;
  std::string state;
  std::string blob_file;  ///< Blob bytes from blob_start on.
  std::uint64_t blob_start = 0;
};

/// Fetches the newest snapshot of `group` from `address`: the state, and the
/// blob bytes beyond `own_blobs`, which are written to a file and never held in
/// memory as a whole. Throws ResultError if the source becomes unreachable or
/// its snapshot changes meanwhile. Thread safety: any thread that may block on
/// the network.
FetchedSnapshot FetchSnapshot(transport::PeerClient& client,
                              const std::string& address,
                              storage::FileSystem& files,
                              consensus::GroupId group,
                              std::uint64_t own_blobs);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_INTERNAL_SNAPSHOTFETCHER_H_
