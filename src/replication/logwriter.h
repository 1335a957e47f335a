#ifndef PAPAYARACK_REPLICATION_LOGWRITER_H_
#define PAPAYARACK_REPLICATION_LOGWRITER_H_

#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "consensus/durablelog.h"
#include "consensus/raftcore.h"
#include "global/boundedring.h"

namespace papayarack::replication {

/// Callbacks of LogWriter, called on its own thread.
struct LogWriterHandlers {
  std::function<void(const std::vector<consensus::RaftMessage>&)> send;
  std::function<void(const consensus::RaftBatch&)> synced;
  std::function<void(const consensus::SnapshotMeta&)> snapshot_saved;
  std::function<void(const std::string& reason)> failed;
};

/// Writes and syncs the log on a thread of its own. Batches are written in
/// order, and messages that depend on them are sent only after the sync. After
/// a failed write or sync it writes and sends nothing more, so that entries
/// that are not synced are never acknowledged. Thread safety: the methods may
/// only be called on the owner's thread.
class LogWriter {
 public:
  /// Capacity of the queue. Enqueue blocks while the queue is full.
  static constexpr std::size_t kMaxQueued = 1024;

  LogWriter(storage::FileSystem& files, consensus::DurableLog& log,
            LogWriterHandlers handlers);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues the writes of `ready` and the messages that depend on them. Returns
  /// false if the writer is closed.
  bool Enqueue(consensus::RaftReady& ready);
  /// Saves a snapshot in the background, after syncing `blob_files` and calling
  /// `write_files`.
  bool EnqueueSnapshot(consensus::SnapshotMeta meta, std::string state,
                       std::vector<std::string> blob_files,
                       std::function<void()> write_files = {});
  /// Number of queued batches and snapshots that are not finished.
  std::uint64_t Waiting() const { return this->offered - this->finished; }
  /// Waits until everything queued is written. Only for installing a fetched
  /// snapshot.
  void Drain();

 private:
  struct SnapshotWork {
    consensus::SnapshotMeta meta;
    std::string state;
    std::vector<std::string> blob_files;
    std::function<void()> write_files;
  };
  struct Batch {
    consensus::RaftBatch batch;
    std::optional<consensus::Index> truncate_from;
    std::vector<consensus::Entry> entries;
    std::optional<consensus::HardState> hard_state;
    std::vector<consensus::RaftMessage> after_sync;
  };
  using Work = std::variant<Batch, SnapshotWork>;

  void Run();
  void WriteAll(std::vector<Work>& works);
  void Save(const SnapshotWork& work);

  storage::FileSystem& files;
  consensus::DurableLog& log;
  LogWriterHandlers handlers;
  BoundedRing<Work> ring;
  std::atomic<std::uint64_t> offered = 0;
  std::atomic<std::uint64_t> finished = 0;
  bool broken = false;
  std::thread thread;
};

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_LOGWRITER_H_
